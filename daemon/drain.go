package daemon

import (
	"slices"
	"sync"
	"time"

	"wigeondale/event"
	"wigeondale/intent"
)

// drain tracks whether this node's own VM is to leave the fleet.
//
// Without this tracking, a plan under which an entry VM leaves would have no effect on the
// VM's router, and the VM would be removed while requests are open. When the VM is to
// leave, readiness fails at once. New work is refused only after the notice period, so that
// callers are never refused by a router that the balancer still sends them to. Open
// requests are finished.
type drain struct {
	vm     string
	notice time.Duration
	log    *event.Log

	mu      sync.Mutex
	planned bool // leaving by the configuration; a later plan may cancel this
	listed  bool // leaving by the VM list; a later "live" from the lagging list does not cancel this
	since   time.Time
	entries []intent.EntryVM
}

// setPlanned records whether the configuration in force says that this VM leaves.
func (d *drain) setPlanned(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planned = leaving
	d.update("intent")
}

// setListed records the entry VMs that the VM list showed when it was last read. Once the
// list has shown this VM as leaving, the VM counts as leaving for good.
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

// leaving reports whether the readiness check is to fail because this VM leaves.
func (d *drain) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

// noticeOver reports whether the notice period is over, so that new work is refused.
func (d *drain) noticeOver(now time.Time) bool {
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
