package binding

import (
	"maps"
	"slices"
	"time"
)

// completeInterval is how often a router checks that the records of its streams are at the routers
// that are to keep them. Others have become these since, have started again, or did not receive them.
const completeInterval = time.Second

func (t *Tracker) complete(now time.Duration) {
	services := map[string]bool{}
	for service, h := range t.services {
		if t.unconfirmed || t.moved || h.several(now, t.cfg.Lifetime(service)) {
			services[service] = true
		}
	}
	if len(services) == 0 && !t.records.ownUnknown {
		return
	}
	live := t.cfg.Routers()
	members := digest(live)
	changed := members != t.membership
	t.membership = members
	published := func(r *storedRecord) bool { return services[r.Service] || r.Version == UnknownVersion }
	t.publish(t.records.unsent(published, changed, now), live, now)
}

// Began records that a stream began at a version. keep is how long the client may take it up. Other routers get the record if
// they could not conclude the version without it: there are several versions, the store may be away, or the version isn't known.
func (t *Tracker) Began(key Key, service, version string, keep, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Record{Key: key, Service: service, Version: version, KeepMS: keep.Milliseconds()}
	if !t.records.put(r, true, now) {
		return
	}
	h := t.services[service]
	if t.unconfirmed || t.moved || version == UnknownVersion || h != nil && h.several(now, t.cfg.Lifetime(service)) {
		t.publish([]Key{key}, t.cfg.Routers(), now)
	}
}

// publish sends records of this router to the routers that are to keep them and may not have them.
func (t *Tracker) publish(own []Key, live []Router, now time.Duration) {
	byRouter := map[Router][]Record{}
	for _, key := range own {
		for _, to := range keepers(key, live, copiesIn(len(live))) {
			if r, due := t.records.send(key, to, now); due {
				byRouter[to] = append(byRouter[to], r)
			}
		}
	}
	for to, records := range byRouter {
		t.cfg.Send(to, records)
	}
}

// Unstored returns up to n records of this router's streams that the store is to have and may lack. While the store
// states that a service has one version, it needs records only of the streams that did not begin there.
func (t *Tracker) Unstored(n int, now time.Duration) []Record {
	era := t.cfg.StoreEra()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		sole, _ := t.services[service].statement.SoleVersion(era)
		if t.moved {
			sole = "" // the records also say at which service the streams began
		}
		out = append(out, t.records.unstored(service, sole, n-len(out), now)...)
	}
	return out
}

// RecordsStored records that the store has records.
func (t *Tracker) RecordsStored(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		t.records.setStored(records[i].Key)
	}
}

// Recheck makes the next tick check that the records of this router's streams are where they belong. It is
// called when routers come or go.
func (t *Tracker) Recheck() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completedAt = never
}

// Failed records that a router did not receive records that were sent to it.
func (t *Tracker) Failed(to Router, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		t.records.failed(records[i].Key, to)
	}
}

// Received records that a router keeps records that were sent to it.
func (t *Tracker) Received(by Router, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		t.records.received(records[i].Key, by)
	}
}

// Keep records what another router has sent.
func (t *Tracker) Keep(records []Record, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.records.put(r, false, now)
	}
}

// Reply answers the question of another router.
func (t *Tracker) Reply(q Query, now time.Duration) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records.get(q.Key, now)
	if !ok {
		return Reply{}
	}
	return Reply{Found: true, Version: r.Version, AgeMS: (now - r.at).Milliseconds(), KeepMS: (r.expires - now).Milliseconds()}
}
