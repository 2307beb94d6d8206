package admission

import (
	"sync"

	"wigeondale/schedule"
)

// Window limits how many requests at the head of a WaitQueue try to get an engine at the same time. A grant increases
// the limit by half, and a failed try halves it.
//
// With a fixed limit, the rate of grants depends on the limit and not on the free capacity of the engines: a router that
// receives all requests of a fleet would refuse most of them while engines are idle. Without a limit, all waiting
// requests would use processor time for failed tries while no engine has capacity.
type Window struct {
	min int

	mu    sync.Mutex
	size  int
	found [schedule.Priorities]bool // the latest try that shows whether this priority finds room succeeded
}

// NewWindow returns a window of at least min requests.
func NewWindow(min int) *Window { return &Window{min: min, size: min} }

// Size returns how many requests may try to get an engine now.
func (w *Window) Size() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size
}

// FoundRoom reports whether the latest try succeeded, which means that engines have free capacity for requests of the
// priority. What a request finds, more urgent ones find as well; what it doesn't find, less urgent ones don't find either.
func (w *Window) FoundRoom(priority int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.found[priority]
}

// Granted records that a try of a request of the priority succeeded. queued is the number of requests in the queue.
func (w *Window) Granted(priority, queued int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range priority + 1 {
		w.found[p] = true
	}
	w.size = max(min(w.size+max(w.size/2, 1), queued), w.min)
}

// NoRoom records that a try failed because no engine has free capacity.
func (w *Window) NoRoom(priority int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := priority; p < len(w.found); p++ {
		w.found[p] = false
	}
	w.size = max(w.size/2, w.min)
}
