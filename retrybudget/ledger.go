package retrybudget

import (
	"math"
	"time"
)

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

// level returns how many retries may be drawn now, so that the retries of no window of any position
// exceed share for each of its requests plus burst. A window may begin after the requests that
// allowed a retry and contain the retry, so it isn't enough to look at the window that ends now:
// the bound must hold from each moment of it on. A window that begins late has its other requests
// still to come, and steadyRequests says how many of them are relied on.
func (l *ledger) level(now time.Duration, share, burst float64) level {
	newest, oldest := int64((now+Keep)/l.width), int64((now-l.window)/l.width)
	var requests float64
	for n := int64(now / l.width); n > oldest; n-- {
		requests += l.at(n).requests
	}
	out := level{most: burst + share*steadyRequests(requests)}
	out.left = out.most
	var since float64 // requests after the slot
	for n := newest; n >= max(oldest, 0); n-- {
		s := l.at(n)
		out.drawn += s.drawn
		ahead := min(1-float64(now-time.Duration(n)*l.width)/float64(l.window), 1)
		out.left = min(out.left, burst+share*(since+steadyRequests(requests*max(ahead, 0)))-out.drawn)
		since += s.requests
	}
	return out
}

// at returns a slot, which is empty if nothing was recorded in it.
func (l *ledger) at(number int64) slot {
	if s := l.slots[max(number, 0)%int64(len(l.slots))]; s.number == number {
		return s
	}
	return slot{}
}

// steadyRequests returns how many requests are relied on to come in a time in which as many as
// requests came before: less by two standard deviations of a Poisson process, so none if there are
// four or fewer. Over several routers that is far below what comes, unless the traffic of the whole
// fleet falls.
func steadyRequests(requests float64) float64 {
	return max(requests-2*math.Sqrt(requests), 0)
}
