package mirror

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/infra"
)

// Store is the part of the platform's store that a Mirror reads.
type Store interface {
	// Page reads items under prefix whose keys are after one. With stale it may be
	// seconds old, which the store can answer at far less cost.
	Page(ctx context.Context, prefix, after string, stale bool) (infra.Page, error)
	// Changes waits up to wait for changes after a revision. It fails with
	// infra.ErrCompacted when they are no longer known.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (events []infra.WatchEvent, at int64, err error)
	// Reset drops all connections, so that the next call has a fresh one.
	Reset()
}

// Receiver is told what the mirror holds. Calls come one at a time, and must not
// call the Mirror.
type Receiver interface {
	// Put tells of a new or changed item.
	Put(v infra.Value)
	// Removed tells that the item has been removed.
	Removed(key string)
	// BatchDone follows each batch of Put and Gone calls.
	BatchDone()
}

// Config of a Mirror. Zero durations mean the defaults.
type Config struct {
	Prefix string
	// Wait is how long one call may wait for a change. It bounds the age of what
	// a reader knows, and with it that of what it tells others.
	Wait time.Duration
	// Slack is added to Wait for the answer to arrive.
	Slack time.Duration
	// Pause between two calls joins changes that come in series.
	Pause time.Duration
	// Timeout bounds the read of one page.
	Timeout time.Duration
	// PageMaxAge is how long the pages of a read that failed are of use. It must be less
	// than the time for which the store remembers changes.
	PageMaxAge time.Duration
	// ConfirmAfter is how long after an outage a missing item may still come back.
	ConfirmAfter time.Duration
	// IsReader tells whether this node reads the store; nil means always. Until it
	// has read everything once, it does in any case.
	IsReader func() bool
	// OnNews, if set, is called after changes; it must not block.
	OnUpdate func()
	Log      *event.Log
	Set      *metrics.Set
}

// Defaults of Config.
const (
	defaultWait    = 800 * time.Millisecond
	defaultSlack   = 400 * time.Millisecond
	defaultPause   = 300 * time.Millisecond
	defaultTimeout = 1500 * time.Millisecond
	defaultKeep    = 10 * time.Second
	defaultDoubt   = 2 * time.Second
	// idle is how often a node that doesn't read looks whether it has to.
	idle     = 100 * time.Millisecond
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.Wait, defaultWait)
	set(&c.Slack, defaultSlack)
	set(&c.Pause, defaultPause)
	set(&c.Timeout, defaultTimeout)
	set(&c.PageMaxAge, defaultKeep)
	set(&c.ConfirmAfter, defaultDoubt)
	if c.IsReader == nil {
		c.IsReader = func() bool { return true }
	}
	if c.OnUpdate == nil {
		c.OnUpdate = func() {}
	}
	if c.Set == nil {
		c.Set = metrics.NewSet()
	}
	return c
}
