package stopping

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeondale/clock"
)

const (
	// durationWindow is the time after which old durations are dropped, at the latest after twice as long.
	durationWindow = 30 * time.Second
	// expectedPercentile is the share of the recent pieces of work that took at most the expected time.
	expectedPercentile = 95
	longestDuration    = 15 * time.Minute
)

// Durations estimates how long work of a kind takes, from what recent work has taken. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[string]*recent
}

type recent struct {
	current, before *hdrhistogram.Histogram // in milliseconds
	since           time.Duration
}

// NewDurations returns a Durations that knows of no work.
func NewDurations() *Durations { return &Durations{kinds: map[string]*recent{}} }

// Add records that work of a kind took d.
func (d *Durations) Add(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.kinds[kind]
	if r == nil {
		r = &recent{current: newHistogram(), before: newHistogram(), since: clock.SinceBoot()}
		d.kinds[kind] = r
	}
	r.rotate(clock.SinceBoot())
	// A longer duration than the histogram holds counts as the longest.
	_ = r.current.RecordValue(min(took, longestDuration).Milliseconds())
}

// Expected returns how long work of a kind takes, and false if no such work has ended lately.
func (d *Durations) Expected(kind string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.kinds[kind]
	if r == nil {
		return 0, false
	}
	r.rotate(clock.SinceBoot())
	ms := max(r.current.ValueAtPercentile(expectedPercentile), r.before.ValueAtPercentile(expectedPercentile))
	return time.Duration(ms+1) * time.Millisecond, r.current.TotalCount()+r.before.TotalCount() > 0
}

func (r *recent) rotate(now time.Duration) {
	switch age := now - r.since; {
	case age < durationWindow:
		return
	case age < 2*durationWindow:
		r.current, r.before = r.before, r.current
	default:
		r.before.Reset()
	}
	r.current.Reset()
	r.since = now
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestDuration.Milliseconds(), 1)
}
