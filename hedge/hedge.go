// Package hedge sends a second try of a slow idempotent call to another backend server and
// uses whichever answer arrives first.
//
// Hedging is meant for calls that are slow because one replica stalls (a long pause, a
// lost packet, a full queue) while the others answer in milliseconds. The second try is
// sent only after a delay derived from the observed latencies, so that few calls cause a
// second try. A second try is sent only within a budget that is a share of first tries:
// when all replicas are slow, every call is slow, and hedging each of them would double
// the load that made the replicas slow. A call that is not idempotent is never hedged,
// since two backend servers could both run it.
package hedge

import (
	"cmp"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// Budget limits the number of second tries to a share of the number of first tries.
type Budget interface {
	First()     // counts a first try
	Take() bool // draws one second try; false means that none is left
}

// Config configures a Hedger. Zero values select the defaults.
type Config struct {
	Enabled    bool
	Percentile float64       // of the latencies, beyond which a call counts as slow (default 95)
	MinDelay   time.Duration // minimum wait before a second try (default 2 ms)
	MinSamples int64         // latencies needed before the first second try (default 50)
	Window     time.Duration // age at which latencies are dropped, at most (default 30 s)
}

func (c Config) withDefaults() Config {
	c.Percentile = cmp.Or(c.Percentile, 95)
	c.MinDelay = cmp.Or(c.MinDelay, 2*time.Millisecond)
	c.MinSamples = cmp.Or(c.MinSamples, 50)
	c.Window = cmp.Or(c.Window, 30*time.Second)
	return c
}

// Hedger decides whether and when the second try of a call is sent. It is safe for
// concurrent use.
type Hedger struct {
	cfg    Config
	budget Budget

	sent, won, denied *metrics.Counter

	mu    sync.Mutex
	pools map[string]*latencies
}

// New returns a Hedger that draws second tries from budget.
func New(cfg Config, budget Budget, set *metrics.Set) *Hedger {
	if set == nil {
		set = metrics.NewSet()
	}
	return &Hedger{
		cfg:    cfg.withDefaults(),
		budget: budget,
		sent:   set.NewCounter(`wigeon_hedges_sent_total`),
		won:    set.NewCounter(`wigeon_hedges_won_total`),
		denied: set.NewCounter(`wigeon_hedges_denied_total`),
		pools:  map[string]*latencies{},
	}
}

// These constants are the range of the recorded latencies, in microseconds, and the number of
// significant digits.
const (
	lowest  = 1
	highest = int64(time.Minute / time.Microsecond)
	digits  = 2
)

// latencies holds the latencies of one pool of backend servers in two histograms.
// Latencies are recorded in the newer histogram. After half of Config.Window, the older
// histogram is reset and becomes the newer one.
type latencies struct {
	rotated      time.Time
	older, newer *hdrhistogram.Histogram
}

func newLatencies(now time.Time) *latencies {
	return &latencies{
		rotated: now,
		older:   hdrhistogram.New(lowest, highest, digits),
		newer:   hdrhistogram.New(lowest, highest, digits),
	}
}

func (l *latencies) rotate(now time.Time, window time.Duration) {
	if now.Sub(l.rotated) < window/2 {
		return
	}
	l.older, l.newer = l.newer, l.older
	l.newer.Reset()
	l.rotated = now
}

// delay returns the given percentile of the latencies in the newer histogram or, while the
// newer histogram has fewer than minSamples values, in the older histogram. ok is false
// while both histograms have fewer than minSamples values.
func (l *latencies) delay(percentile float64, minSamples int64) (time.Duration, bool) {
	h := l.older
	if l.newer.TotalCount() >= minSamples {
		h = l.newer
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond, true
}

// Observe records how long a call of the pool took until its answer started. For a call whose
// second try won, took must be the whole wait from the first try. The first try would have
// taken at least as long as this wait. The wait is above the percentile from which the delay
// is derived, so calls that became faster by hedging don't shorten the delay of later calls.
func (h *Hedger) Observe(pool string, took time.Duration, now time.Time) {
	us := min(max(took.Microseconds(), lowest), highest)
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.pools[pool]
	if l == nil {
		l = newLatencies(now)
		h.pools[pool] = l
	}
	l.rotate(now, h.cfg.Window)
	_ = l.newer.RecordValue(us) // can't fail: the value is within the range
}

// Delay returns how long to wait for the first try of a call before a second try is worth its
// cost. ok is false if no second try may be sent. The reason is that the call may not be
// repeated, that hedging is off or that too few latencies are known.
func (h *Hedger) Delay(pool string, idempotent bool) (time.Duration, bool) {
	// Without this check, a slow call that makes a booking, for example, would book twice: the
	// router drops the slower answer, but both backend servers have run the call.
	if !idempotent {
		return 0, false
	}
	if !h.cfg.Enabled {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.pools[pool]
	if l == nil {
		return 0, false
	}
	d, ok := l.delay(h.cfg.Percentile, h.cfg.MinSamples)
	return max(d, h.cfg.MinDelay), ok
}
