package directory

import (
	"time"

	"wigeondale/fleet"
)

// This file applies the VM list to the records: whole lists, and changes of it.

// Update applies a reading of the VM list. Backend servers missing from the list are kept
// for missingGrace after they were last listed, and for as long as they have requests of
// this router in progress.
func (d *Directory) Update(list []fleet.Backend, now time.Time) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	d.mu.Lock()
	var missing []*record
	for _, r := range d.index.all() {
		if !listed[r.id] {
			missing = append(missing, r)
		}
	}
	d.applyChanges(list, missing, now)
}

// Apply applies changes of the VM list: the backend servers that were added or changed, and
// the ids of those that were removed. Removed backend servers are kept as Update does. Its
// cost depends on the number of changes, not on the size of the fleet.
func (d *Directory) Apply(changed []fleet.Backend, removed []string, now time.Time) {
	d.mu.Lock()
	var missing []*record
	for _, id := range removed {
		r := d.index.get(id)
		if r == nil || d.unlisted[id] != nil {
			continue
		}
		r.markListed(now) // it was in the list until now
		missing = append(missing, r)
	}
	d.applyChanges(changed, missing, now)
}

// Unlist stops the use of a backend server that the list no longer names, at once and until Apply names it again. That it
// is missing does not mean that it is leaving: its registration may have lapsed. Apply must be called with its id as well.
func (d *Directory) Unlist(id string) {
	if r := d.index.get(id); r != nil {
		r.withdraw()
	}
}

// Withdraw stops the use of backend servers of which no more changes become known, until they
// are listed again. Their requests in progress go on, and they are kept as those that were
// removed from the list; no router is notified.
func (d *Directory) Withdraw(ids []string, now time.Time) {
	for _, id := range ids {
		d.Unlist(id)
	}
	d.Apply(nil, ids, now)
}

// applyChanges applies the entries of listed backend servers, and notes which records are
// missing from the list. The caller holds d.mu; applyChanges releases it before it announces
// what is leaving now.
func (d *Directory) applyChanges(listed []fleet.Backend, missing []*record, now time.Time) {
	var nowLeaving, nowIntended []*record
	anyEngine := false
	for _, b := range listed {
		r := d.index.get(b.ID)
		before := ""
		if r == nil {
			r = newRecord(b, &d.loads.peersSendLoads)
		} else {
			before = r.service()
		}
		delete(d.unlisted, b.ID)
		if r.applyListEntry(b, now) {
			nowLeaving = append(nowLeaving, r)
		}
		// The configuration in force may be older than this entry of the list, so its list
		// of VMs that should leave (SetIntent) is applied to new entries as well.
		// Otherwise a router that was started after that revision of the configuration
		// would send work to a VM that should leave.
		if r.setIntent(d.intent[b.VM]) {
			nowIntended = append(nowIntended, r)
		}
		d.index.put(r, before)
		anyEngine = anyEngine || b.Kind != fleet.Service
	}
	for _, r := range missing {
		d.unlisted[r.id] = r
	}
	if d.dropUnlisted(now) || anyEngine {
		d.rebuildRefs()
	}
	d.mu.Unlock()
	for _, r := range nowLeaving {
		d.announceLeaving(r.id, r.currentIncarnation(), FromVMList)
	}
	for _, r := range nowIntended {
		d.announceLeaving(r.id, r.currentIncarnation(), FromIntent)
	}
}

// dropUnlisted drops the unlisted records that need not be kept any longer, and reports
// whether a model engine was among them.
func (d *Directory) dropUnlisted(now time.Time) (engine bool) {
	if now.Sub(d.swept) < unlistedSweep {
		return false
	}
	d.swept = now
	for id, r := range d.unlisted {
		if r.keepUnlisted(now) {
			continue
		}
		delete(d.unlisted, id)
		d.index.remove(r)
		engine = engine || r.service() == ""
	}
	return engine
}
