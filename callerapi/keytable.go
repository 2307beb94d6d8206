package callerapi

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// keyTable knows the keys that run on this node and keeps finished answers for
// a short while.
//
// Callers repeat a request when its answer was lost on the way. Without the
// table the repeat would be generated afresh: a second, different draft of one
// request. With it, a repeat gets the finished answer, or is told that the
// first is still running.
type keyTable struct {
	mu       sync.Mutex
	entries  map[string]*keyEntry
	order    *list.List // finished entries, oldest first
	bytes    int
	maxBytes int
	keep     time.Duration
}

type keyEntry struct {
	name     string
	hash     [16]byte
	cancel   context.CancelCauseFunc
	done     chan struct{} // closed when no longer live
	finished *finished     // nil while live
	at       time.Time
	element  *list.Element
}

// finished is a complete answer.
type finished struct {
	text   []byte
	finish string
	tokens int
	plain  *plainAnswer // of a plain service; text is empty then
}

const entryOverhead = 256 // bytes counted for an entry besides its text

func (f *finished) size() int {
	n := len(f.text) + entryOverhead
	if f.plain != nil {
		n += len(f.plain.body)
	}
	return n
}

func newKeyTable(maxBytes int, keep time.Duration) *keyTable {
	return &keyTable{
		entries:  map[string]*keyEntry{},
		order:    list.New(),
		maxBytes: maxBytes,
		keep:     keep,
	}
}

func keyName(account, key string) string { return account + "\x00" + key }

// begin makes the key live, or returns the entry that holds it already.
func (t *keyTable) begin(name string, hash [16]byte, cancel context.CancelCauseFunc) (entry *keyEntry, began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	if e, ok := t.entries[name]; ok {
		return e, false
	}
	e := &keyEntry{name: name, hash: hash, cancel: cancel, done: make(chan struct{})}
	t.entries[name] = e
	return e, true
}

// answer returns the finished answer, or nil while the entry is live.
func (t *keyTable) answer(e *keyEntry) *finished {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.finished
}

// end makes the key no longer live. f is kept if it is not nil and has room.
func (t *keyTable) end(e *keyEntry, f *finished) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(e.done)
	if f == nil || f.size() > t.maxBytes/4 {
		delete(t.entries, e.name)
		return
	}
	e.finished = f
	e.at = time.Now()
	e.element = t.order.PushBack(e)
	t.bytes += f.size()
	for t.bytes > t.maxBytes {
		t.drop(t.order.Front())
	}
}

func (t *keyTable) expire(now time.Time) {
	for el := t.order.Front(); el != nil; el = t.order.Front() {
		if now.Sub(el.Value.(*keyEntry).at) < t.keep {
			return
		}
		t.drop(el)
	}
}

func (t *keyTable) drop(el *list.Element) {
	e := el.Value.(*keyEntry)
	t.order.Remove(el)
	t.bytes -= e.finished.size()
	delete(t.entries, e.name)
}

// counts returns the live keys and the kept bytes, for the state dump.
func (t *keyTable) counts() (live, kept, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) - t.order.Len(), t.order.Len(), t.bytes
}
