// Package engine is a fake model engine with continuous batching: all running streams of
// an engine advance by one token in each decode step. Each generation is sampled with new
// random numbers and can continue any given text. The engine records what it generated,
// so that tests can count the work that no client received.
package engine

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fakes/fault"
	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("fake engine")

const (
	defaultStepTime    = 15 * time.Millisecond
	defaultMaxRunning  = 64
	defaultCacheBlocks = 4096
	minStep            = 100 * time.Microsecond
	idleInterval       = 20 * time.Millisecond
	waitingPerRunning  = 4
)

// Loader reads a model's weights. Load returns when they have been read.
type Loader interface {
	Load(ctx context.Context, ref fleet.ModelRef) error
}

// Config describes one engine. A zero number means the default, except for the lags and
// the drop rate, where it means none.
type Config struct {
	ID                string           `json:"id"`
	VM                string           `json:"vm"`
	FailureDomain     string           `json:"failure_domain"`
	Addr              string           `json:"addr"`
	Advertise         string           `json:"advertise"` // address in the VM list, if it differs from the engine's own
	Serves            []fleet.ModelRef `json:"serves"`
	Software          string           `json:"software"` // version of its software that it states; empty for none
	StepMS            float64          `json:"step_ms"`
	PrefillUSPerBlock float64          `json:"prefill_us_per_block"`
	MaxRunning        int              `json:"max_running"`
	MaxWaiting        int              `json:"max_waiting"`
	CacheBlocks       int              `json:"cache_blocks"`
	ChecksFence       bool             `json:"checks_fence"`
	ReportLagMS       float64          `json:"report_lag_ms"`
	EventsLagMS       float64          `json:"events_lag_ms"`
	EventsDropPercent int              `json:"events_drop_percent"`
}

// Check returns an error if a number is out of range.
func (c Config) Check() error {
	for name, v := range map[string]float64{
		"step_ms":              c.StepMS,
		"prefill_us_per_block": c.PrefillUSPerBlock,
		"max_running":          float64(c.MaxRunning),
		"max_waiting":          float64(c.MaxWaiting),
		"cache_blocks":         float64(c.CacheBlocks),
		"report_lag_ms":        c.ReportLagMS,
		"events_lag_ms":        c.EventsLagMS,
		"events_drop_percent":  float64(c.EventsDropPercent),
	} {
		if v < 0 {
			return Error.New("engine %q: %s is below zero", c.ID, name)
		}
	}
	if c.EventsDropPercent > 100 {
		return Error.New("engine %q: events_drop_percent is above 100", c.ID)
	}
	return nil
}

func (c Config) withDefaults() Config {
	if c.StepMS == 0 {
		c.StepMS = float64(defaultStepTime / time.Millisecond)
	}
	if c.MaxRunning == 0 {
		c.MaxRunning = defaultMaxRunning
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = waitingPerRunning * c.MaxRunning
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	return c
}

func (c Config) step() time.Duration { return max(fault.Millis(c.StepMS), minStep) }

func (c Config) prefill(blocks int) time.Duration {
	return time.Duration(float64(blocks) * c.PrefillUSPerBlock * float64(time.Microsecond))
}
