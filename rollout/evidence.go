package rollout

import (
	"math"
	"time"

	"wigeondale/fleet"
)

// Aspect is the kind of time that was measured of an answer, and by which the old and the new
// version are compared.
type Aspect uint8

// The aspects. Each aspect has its own baseline on each route.
const (
	// TotalTime is the time to an answer that is not streamed.
	TotalTime Aspect = iota
	// TimeToFirst is the time to the first chunk of a stream.
	TimeToFirst
	// ChunkInterval is the mean time between chunks of a stream.
	ChunkInterval
)

// Grade rates one answer: it is the index of a latency bucket on a logarithmic scale, or Failed.
type Grade uint8

const (
	// Failed marks three kinds of answers: an answer that reports a failure, an answer that
	// does not belong to the request, and an answer that breaks off although its replica goes
	// on working. An answer that breaks off because its replica crashed is not rated.
	Failed Grade = 255

	// gradeRatio is the ratio between the bounds of adjacent latency buckets; gradeUnit is the
	// upper bound of the first bucket.
	gradeRatio = 1.25
	gradeUnit  = time.Millisecond
	lastGrade  = 100
)

// GradeOf returns the latency bucket of an answer that took d.
func GradeOf(d time.Duration) Grade {
	if d <= gradeUnit {
		return 0
	}
	return Grade(min(math.Log(float64(d)/float64(gradeUnit))/math.Log(gradeRatio), lastGrade))
}

// CountKey identifies the answers that are counted together: all answers on one route,
// measured by one aspect, from one failure domain, and with the same grade.
type CountKey struct {
	Route  string `cbor:"1,keyasint"`
	Aspect Aspect `cbor:"2,keyasint,omitempty"`
	Domain string `cbor:"3,keyasint,omitempty"` // failure domain of the replica; empty for the old version
	Grade  Grade  `cbor:"4,keyasint,omitempty"`
}

// Count is the number N of answers with the same CountKey.
type Count struct {
	CountKey
	N uint32 `cbor:"5,keyasint"`
}

// Report holds the answers that one router has seen. Routers broadcast their reports. Each
// report contains the totals so far and replaces the router's previous report, so a lost
// report does no harm.
type Report struct {
	Service     string         `cbor:"1,keyasint"`
	Order       fleet.Revision `cbor:"2,keyasint"` // revision of the order
	Incarnation uint64         `cbor:"8,keyasint"` // identifies the run of the router process; the router's counts start at zero with each run
	Sequence    uint64         `cbor:"3,keyasint"` // increases with each report of one run
	ElapsedMS   int64          `cbor:"4,keyasint"` // time since the order, as the router estimates it
	New         []Count        `cbor:"5,keyasint,omitempty"`
	// Old counts the answers of the old version within the last baselineWindow. They are the
	// baseline for the new version.
	Old []Count `cbor:"6,keyasint,omitempty"`
	// Bad reports that the router considers the new version bad. A router that receives such a
	// report stops sending requests to the new version, too.
	Bad bool `cbor:"7,keyasint,omitempty"`
	// OldRuns is the number of streams of the router at replicas of other versions than the target.
	OldRuns int `cbor:"9,keyasint,omitempty"`
}

// baselineWindow is how long an answer of the old version counts in the baseline. Load and
// failures change within seconds, and both versions must be compared under the same conditions.
const baselineWindow = 4 * time.Second

// window counts the answers of the last baselineWindow by their CountKey, in a ring of time
// slots.
type window struct {
	slots  [windowSlots]map[CountKey]uint32
	latest int64 // number of the latest slot that was started
}

const (
	windowSlots = 8
	slotSpan    = baselineWindow / windowSlots
)

// advance clears the slots that have expired and returns the number of the current slot.
func (w *window) advance(now time.Duration) int64 {
	current := int64(now / slotSpan)
	from := max(w.latest, current-windowSlots) + 1
	for n := from; n <= current; n++ {
		w.slots[n%windowSlots] = nil
	}
	w.latest = max(w.latest, current)
	return current
}

func (w *window) add(c CountKey, now time.Duration) {
	at := w.advance(now) % windowSlots
	if w.slots[at] == nil {
		w.slots[at] = map[CountKey]uint32{}
	}
	w.slots[at][c]++
}

// addTo adds the counts of the window to a total.
func (w *window) addTo(now time.Duration, to map[CountKey]uint32) {
	w.advance(now)
	for _, slot := range w.slots {
		for c, n := range slot {
			to[c] += n
		}
	}
}

func counts(of map[CountKey]uint32) []Count {
	out := make([]Count, 0, len(of))
	for c, n := range of {
		out = append(out, Count{c, n})
	}
	return out
}
