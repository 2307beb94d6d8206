package daemon

import (
	"slices"
	"sync"
	"time"

	"wigeondale/event"
	"wigeondale/intent"
)

// drain says whether this node's own VM is to leave.
//
// What goes wrong without it: a plan lets an entry VM leave, nothing happens,
// and the VM is taken away with requests open. The balancer sees the failing
// readiness first; only after its notice is new work refused, so that no caller
// meets a router that the balancer still names; open requests are finished.
type drain struct {
	vm     string
	notice time.Duration
	log    *event.Log

	mu      sync.Mutex
	planned bool // by the configuration: a level, which a plan may take back
	listed  bool // by the VM list, whose lagging "live" takes nothing back
	since   time.Time
	entries []intent.EntryVM
}

// setPlanned takes in what the configuration in force says of this VM.
func (d *drain) setPlanned(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planned = leaving
	d.update("intent")
}

// setListed takes in the entry VMs of a reading of the VM list.
func (d *drain) setListed(entries []intent.EntryVM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = entries
	d.listed = d.listed || slices.Contains(entries, intent.EntryVM{VM: d.vm, Leaving: true})
	d.update("vm-list")
}

func (d *drain) update(source string) {
	leaving := d.planned || d.listed
	switch {
	case leaving && d.since.IsZero():
		d.since = time.Now()
		d.log.Emit(event.VMLeaving, "vm", d.vm, "source", source)
	case !leaving && !d.since.IsZero():
		d.since = time.Time{}
		d.log.Emit(event.VMStays, "vm", d.vm)
	}
}

// leaving fails the readiness that the balancer asks for.
func (d *drain) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

// closed tells that the balancer has had its notice and new work is refused.
func (d *drain) closed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero() && now.Sub(d.since) >= d.notice
}

// entryVMs lists the VMs of all routers as last read.
func (d *drain) entryVMs() []intent.EntryVM {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries
}
