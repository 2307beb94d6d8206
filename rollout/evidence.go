package rollout

import (
	"math"
	"time"
)

// Aspect is what is judged of an answer.
type Aspect uint8

// The aspects. Each has its own usual time.
const (
	// TotalTime is an answer that comes at once.
	TotalTime Aspect = iota
	// TimeToFirst is the first piece of a stream.
	TimeToFirst
	// ChunkInterval is the mean time between pieces of a stream.
	ChunkInterval
)

// Grade is how an answer was: a step of a scale of times, or that it failed.
type Grade uint8

const (
	// Failed is an answer that says so itself, that is not the request's, or that a replica
	// broke off which goes on working. One that a crash cut off says nothing.
	Failed Grade = 255

	// gradeStep is the ratio of two steps that follow each other, and gradeUnit the time
	// of the first.
	gradeStep = 1.25
	gradeUnit = time.Millisecond
	lastGrade = 100
)

// GradeOf is the grade of an answer that took some time.
func GradeOf(d time.Duration) Grade {
	if d <= gradeUnit {
		return 0
	}
	return Grade(min(math.Log(float64(d)/float64(gradeUnit))/math.Log(gradeStep), lastGrade))
}

// CountKey is one kind of answers that are counted together.
type CountKey struct {
	Route  string `cbor:"1,keyasint"`
	Aspect Aspect `cbor:"2,keyasint,omitempty"`
	Domain string `cbor:"3,keyasint,omitempty"` // of the replica; empty for the old version
	Grade  Grade  `cbor:"4,keyasint,omitempty"`
}

// Count is a number of answers of one kind.
type Count struct {
	CountKey
	N uint32 `cbor:"5,keyasint"`
}

// Report is what a router tells the others of the answers that it saw. A later one
// replaces it, so that one that is lost does no harm.
type Report struct {
	Service     string  `cbor:"1,keyasint"`
	Order       int64   `cbor:"2,keyasint"` // revision
	Incarnation uint64  `cbor:"8,keyasint"` // of the router's process; its counts begin anew with it
	Sequence    uint64  `cbor:"3,keyasint"` // grows with each report of a life
	ElapsedMS   int64   `cbor:"4,keyasint"` // since the order, as the router reckons
	New         []Count `cbor:"5,keyasint,omitempty"`
	// Old are the answers of the old version of late: what the new is compared with.
	Old []Count `cbor:"6,keyasint,omitempty"`
	// Bad tells that the router takes the new version to be bad.
	Bad bool `cbor:"7,keyasint,omitempty"`
}

// oldSpan is how long answers of the old version count: load and trouble change in
// seconds, and both versions are to be judged by the same.
const oldSpan = 4 * time.Second

// window counts answers of the last oldSpan.
type window struct {
	slots [windowSlots]map[CountKey]uint32
	first int64 // number of the oldest slot in use
}

const (
	windowSlots = 8
	slotSpan    = oldSpan / windowSlots
)

// turn empties the slots that are over.
func (w *window) turn(now time.Duration) int64 {
	current := int64(now / slotSpan)
	from := max(w.first, current-windowSlots) + 1
	for n := from; n <= current; n++ {
		w.slots[n%windowSlots] = nil
	}
	w.first = max(w.first, current)
	return current
}

func (w *window) add(c CountKey, now time.Duration) {
	at := w.turn(now) % windowSlots
	if w.slots[at] == nil {
		w.slots[at] = map[CountKey]uint32{}
	}
	w.slots[at][c]++
}

// sum adds what the window holds to a total.
func (w *window) sum(now time.Duration, to map[CountKey]uint32) {
	w.turn(now)
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
