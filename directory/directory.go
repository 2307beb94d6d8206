// Package directory holds the backend servers as this router knows them. It
// merges the VM list, load reports, cache events, rumours and the router's own
// requests under way, each of which is late or incomplete in its own way.
//
// Failure story: reports lag, so an engine that looks idle may just have been
// sent a hundred requests; what we sent since is added. An engine that is
// leaving may look alive in a lagging list; once any source says that an
// incarnation leaves, that sticks until a new incarnation shows up. Cache
// events have gaps; after a gap the map of that engine is not trusted until
// it has been relearned.
package directory

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/routing"
)

// PollInterval is the mean interval at which an engine's load is asked for and
// a reader reads the VM list; each poll is moved by up to PollJitter of it.
const (
	PollInterval = time.Second
	PollJitter   = 0.25
)

// PeerReportDelay bounds how long a rumour takes to reach every router.
const PeerReportDelay = time.Second

// LeavingBound is the time after which a leaving backend server gets no new
// work, counted from when the VM list, a report or an engine's refusal would
// first show it to any router that asks: one poll with its jitter, then the
// flood, be it of a rumour or, for the VM list, of a reader's news. The readers
// of the list poll apart, so the first of them mostly has it sooner. What lag the
// platform's VM list has comes on top; and where a flood is lost, digests bring
// the news later, within some rounds.
const LeavingBound = PollInterval + PollInterval/4 + PeerReportDelay

// missingGrace is how long a backend server may be missing from the VM list
// before it is dropped. The list lags and may be answered by an old replica.
const missingGrace = 30 * time.Second

// Source tells who said that a backend server is leaving.
type Source string

// Sources of MarkLeaving.
const (
	FromIntent     Source = "intent"
	FromVMList     Source = "vm-list"
	FromReport     Source = "report"
	FromRefusal    Source = "refusal"
	FromPeerReport Source = "rumour"
)

// table is an immutable view of the fleet, replaced as a whole.
type table struct {
	byID     map[string]*record
	byRef    map[fleet.ModelRef][]routing.Candidate
	services map[string][]routing.Candidate
}

// Directory is safe for concurrent use. Readers take no lock.
type Directory struct {
	log   *event.Log
	table atomic.Pointer[table]
	heard atomic.Bool
	loads loadBook
	// OnLeaving, set before use, is told once for each incarnation that turns
	// out to be leaving, so that a rumour can be spread.
	OnLeaving func(id, incarnation string, source Source)

	mu     sync.Mutex // serialises writers
	subset map[string]bool
	intent map[string]bool // VMs that the configuration wants to leave
}

// New returns an empty Directory.
func New(log *event.Log) *Directory {
	d := &Directory{log: log, loads: loadBook{busy: map[*record]struct{}{}}}
	d.table.Store(&table{})
	return d
}

// Update takes in a reading of the VM list. Backend servers missing from it
// are kept for a while, and for as long as they have requests under way.
func (d *Directory) Update(list []fleet.Backend, now time.Time) {
	d.mu.Lock()
	old := d.table.Load()
	byID := make(map[string]*record, len(list))
	var left, planned []*record
	for _, b := range list {
		r := old.byID[b.ID]
		if r == nil {
			r = newRecord(b, &d.loads.tells)
		}
		if r.listed(b, now) {
			left = append(left, r)
		}
		// The configuration may be older than this entry of the list: a router
		// that was started after its revision would otherwise send work there.
		if r.setIntent(d.intent[b.VM]) {
			planned = append(planned, r)
		}
		byID[b.ID] = r
	}
	for id, r := range old.byID {
		if _, ok := byID[id]; !ok && r.keep(now) {
			byID[id] = r
		}
	}
	d.rebuild(byID)
	d.mu.Unlock()
	for _, r := range left {
		d.announce(r.id, r.currentIncarnation(), FromVMList)
	}
	for _, r := range planned {
		d.announce(r.id, r.currentIncarnation(), FromIntent)
	}
}

// Report takes in an engine's load report.
func (d *Directory) Report(id string, rep fleet.LoadReport, now time.Time) {
	r := d.table.Load().byID[id]
	if r == nil {
		return
	}
	d.heard.Store(true)
	changed, left := r.report(rep, now)
	if changed {
		d.mu.Lock()
		d.rebuild(d.table.Load().byID)
		d.mu.Unlock()
	}
	if left {
		d.announce(id, rep.Incarnation, FromReport)
	}
}

// Select narrows snapshots to a subset of the engines; nil means all. Engines
// outside the subset are not polled often enough to be judged.
func (d *Directory) Select(subset map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(d.subset, subset) {
		return
	}
	d.subset = maps.Clone(subset)
	d.rebuild(d.table.Load().byID)
}

// rebuild replaces the table. It runs only when the fleet's shape changes: the
// figures that change with each request are read through the records.
func (d *Directory) rebuild(byID map[string]*record) {
	t := &table{
		byID:     byID,
		byRef:    map[fleet.ModelRef][]routing.Candidate{},
		services: map[string][]routing.Candidate{},
	}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		c := byID[id].candidate()
		if c.Backend.Kind == fleet.Service {
			t.services[c.Backend.Service] = append(t.services[c.Backend.Service], c)
			continue
		}
		if d.subset != nil && !d.subset[id] {
			continue
		}
		for _, ref := range c.Serves {
			t.byRef[ref] = append(t.byRef[ref], c)
		}
	}
	d.table.Store(t)
}

// Snapshot returns the engines that serve ref. The slice is shared: only read
// it. It costs one atomic load and one map look-up.
func (d *Directory) Snapshot(ref fleet.ModelRef) []routing.Candidate {
	return d.table.Load().byRef[ref]
}

// Serving counts all engines known to serve ref, in the subset or not.
func (d *Directory) Serving(ref fleet.ModelRef) int {
	n := 0
	for _, r := range d.table.Load().byID {
		if r.serves(ref) {
			n++
		}
	}
	return n
}

// Service returns the backend servers of a plain service, to be read only.
func (d *Directory) Service(name string) []routing.Candidate {
	return d.table.Load().services[name]
}

// FleetKnown tells whether any engine has reported yet.
func (d *Directory) FleetKnown() bool { return d.heard.Load() }

// Backend returns a backend server by its id.
func (d *Directory) Backend(id string) (fleet.Backend, bool) {
	r := d.table.Load().byID[id]
	if r == nil {
		return fleet.Backend{}, false
	}
	return r.candidate().Backend, true
}

// Incarnation returns the one last reported, or "" when none is known.
func (d *Directory) Incarnation(id string) string {
	r := d.table.Load().byID[id]
	if r == nil {
		return ""
	}
	return r.currentIncarnation()
}

// IDs lists the known backend servers in order.
func (d *Directory) IDs() []string {
	return slices.Sorted(maps.Keys(d.table.Load().byID))
}

// MarkLeaving records that one incarnation is leaving. It sticks until the
// backend server shows a new incarnation. An empty incarnation means the one
// known now.
func (d *Directory) MarkLeaving(id, incarnation string, source Source) {
	r := d.table.Load().byID[id]
	if r == nil {
		return
	}
	if r.markLeaving(incarnation) {
		d.announce(id, incarnation, source)
	}
}

// SetIntent sets which VMs the configuration in force wants to leave. It is a
// level, not an edge: a VM taken off it is back unless another source holds.
func (d *Directory) SetIntent(leavingVMs map[string]bool) {
	d.mu.Lock()
	d.intent = maps.Clone(leavingVMs)
	var planned []*record
	for _, r := range d.table.Load().byID {
		if r.setIntent(leavingVMs[r.candidate().Backend.VM]) {
			planned = append(planned, r)
		}
	}
	d.mu.Unlock()
	for _, r := range planned {
		d.announce(r.id, r.currentIncarnation(), FromIntent)
	}
}

// Leaving is asked again at the moment of dispatch, and for queued work. An
// unknown backend server counts as leaving.
func (d *Directory) Leaving(id string) bool {
	r := d.table.Load().byID[id]
	return r == nil || r.Leaving()
}

func (d *Directory) announce(id, incarnation string, source Source) {
	d.log.Emit(event.EngineLeaving, "backend", id, "incarnation", incarnation, "source", string(source))
	if d.OnLeaving != nil {
		d.OnLeaving(id, incarnation, source)
	}
}
