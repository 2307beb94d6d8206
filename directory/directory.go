// Package directory records the backend servers that this router knows of. It merges
// the VM list, load reports, cache events, reports from other routers and this router's
// own requests in progress, each of which may be late or incomplete.
//
// Reports lag, so an engine that looks idle may just have been sent a hundred requests;
// the requests that this router sent after the report was made are therefore added to
// the reported load. An engine that is leaving may look alive in a lagging list; once
// any source reports that an incarnation is leaving, the backend server counts as
// leaving until a new incarnation appears. Cache events have gaps; after a gap the map
// of that engine isn't used until it has been relearned.
package directory

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/routing"
)

// PollInterval is the mean interval at which a router polls an engine's load and at
// which a node that reads the VM list reads it; each interval is lengthened or
// shortened by up to PollJitter times its length.
const (
	PollInterval = time.Second
	PollJitter   = 0.25
)

// PeerReportDelay bounds how long a peer report takes to reach every router.
const PeerReportDelay = time.Second

// LeavingBound is the maximum time for which any router still sends new work to a leaving
// backend server. The time starts when a poll of the VM list or of the engine would first
// show that the backend server is leaving, or when the engine would first refuse work.
//
// The bound is the sum of two times. Within one polling interval with its jitter, some
// router finds out that the backend server is leaving. Then one flood reaches all other
// routers: a flood of a peer report or, for the VM list, of a reader's update. The readers
// of the list poll at different times, so the first reader usually sees the change sooner.
//
// Exceptions: the lag of the platform's VM list comes on top of the bound. If a flood is
// lost, the nodes' digests deliver the update later, within some digest rounds.
const LeavingBound = PollInterval + PollInterval/4 + PeerReportDelay

// missingGrace is how long a backend server may be missing from the VM list before it
// is removed. A reading may lack a server that exists, because the list lags and may be
// served by an old replica.
const missingGrace = 30 * time.Second

// unlistedSweep is the least time between two looks at the unlisted backend servers.
const unlistedSweep = time.Second

// Source names the source of the information that a backend server is leaving.
type Source string

// Sources of MarkLeaving.
const (
	FromIntent     Source = "intent"
	FromVMList     Source = "vm-list"
	FromReport     Source = "report"
	FromRefusal    Source = "refusal"
	FromAnswer     Source = "answer" // an answer to a request
	FromPeerReport Source = "rumour"
)

// Directory is safe for concurrent use.
type Directory struct {
	log       *event.Log
	index     index
	byRef     atomic.Pointer[map[fleet.ModelRef][]routing.Candidate] // never modified, only replaced
	anyReport atomic.Bool
	loads     loadTracker
	// OnLeaving, set before the Directory is used, is called once for each incarnation
	// that turns out to be leaving, so that this router can broadcast a peer report. If it
	// is nil, no report is broadcast.
	OnLeaving func(id, incarnation string, source Source)

	mu       sync.Mutex         // held by writers, one at a time
	unlisted map[string]*record // records of backend servers that are missing from the list
	swept    time.Time          // time of the last look at unlisted
	subset   map[string]bool
	intent   map[string]bool // VMs that should leave by the configuration
}

// New returns an empty Directory.
func New(log *event.Log) *Directory {
	d := &Directory{
		log: log, index: newIndex(), unlisted: map[string]*record{},
		loads: loadTracker{busy: map[*record]struct{}{}},
	}
	d.byRef.Store(&map[fleet.ModelRef][]routing.Candidate{})
	return d
}

// Report applies an engine's load report: it updates which models the engine serves, its
// load, the estimate of how many requests it runs at once, and whether it is leaving. A
// report of an unknown engine is ignored.
func (d *Directory) Report(id string, rep fleet.LoadReport, now time.Time) {
	r := d.index.get(id)
	if r == nil {
		return
	}
	d.anyReport.Store(true)
	changed, nowLeaving := r.applyReport(rep, now)
	if changed {
		d.mu.Lock()
		d.candidateChanged(r)
		d.mu.Unlock()
	}
	if nowLeaving {
		d.announceLeaving(id, rep.Incarnation, FromReport)
	}
}

// Select restricts the candidates that Snapshot returns to a subset of the engines; nil
// means all engines. Engines outside the subset are left out because this router does not
// poll them often enough to know their state.
func (d *Directory) Select(subset map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(d.subset, subset) {
		return
	}
	d.subset = maps.Clone(subset)
	d.rebuildRefs()
}

// candidateChanged updates the lists that contain the candidate made from r. The caller
// holds d.mu.
func (d *Directory) candidateChanged(r *record) {
	service := r.service()
	if service == "" {
		d.rebuildRefs()
		return
	}
	if d.index.get(r.id) == r {
		d.index.put(r, service)
	}
}

// rebuildRefs replaces the lists of the engines by the models that they serve. It runs only
// when the set of engines or what they serve changes: figures that change with each request
// are read through the records. The caller holds d.mu.
func (d *Directory) rebuildRefs() {
	byRef := map[fleet.ModelRef][]routing.Candidate{}
	for _, r := range d.index.all() {
		c := r.candidate()
		if c.Backend.Kind == fleet.Service || d.subset != nil && !d.subset[r.id] {
			continue
		}
		for _, ref := range c.Serves {
			byRef[ref] = append(byRef[ref], c)
		}
	}
	d.byRef.Store(&byRef)
}

// Snapshot returns the engines of the subset (Select) that serve ref. The slice is shared
// and must only be read. A call costs one atomic load and one map look-up.
func (d *Directory) Snapshot(ref fleet.ModelRef) []routing.Candidate {
	return (*d.byRef.Load())[ref]
}

// Serving counts all engines known to serve ref, including the engines outside the
// subset.
func (d *Directory) Serving(ref fleet.ModelRef) int {
	n := 0
	for _, r := range d.index.all() {
		if r.serves(ref) {
			n++
		}
	}
	return n
}

// Service returns the backend servers of a service that is not a model engine. The slice
// is shared and must only be read.
func (d *Directory) Service(name string) []routing.Candidate {
	return d.index.candidates(name)
}

// FleetKnown reports whether this router has received a load report of any engine yet.
func (d *Directory) FleetKnown() bool { return d.anyReport.Load() }

// Backend returns the backend server with the given id, as last listed in the VM list. The
// bool is false if no such backend server is known.
func (d *Directory) Backend(id string) (fleet.Backend, bool) {
	r := d.index.get(id)
	if r == nil {
		return fleet.Backend{}, false
	}
	return *r.candidate().Backend, true
}

// Incarnation returns the last reported incarnation of a backend server, or "" if none
// is known.
func (d *Directory) Incarnation(id string) string {
	r := d.index.get(id)
	if r == nil {
		return ""
	}
	return r.currentIncarnation()
}

// IDs returns the ids of the known backend servers in ascending order.
func (d *Directory) IDs() []string {
	all := d.index.all()
	ids := make([]string, 0, len(all))
	for _, r := range all {
		ids = append(ids, r.id)
	}
	return ids
}

// Empty reports whether no backend server is known.
func (d *Directory) Empty() bool { return d.index.len() == 0 }

// MarkLeaving marks one incarnation of a backend server as leaving. If the backend server
// was not leaving before, MarkLeaving also logs the change and calls OnLeaving. The mark
// counts until the backend server reports a new incarnation. An empty incarnation means
// the current incarnation.
func (d *Directory) MarkLeaving(id, incarnation string, source Source) {
	r := d.index.get(id)
	if r == nil {
		return
	}
	if r.markLeaving(incarnation) {
		d.announceLeaving(id, incarnation, source)
	}
}

// Marked reports whether the current incarnation of a backend server is marked as leaving, by MarkLeaving or another source.
// A backend server may also count as leaving without a mark, for as long as it isn't listed or by the configuration.
func (d *Directory) Marked(id string) bool {
	r := d.index.get(id)
	return r != nil && r.marked()
}

// SetIntent sets which VMs should leave according to the configuration in force. Unlike
// MarkLeaving, SetIntent does not mark incarnations. A VM that is missing from the set at
// a later call gets work again, unless another source reports that VM as leaving.
func (d *Directory) SetIntent(leavingVMs map[string]bool) {
	d.mu.Lock()
	d.intent = maps.Clone(leavingVMs)
	var nowIntended []*record
	for _, r := range d.index.all() {
		if r.setIntent(leavingVMs[r.candidate().Backend.VM]) {
			nowIntended = append(nowIntended, r)
		}
	}
	d.mu.Unlock()
	for _, r := range nowIntended {
		d.announceLeaving(r.id, r.currentIncarnation(), FromIntent)
	}
}

// Leaving reports whether a backend server is leaving. Callers call it again at
// dispatch, and for queued work, because the backend server may have started to leave
// since it was chosen. An unknown backend server counts as leaving.
func (d *Directory) Leaving(id string) bool {
	r := d.index.get(id)
	return r == nil || r.Leaving()
}

func (d *Directory) announceLeaving(id, incarnation string, source Source) {
	d.log.Emit(event.EngineLeaving, "backend", id, "incarnation", incarnation, "source", string(source))
	if d.OnLeaving != nil {
		d.OnLeaving(id, incarnation, source)
	}
}
