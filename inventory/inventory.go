// Package inventory keeps a copy of the VM list on every node while few nodes read it.
//
// Two nodes of each failure domain read the list. They flood to all nodes what changed
// between two of their readings; digests that neighbours compare deliver the changes to
// nodes that a flood missed.
//
// If each of hundreds of nodes read a list of thousands of entries every second, the list
// would be the first service to fail, and each node would spend its budget on parsing the
// list. When only a few nodes read the list, the following failures must be handled.
// Readers lag by different times, and messages arrive out of order; therefore records are
// merged by the time of their reading, whatever the order of arrival (Merge, Observer). When
// a flood was lost, a partition has ended or a node starts, the inventories of nodes differ;
// digests then repair the difference (State.Differing). When the readers crash or can't
// read the list, other nodes notice that no updates arrive and read the list themselves
// (Choose). When the list is down, empty or half empty, the reading removes no records
// (Observer.evaluate).
package inventory

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"wigeondale/event"
	"wigeondale/peer"
)

// Error is the class of this package's errors.
var Error = errs.Class("inventory")

const (
	// digestInterval is the mean time between digests with a random neighbour.
	digestInterval = 5 * time.Second
	// fallbackInterval is the mean time between readings of a node that isn't one of
	// the chosen readers. The interval is long because every node is a fallback reader
	// while no node can read the list.
	fallbackInterval = 30 * time.Second
	// callTimeout bounds one call to a neighbour.
	callTimeout = 2 * time.Second
	// jitterShare is the maximum share by which an interval is lengthened or shortened at
	// random, so that nodes don't act in step.
	jitterShare = 0.25
)

// Peers gives an Inventory access to the other nodes.
type Peers interface {
	// Members lists the visible nodes, this one included.
	Members() []peer.Member
	// Neighbour returns a random linked node, or false if there is none.
	Neighbour() (string, bool)
	Flood(Delta)
	Compare(ctx context.Context, node string, d Digest) (Digest, error)
	Exchange(ctx context.Context, node string, b Batch) (Batch, error)
}

// Config configures an Inventory.
type Config struct {
	Node          string
	FailureDomain string
	ReadInterval  time.Duration // mean time between a reader's readings
	// Read reads the platform's VM list.
	Read    func(ctx context.Context) ([]Item, error)
	Peers   Peers
	Events  *event.Log
	Metrics *metrics.Set
}

// Inventory is safe for concurrent use.
type Inventory struct {
	cfg          Config
	met          *meters
	changed      chan struct{}
	membersStale atomic.Bool // the members changed since they were last copied

	mu             sync.Mutex
	state          *State
	observer       *Observer
	lastReadingAt  time.Time // when the latest update about a reading arrived
	duty           Duty
	members        []peer.Member
	withholding    bool
	readings       int
	nextFallback   time.Time // time of the next reading as a fallback reader
	fallbackActive bool      // this node has read as a fallback, and no chosen reader has reported a reading since
}

// New returns an Inventory; Run starts reading and comparing.
func New(cfg Config) *Inventory {
	v := &Inventory{
		cfg:           cfg,
		changed:       make(chan struct{}, 1),
		state:         NewState(),
		observer:      NewObserver(cfg.Node),
		lastReadingAt: time.Now(),
		duty:          Reader,
	}
	v.membersStale.Store(true)
	v.met = newMeters(cfg.Metrics, v)
	return v
}

// Run reads the VM list while this node's duty is to read it, and compares digests with
// random neighbours, until ctx ends.
func (v *Inventory) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { every(ctx, v.cfg.ReadInterval, v.readIfDue); return nil })
	group.Go(func() error { every(ctx, digestInterval, v.digestRound); return nil })
	return group.Wait()
}

// every calls f until ctx ends. The jittered intervals are counted from the start of one
// call to the start of the next.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		next := time.Now().Add(jitter(interval))
		f(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
		}
	}
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare*(2*rand.Float64()-1)))
}

// Changed returns a channel that gets a value after the known records have changed.
// Several changes may result in one value.
func (v *Inventory) Changed() <-chan struct{} { return v.changed }

// MembersChanged makes the next check of this node's duty read the members from Peers
// again.
func (v *Inventory) MembersChanged() { v.membersStale.Store(true) }

// Live returns the records of entries that are on the list, in no particular order.
func (v *Inventory) Live() []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Live()
}

// Duty reports whether and why this node reads the list.
func (v *Inventory) Duty() Duty {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.duty
}

// readIfDue reads the VM list if this node is due to read it now (see due), applies the
// reading and floods the changes.
func (v *Inventory) readIfDue(ctx context.Context) {
	if !v.due(time.Now()) {
		return
	}
	started := time.Now()
	list, err := v.cfg.Read(ctx)
	if err != nil {
		v.readFailed()
		return
	}
	for _, d := range v.applyReading(list, started) {
		v.cfg.Peers.Flood(d)
	}
}

func (v *Inventory) readFailed() {
	v.met.readFailed.Inc()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fallbackActive = false
}

// due chooses this node's duty again and reports whether the node should read the list
// now.
func (v *Inventory) due(now time.Time) bool {
	var members []peer.Member
	stale := v.membersStale.Swap(false)
	if stale {
		members = v.cfg.Peers.Members()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if stale {
		v.members = members
	}
	before := v.duty
	v.duty = Choose(View{v.members, v.cfg.FailureDomain, now.Sub(v.lastReadingAt), v.fallbackActive})
	if v.duty == FallbackReader && before != FallbackReader {
		v.cfg.Events.Emit(event.InventoryAlone, "silence", now.Sub(v.lastReadingAt).String())
		// All nodes notice at the same time that no updates about readings arrive, so the
		// first fallback reading of each node is at a random time.
		v.nextFallback = now.Add(time.Duration(rand.Float64() * float64(fallbackInterval)))
	}
	if v.duty == NotReader && before != NotReader {
		v.observer.Reset()
	}
	if v.duty == FallbackReader {
		return v.fallbackDue(now)
	}
	return v.duty == Reader
}

func (v *Inventory) fallbackDue(now time.Time) bool {
	if now.Before(v.nextFallback) {
		return false
	}
	v.nextFallback = now.Add(jitter(fallbackInterval))
	return true
}

// applyReading applies a reading and returns the deltas to be flooded.
func (v *Inventory) applyReading(list []Item, started time.Time) []Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readings++
	changes, decision := v.observer.Observe(v.state, list, started)
	v.logDecision(decision, len(list))
	first := v.recordReading(started)
	v.merge(changes, v.met.byReading)
	out := deltas(v.state.newest, changes)
	if first && len(out) == 0 {
		// Send a delta without records, so that the other nodes find out at once that
		// the list was read and need not read it as a fallback.
		out = append(out, Delta{Newest: v.state.newest})
	}
	return out
}

// recordReading records this reading as the newest reading. It returns true if the reading
// is the first since this node became a fallback reader.
func (v *Inventory) recordReading(started time.Time) (first bool) {
	h := NewestReadings{Reading: v.state.nextStamp(started)}
	if v.duty == Reader {
		h.Chosen = h.Reading
	}
	v.recordReadings(h)
	first = v.duty == FallbackReader && !v.fallbackActive
	v.fallbackActive = v.duty == FallbackReader
	return first
}

// logDecision counts the decision and logs it if this node starts to withhold readings
// or a much smaller reading is confirmed.
func (v *Inventory) logDecision(decision Decision, shown int) {
	switch decision {
	case Withheld:
		v.met.readWithheld.Inc()
		if !v.withholding {
			v.cfg.Events.Emit(event.InventoryHeld, "shown", shown, "known", len(v.state.Live()))
		}
	case Confirmed:
		v.met.readOK.Inc()
		v.cfg.Events.Emit(event.InventoryShrunk, "shown", shown, "known", len(v.state.Live()))
	default:
		v.met.readOK.Inc()
	}
	v.withholding = decision == Withheld
}

// merge merges records into the state. It counts the records that changed the state and
// returns their number. Callers hold v.mu.
func (v *Inventory) merge(records []Record, from *metrics.Counter) int {
	changed := v.state.Merge(records, time.Now())
	if len(changed) == 0 {
		return 0
	}
	from.Add(len(changed))
	select {
	case v.changed <- struct{}{}:
	default:
	}
	return len(changed)
}

// deltas splits changes into floods. Records with At 0 are not flooded: no node has seen
// their entries change, so every node that starts makes the same records from the list.
// Nodes that can't read the list get these records by digests.
func deltas(h NewestReadings, changes []Record) []Delta {
	var out []Delta
	d := Delta{Newest: h}
	for _, r := range changes {
		if r.At == 0 {
			continue
		}
		d.Records = append(d.Records, r)
		if len(d.Records) == maxFlood {
			out = append(out, d)
			d.Records = nil
		}
	}
	if len(d.Records) > 0 {
		out = append(out, d)
	}
	return out[:min(len(out), maxFloods)]
}
