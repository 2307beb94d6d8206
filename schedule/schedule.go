// Package schedule decides the order of waiting work, for the requests that wait at a router of the users' platform and
// for the queues of the product's own interface.
//
// It is made for a load in which less urgent streams arrive at five times their usual rate, and in which one client
// account sends ten times as much as the others. In order of arrival, urgent requests wait behind the burst until they
// are late, and the capacity that a client account gets is in proportion to what it sends.
//
// The order is: started answers; then requests that can be in time; then late ones. Within each of these, the more urgent
// priority goes first, then the client account that has used less of its share, then the earlier first try. Ageing
// lifts one request of a priority that was passed over for too long (see Turns). The package only orders: whether a
// server can take a request is decided elsewhere.
package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Stage is the primary order of waiting requests. Lower stages go first.
type Stage uint8

const (
	// Started is for started answers: they represent work already done.
	Started Stage = iota
	// New is for all other requests.
	New
	// Late is for requests that can't be in time any more.
	Late
)

const (
	// Priorities is the number of priorities; 0 is the most urgent.
	Priorities = 10
	// DefaultPriority replaces a missing or invalid priority, as at the engines.
	DefaultPriority = 5
)

// Priority returns p, or DefaultPriority if p is out of range.
func Priority(p int) int {
	if p < 0 || p >= Priorities {
		return DefaultPriority
	}
	return p
}

// Item is one waiting request.
type Item struct {
	ID       string
	Stage    Stage
	Priority int // 0 to Priorities-1
	Account  string
	Weight   float64   // of the client account's share; 0 means 1
	Cost     float64   // expected cost, in tokens or requests
	FirstTry time.Time // of its client, as far as known
	QueuedAt time.Time // when it began to wait here
	// Unservable reports that the item needs more room than any server has. It holds none free.
	Unservable bool
	Seq        uint64 // order of arrival, where it is to break ties; the same for all items elsewhere
}

func (i *Item) weight() float64 {
	if i.Weight <= 0 {
		return 1
	}
	return i.Weight
}

// span is the virtual time that serving the item takes.
func (i *Item) span() float64 { return max(i.Cost, 1) / i.weight() }

// Compare orders two items without regard to shares and ageing. Items of one instant are ordered by their ids, so that
// the order doesn't depend on the order in which they arrived.
func Compare(a, b *Item) int {
	return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Priority, b.Priority),
		a.FirstTry.Compare(b.FirstTry), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.ID, b.ID))
}

// Sort puts items into the order in which they are to be served. turns and shares may be nil: no priority is lifted by
// ageing then, or client accounts are not distinguished.
func Sort(items []*Item, turns *Turns, shares *Shares, now time.Time) {
	slices.SortFunc(items, Compare)
	if shares != nil {
		sortByShare(items, shares)
	}
	if turns != nil {
		lift(items, turns, now)
	}
}

// sortByShare orders the items of equal stage and priority by virtual time. An account's items follow each other, each
// by the cost of the one before it.
func sortByShare(items []*Item, shares *Shares) {
	tags := make(map[*Item]float64, len(items))
	next := map[shareKey]float64{}
	for _, it := range items {
		k := shareKey{it.Priority, it.Account}
		tag, ok := next[k]
		if !ok {
			tag = shares.start(k)
		}
		tags[it] = tag
		next[k] = tag + it.span()
	}
	slices.SortStableFunc(items, func(a, b *Item) int {
		return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Priority, b.Priority), cmp.Compare(tags[a], tags[b]))
	})
}

// lift moves the first item of each priority that is due ahead of all items that are not started.
func lift(items []*Item, turns *Turns, now time.Time) {
	due := turns.due(now)
	for i := len(due) - 1; i >= 0; i-- {
		at := slices.IndexFunc(items, func(it *Item) bool { return it.Priority == due[i] })
		if at < 0 || items[at].Stage == Started {
			continue
		}
		to := slices.IndexFunc(items, func(it *Item) bool { return it.Stage != Started })
		it := items[at]
		copy(items[to+1:at+1], items[to:at])
		items[to] = it
	}
}

// Waiting summarises the waiting requests of one service and priority.
type Waiting struct {
	Service  string
	Priority int
	Count    int
	Oldest   time.Duration // how long the request that has waited longest has waited
}

// Summarize counts the items of a service by priority, the most urgent first.
func Summarize(service string, items []*Item, now time.Time) []Waiting {
	var by [Priorities]Waiting
	for _, it := range items {
		w := &by[it.Priority]
		w.Count++
		w.Oldest = max(w.Oldest, now.Sub(it.QueuedAt))
	}
	var out []Waiting
	for p, w := range by {
		if w.Count > 0 {
			w.Service, w.Priority = service, p
			out = append(out, w)
		}
	}
	return out
}
