package retrybudget

import "time"

// slotsPerWindow is the number of slots into which a window is divided. The error of a slot is on
// the safe side: a request leaves the window up to a slot too early, a retry up to a slot too late.
const slotsPerWindow = 100

// ledger counts the requests and the drawn retries of a sliding window. Its size is fixed, so a
// service costs the same memory at any load. Loans are recorded ahead of time: a retry that is
// recorded at a later time counts from now on until a window after that time.
type ledger struct {
	window time.Duration
	width  time.Duration // of a slot
	slots  []slot
}

type slot struct {
	number   int64 // slot number since time 0; a slot with another number is outdated
	requests float64
	drawn    float64
}

func newLedger(window time.Duration) *ledger {
	width := max(window/slotsPerWindow, time.Millisecond)
	const partialSlots = 3 // at both ends of the window, and at the end of a loan
	n := int((window+Keep)/width) + partialSlots
	return &ledger{window: window, width: width, slots: make([]slot, n)}
}

// slot returns the slot of a time, emptied if it held an outdated one.
func (l *ledger) slot(at time.Duration) *slot {
	number := int64(at / l.width)
	s := &l.slots[number%int64(len(l.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

func (l *ledger) first(now time.Duration)                { l.slot(now).requests++ }
func (l *ledger) draw(at time.Duration, retries float64) { l.slot(at).drawn += retries }

// level is what the ledger says of a moment.
type level struct {
	left  float64 // retries that may be drawn now
	most  float64 // retries that could be drawn now if none had been drawn before
	drawn float64 // retries that count in the window
}

// level returns how many retries may be drawn now: share for each request of the window that ends
// now, plus burst, less the retries of the window. Retries of a window of any position are then
// covered by the requests of that window and the one before it. The platform counts the requests in
// a window, the one before it, or the one half a window before it, whichever has most; this differs
// only while traffic comes in spikes with no request between them.
//
// A bound on each window by its own requests alone would leave two thirds of the budget unused at
// routers with five requests in a window: it can rely on few requests still to come.
func (l *ledger) level(now time.Duration, share, burst float64) level {
	newest, oldest := int64((now+Keep)/l.width), int64((now-l.window)/l.width)
	var requests, drawn float64
	for n := newest; n >= oldest; n-- {
		s := l.at(n)
		drawn += s.drawn
		if n > oldest {
			requests += s.requests
		}
	}
	most := burst + share*requests
	return level{left: most - drawn, most: most, drawn: drawn}
}

// at returns a slot, which is empty if nothing was recorded in it.
func (l *ledger) at(number int64) slot {
	if number < 0 {
		return slot{}
	}
	if s := l.slots[number%int64(len(l.slots))]; s.number == number {
		return s
	}
	return slot{}
}
