// Package reload follows the settings file of a running process.
//
// A file that the next start refuses has no effect on running processes. If it is only noticed at a start, a restart of all
// processes finds none that starts. The package therefore reads the file as a start does, at each signal and whenever it
// has changed, and shows in metrics, in the state dump and in the log whether the next start accepts it, and which fields it refuses.
//
// The fields that package settings tags as live take effect at once: the platform may change them at any time, and judges running
// processes by them.
package reload

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/settings"
)

// interval is the time between two readings of the file: it may change without a signal.
const interval = time.Second

// Config says how the file is checked, and where the result is shown.
type Config struct {
	// Check reports what is wrong with settings beyond what package settings checks; nil checks nothing.
	Check func(*settings.Settings) error
	// Apply puts changed live fields in force. It is called for one change at a time.
	Apply   func(*settings.Settings)
	Log     *event.Log
	Metrics *metrics.Set
}

// Tracker follows one settings file. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	started *settings.Settings
	inForce atomic.Pointer[settings.Settings]

	valid, pending *metrics.Gauge
	changes        *metrics.Counter

	mu    sync.Mutex
	text  []byte // as last evaluated; nil before the first reading
	seen  []byte // as last read
	state State
}

// State describes the file in the state dump.
type State struct {
	File     string
	Valid    bool      // the next start accepts it
	ReadAt   time.Time // when its present content was evaluated
	Problems []string  // one line for each field that the next start refuses
	Unusual  []string  // one line for each value that is in force though it isn't served well
	// AtNextStart are the fields whose new values take effect at the next start.
	AtNextStart []string
}

// New returns a Tracker of the file that a process was started with.
func New(started *settings.Settings, cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, started: started, state: State{File: started.Path(), Valid: true, ReadAt: time.Now()}}
	t.valid = cfg.Metrics.NewGauge("wigeon_settings_valid", func() float64 {
		if t.State().Valid {
			return 1
		}
		return 0
	})
	t.pending = cfg.Metrics.NewGauge("wigeon_settings_pending", func() float64 { return float64(len(t.State().AtNextStart)) })
	t.changes = cfg.Metrics.NewCounter("wigeon_settings_changes_total")
	t.inForce.Store(started)
	t.warn(started)
	return t
}

// InForce returns the settings in force.
func (t *Tracker) InForce() *settings.Settings { return t.inForce.Load() }

// State returns what is known of the file.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Run reads the file at intervals until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	for clock.Sleep(ctx, interval) {
		t.follow()
	}
	return nil
}

// Read reads the file now, and logs what it means for the next start.
func (t *Tracker) Read() {
	if t.started.Path() == "" {
		return
	}
	data, err := settings.ReadFile(t.started.Path())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = append([]byte{}, data...)
	t.evaluate(data, err, true)
}

// ReadWithin is Read, but returns after a time at the latest, and leaves what was known before in force until the file is read.
func (t *Tracker) ReadWithin(limit time.Duration) {
	read := make(chan struct{})
	go func() {
		t.Read()
		close(read)
	}()
	select {
	case <-read:
	case <-time.After(limit):
	}
}

// follow evaluates the file if it has changed. Whoever writes the file may be in the middle of it, so that content that isn't valid
// counts once it has been read twice.
func (t *Tracker) follow() {
	if t.started.Path() == "" {
		return
	}
	data, err := settings.ReadFile(t.started.Path())
	t.mu.Lock()
	defer t.mu.Unlock()
	again := t.seen != nil && bytes.Equal(t.seen, data)
	t.seen = append([]byte{}, data...)
	if t.text != nil && bytes.Equal(t.text, data) {
		return
	}
	if _, invalid := t.load(data, err); invalid != nil && !again {
		return
	}
	t.evaluate(data, err, t.text != nil)
}

// load checks the content of the file as a start does.
func (t *Tracker) load(data []byte, err error) (*settings.Settings, error) {
	if err != nil {
		return nil, err
	}
	set, err := settings.LoadText(t.started.Path(), data)
	if err == nil && t.cfg.Check != nil {
		err = t.cfg.Check(set)
	}
	return set, err
}

// evaluate records what the content of the file means for the next start, and logs it, but content that changes nothing only if
// always is set. The caller holds t.mu.
func (t *Tracker) evaluate(data []byte, readErr error, always bool) {
	t.text = append([]byte{}, data...)
	set, err := t.load(data, readErr)
	if err != nil {
		t.state.Valid, t.state.ReadAt, t.state.Problems = false, time.Now(), problemLines(err)
		t.changes.Inc()
		t.cfg.Log.Emit(event.SettingsRefused, "file", t.state.File, "problems", strings.Join(t.state.Problems, "; "))
		return
	}
	updated, live, pending := t.InForce().Reload(set)
	if !always && len(live)+len(pending) == 0 {
		return
	}
	t.changes.Inc()
	t.state = State{File: t.state.File, Valid: true, ReadAt: time.Now(), AtNextStart: pending}
	if len(live) > 0 {
		t.inForce.Store(updated)
		if t.cfg.Apply != nil {
			t.cfg.Apply(updated)
		}
	}
	t.cfg.Log.Emit(event.Reloaded, "file", t.state.File, "in_force", strings.Join(live, ","), "at_next_start", strings.Join(pending, ","))
	t.warn(set)
}

// warn reports the values that aren't served well.
func (t *Tracker) warn(set *settings.Settings) {
	if t.state.Unusual = lines(set.Unusual()); len(t.state.Unusual) > 0 {
		t.cfg.Log.Emit(event.SettingsUnusual, "problems", strings.Join(t.state.Unusual, "; "))
	}
}

// problemLines returns one line for each problem.
func problemLines(err error) []string {
	if problems, ok := errors.AsType[settings.Problems](err); ok {
		return lines(problems)
	}
	return []string{err.Error()}
}

func lines(problems settings.Problems) []string {
	out := make([]string, len(problems))
	for i, p := range problems {
		out[i] = p.String()
	}
	return out
}
