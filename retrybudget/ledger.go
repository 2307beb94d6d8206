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
// allowed a retry and contain the retry, so it isn't enough to look at the window that ends now.
//
// If requests are many or the burst is large, the bound must hold from each moment of the window on;
// a window that begins late has requests still to come, of which steadyRequests are relied on. If
// the burst of one router is less than what one request allows, that would waste nearly all that
// requests allow. Then half of the share is used over the window that ends now: any window's retries
// are covered by the requests of two windows.
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
	most := burst + share*steadyRequests(requests)
	if most < share {
		most = burst + share/2*requests
		return level{left: most - drawn, most: most, drawn: drawn}
	}
	out := level{left: most, most: most, drawn: drawn}
	var since, drawnSince float64 // requests after the slot, retries from the slot on
	for n := newest; n >= oldest; n-- {
		s := l.at(n)
		drawnSince += s.drawn
		ahead := min(1-float64(now-time.Duration(n)*l.width)/float64(l.window), 1)
		out.left = min(out.left, burst+share*(since+steadyRequests(requests*max(ahead, 0)))-drawnSince)
		since += s.requests
	}
	return out
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

// steadyRequests returns how many requests are relied on to come in a time in which as many as
// requests came before: half of them, so that no harm is done if the traffic falls to half, and less
// than comes by two standard deviations of a Poisson process, so none if there are four or fewer.
func steadyRequests(requests float64) float64 {
	return max(min(requests/2, requests-2*math.Sqrt(requests)), 0)
}
