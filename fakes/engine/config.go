// Package engine is a stand-in for a model engine with continuous batching: all
// running streams of one engine advance by one token in each decode step. It
// samples afresh for each generation, continues any text that it is given, and
// records what it generated, so that a test can count work done for nobody.
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
	defaultStep       = 15 * time.Millisecond
	defaultRunning    = 64
	defaultCache      = 4096
	minStep           = 100 * time.Microsecond
	idleStep          = 20 * time.Millisecond
	waitingPerRunning = 4
)

// Loader draws a model's weights; it returns when they have been read.
type Loader interface {
	Load(ctx context.Context, ref fleet.ModelRef) error
}

// Config describes one engine. Zero values of the numbers mean a default,
// except the lags and the drop rate, whose zero means none.
type Config struct {
	ID                string           `json:"id"`
	VM                string           `json:"vm"`
	FailureDomain     string           `json:"failure_domain"`
	Addr              string           `json:"addr"`
	Advertise         string           `json:"advertise"` // address in the VM list, if not the engine's own
	Serves            []fleet.ModelRef `json:"serves"`
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

// Check reports numbers that make no sense.
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
		c.StepMS = float64(defaultStep / time.Millisecond)
	}
	if c.MaxRunning == 0 {
		c.MaxRunning = defaultRunning
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = waitingPerRunning * c.MaxRunning
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = defaultCache
	}
	return c
}

func (c Config) step() time.Duration { return max(fault.Millis(c.StepMS), minStep) }

func (c Config) prefill(blocks int) time.Duration {
	return time.Duration(float64(blocks) * c.PrefillUSPerBlock * float64(time.Microsecond))
}
