package callerapi

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// keyTable records the idempotency keys that are running on this node, and keeps finished
// answers for a short time.
//
// Callers repeat a request when its answer was lost on the way. Without the table the
// repeated request would run again and produce a second, different answer. With the table,
// the repeated request gets the finished answer, or is refused while the first one is
// running.
type keyTable struct {
	mu       sync.Mutex
	entries  map[string]*keyEntry
	order    *list.List // finished entries, oldest first
	bytes    int
	maxBytes int
	keepTime time.Duration
}

type keyEntry struct {
	name       string
	hash       [16]byte
	cancel     context.CancelCauseFunc
	done       chan struct{}   // closed when the key is released
	finished   *finishedAnswer // nil while the request runs
	finishedAt time.Time
	element    *list.Element
}

// finishedAnswer is a complete answer that is kept, so that a repeated request gets the
// same answer.
type finishedAnswer struct {
	text    []byte
	finish  string
	tokens  int
	service *serviceAnswer // answer of a service that is not a model engine; text is empty then
}

const entryOverhead = 256 // bytes counted for an entry in addition to its text

func (f *finishedAnswer) size() int {
	n := len(f.text) + entryOverhead
	if f.service != nil {
		n += len(f.service.body)
	}
	return n
}

func newKeyTable(maxBytes int, keep time.Duration) *keyTable {
	return &keyTable{
		entries:  map[string]*keyEntry{},
		order:    list.New(),
		maxBytes: maxBytes,
		keepTime: keep,
	}
}

func keyName(account, key string) string { return account + "\x00" + key }

// acquire marks the key as running and returns its new entry, or returns the key's existing
// entry, whose request may be running or finished.
func (t *keyTable) acquire(name string, hash [16]byte, cancel context.CancelCauseFunc) (entry *keyEntry, acquired bool) {
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

// answer returns the finished answer of e, or nil while e's request runs.
func (t *keyTable) answer(e *keyEntry) *finishedAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.finished
}

// release marks the key as no longer running. f is kept unless it is nil or larger than a
// quarter of the table's maximum size; the oldest answers are dropped until f fits into the
// table's maximum size.
func (t *keyTable) release(e *keyEntry, f *finishedAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(e.done)
	if f == nil || f.size() > t.maxBytes/4 {
		delete(t.entries, e.name)
		return
	}
	e.finished = f
	e.finishedAt = time.Now()
	e.element = t.order.PushBack(e)
	t.bytes += f.size()
	for t.bytes > t.maxBytes {
		t.drop(t.order.Front())
	}
}

func (t *keyTable) expire(now time.Time) {
	for el := t.order.Front(); el != nil; el = t.order.Front() {
		if now.Sub(el.Value.(*keyEntry).finishedAt) < t.keepTime {
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

// counts returns the number of running keys, and the number and total size of kept
// answers, for the state dump.
func (t *keyTable) counts() (live, kept, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) - t.order.Len(), t.order.Len(), t.bytes
}
