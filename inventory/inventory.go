// Package inventory keeps the VM list on every node while few nodes read it.
//
// Two nodes of each failure domain read the list. What changed between two
// readings is flooded; digests between neighbours mend what a flood missed.
//
// Failure story: if each of hundreds of nodes read a list of thousands of
// entries every second, the list would be the first service to fall, and each
// node would spend its budget on parsing it. With few readers, the failures to
// guard against are these. Readers lag differently, and messages cross: records
// merge by the time of their reading, in any order (Merge, Observer). A flood is
// lost, a partition heals, a node starts: digests (State.Differing). The readers
// die, or can't read: others notice the silence and read (Choose). The list is
// down, empty or half empty: nothing is removed by it (Observer.judge).
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
	// aloneInterval is the mean time between readings of a node that isn't one
	// of the readers: while the list is down for all, every node is one.
	aloneInterval = 30 * time.Second
	// callTimeout bounds one call to a neighbour.
	callTimeout = 2 * time.Second
	// jitterShare moves each interval either way.
	jitterShare = 0.25
)

// Peers reaches the other nodes.
type Peers interface {
	// Members lists the visible nodes, this one included.
	Members() []peer.Member
	// Neighbour returns a linked node at random, false if there is none.
	Neighbour() (string, bool)
	Flood(Delta)
	Compare(ctx context.Context, node string, d Digest) (Digest, error)
	Exchange(ctx context.Context, node string, b Batch) (Batch, error)
}

// Config wires an Inventory.
type Config struct {
	Node          string
	FailureDomain string
	ReadInterval  time.Duration // mean time between a reader's readings
	// Read reads the platform's list.
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
	membersMoved atomic.Bool // the members changed since they were last copied

	mu       sync.Mutex
	state    *State
	observer *Observer
	heard    time.Time // when the last news of a reading came
	duty     Duty
	members  []peer.Member
	held     bool
	readings int
	alone    time.Time // next reading of a node that reads alone
	standing bool      // it has read alone, and no chosen reader was heard since
}

// New returns an Inventory; Run does the work.
func New(cfg Config) *Inventory {
	v := &Inventory{
		cfg:      cfg,
		changed:  make(chan struct{}, 1),
		state:    NewState(),
		observer: NewObserver(cfg.Node),
		heard:    time.Now(),
		duty:     Reader,
	}
	v.membersMoved.Store(true)
	v.met = newMeters(cfg.Metrics, v)
	return v
}

// Run reads the list when it is this node's turn, and compares digests, until
// ctx ends.
func (v *Inventory) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { every(ctx, v.cfg.ReadInterval, v.readIfDue); return nil })
	group.Go(func() error { every(ctx, digestInterval, v.round); return nil })
	return group.Wait()
}

// every calls f at jittered intervals, counted from start to start.
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

// Changed gets a value after what is known has changed.
func (v *Inventory) Changed() <-chan struct{} { return v.changed }

// MembersChanged makes the next turn look at the members anew.
func (v *Inventory) MembersChanged() { v.membersMoved.Store(true) }

// Live returns the records on the list, in no order.
func (v *Inventory) Live() []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Live()
}

// Duty tells whether this node reads the list.
func (v *Inventory) Duty() Duty {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.duty
}

// readIfDue reads the list if this node is to.
func (v *Inventory) readIfDue(ctx context.Context) {
	if !v.due(time.Now()) {
		return
	}
	started := time.Now()
	list, err := v.cfg.Read(ctx)
	if err != nil {
		v.failed()
		return
	}
	for _, d := range v.read(list, started) {
		v.cfg.Peers.Flood(d)
	}
}

func (v *Inventory) failed() {
	v.met.readFailed.Inc()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.standing = false
}

// due chooses the duty anew and tells whether to read now.
func (v *Inventory) due(now time.Time) bool {
	var members []peer.Member
	moved := v.membersMoved.Swap(false)
	if moved {
		members = v.cfg.Peers.Members()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if moved {
		v.members = members
	}
	before := v.duty
	v.duty = Choose(View{v.members, v.cfg.FailureDomain, now.Sub(v.heard), v.standing})
	if v.duty == FallbackReader && before != FallbackReader {
		v.cfg.Events.Emit(event.InventoryAlone, "silence", now.Sub(v.heard).String())
		// Spread: a silence begins for all nodes at once.
		v.alone = now.Add(time.Duration(rand.Float64() * float64(aloneInterval)))
	}
	if v.duty == NotReader && before != NotReader {
		v.observer.Reset()
	}
	if v.duty == FallbackReader {
		return v.aloneDue(now)
	}
	return v.duty == Reader
}

func (v *Inventory) aloneDue(now time.Time) bool {
	if now.Before(v.alone) {
		return false
	}
	v.alone = now.Add(jitter(aloneInterval))
	return true
}

// read takes a reading in and returns what is to be flooded.
func (v *Inventory) read(list []Item, started time.Time) []Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readings++
	changes, verdict := v.observer.Observe(v.state, list, started)
	v.logVerdict(verdict, len(list))
	first := v.noteReading(started)
	v.merge(changes, v.met.byReading)
	out := deltas(v.state.heard, changes)
	if first && len(out) == 0 {
		// Others that would read alone hear at once that they need not.
		out = append(out, Delta{Newest: v.state.heard})
	}
	return out
}

// noteReading makes this reading the newest one; true if it is the first one of
// a node that reads alone.
func (v *Inventory) noteReading(started time.Time) (first bool) {
	h := NewestReadings{Reading: v.state.stamp(started)}
	if v.duty == Reader {
		h.Chosen = h.Reading
	}
	v.hear(h)
	first = v.duty == FallbackReader && !v.standing
	v.standing = v.duty == FallbackReader
	return first
}

// logVerdict logs when readings begin to be held back, and how that ends.
func (v *Inventory) logVerdict(verdict Decision, shown int) {
	switch verdict {
	case Withheld:
		v.met.readHeld.Inc()
		if !v.held {
			v.cfg.Events.Emit(event.InventoryHeld, "shown", shown, "known", len(v.state.Live()))
		}
	case Confirmed:
		v.met.readOK.Inc()
		v.cfg.Events.Emit(event.InventoryShrunk, "shown", shown, "known", len(v.state.Live()))
	default:
		v.met.readOK.Inc()
	}
	v.held = verdict == Withheld
}

// merge takes records in and counts those that were news. Callers hold v.mu.
func (v *Inventory) merge(records []Record, from *metrics.Counter) int {
	news := v.state.Merge(records, time.Now())
	if len(news) == 0 {
		return 0
	}
	from.Add(len(news))
	select {
	case v.changed <- struct{}{}:
	default:
	}
	return len(news)
}

// deltas cuts changes into floods. Records that nobody saw to change are left
// to digests: every node that starts makes the same ones.
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
