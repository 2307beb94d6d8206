package schedule

import (
	"slices"
	"time"
)

// Lane is a queue of items of one stage and priority. It gives the same order as Sort, without sorting again for each
// grant, for queues of a thousand requests. A Lane is not safe for concurrent use.
type Lane struct {
	shares  *Shares
	waiting map[string][]*Item // by account, in the order of their first tries
	size    int
}

// NewLane returns an empty lane.
func NewLane() *Lane { return &Lane{shares: NewShares(), waiting: map[string][]*Item{}} }

// Len returns the number of waiting items.
func (l *Lane) Len() int { return l.size }

// Push adds an item.
func (l *Lane) Push(it *Item, now time.Time) {
	l.shares.Join(it, now)
	q := l.waiting[it.Account]
	at, _ := slices.BinarySearchFunc(q, it, Compare)
	l.waiting[it.Account] = slices.Insert(q, at, it)
	l.size++
}

// Pop takes out the first item and charges its account. It returns nil if the lane is empty.
func (l *Lane) Pop(now time.Time) (*Item, *Charge) {
	var first *Item
	var lowest float64
	for _, q := range l.waiting {
		tag := l.start(q[0])
		if first == nil || tag < lowest || tag == lowest && Compare(q[0], first) < 0 {
			first, lowest = q[0], tag
		}
	}
	if first == nil {
		return nil, nil
	}
	charge := l.shares.Grant(first, now)
	l.take(first)
	return first, charge
}

// Remove takes out an item that is given up, and reports whether it waited.
func (l *Lane) Remove(it *Item, now time.Time) bool {
	if !slices.Contains(l.waiting[it.Account], it) {
		return false
	}
	l.shares.Leave(it, now)
	l.take(it)
	return true
}

// take removes an item from its account's queue. When nothing waits any more, the use of all accounts is forgotten, so that
// the state of accounts without requests doesn't accumulate.
func (l *Lane) take(it *Item) {
	q := l.waiting[it.Account]
	at := slices.Index(q, it)
	if q = slices.Delete(q, at, at+1); len(q) == 0 {
		delete(l.waiting, it.Account)
	} else {
		l.waiting[it.Account] = q
	}
	if l.size--; l.size == 0 {
		l.shares = NewShares()
	}
}

func (l *Lane) start(it *Item) float64 { return l.shares.start(shareKey{it.Priority, it.Account}) }

// Tag returns the start tag that a new item would get: the virtual time at which it is served.
func (l *Lane) Tag(it *Item) float64 {
	tag := l.start(it)
	for _, o := range l.waiting[it.Account] {
		tag += o.span()
	}
	return tag
}

// Ahead counts the items that would be served before a new one.
func (l *Lane) Ahead(it *Item) int {
	n, tag := 0, l.Tag(it)
	l.each(func(_ *Item, t float64) {
		if t <= tag {
			n++
		}
	})
	return n
}

// Last returns the item that is served last, with its start tag; nil if the lane is empty.
func (l *Lane) Last() (last *Item, tag float64) {
	l.each(func(it *Item, t float64) {
		if last == nil || t > tag || t == tag && Compare(it, last) > 0 {
			last, tag = it, t
		}
	})
	return last, tag
}

// each calls f for each item with its start tag.
func (l *Lane) each(f func(it *Item, tag float64)) {
	for _, q := range l.waiting {
		tag := l.start(q[0])
		for _, it := range q {
			f(it, tag)
			tag += it.span()
		}
	}
}
