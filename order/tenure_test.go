package order

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
)

var policy = Policy{TTL: 12 * time.Second, OrderDeadline: 2 * time.Second}

// simulation simulates one engine that checks fencing numbers and one engine that doesn't,
// a service that grants the lease, and two routers that send orders.
type simulation struct {
	t           *rapid.T
	now         time.Time
	holders     [2]*holder
	owner       int       // index of the router that has the lease at the service; -1 for none
	expires     time.Time // of the lease at the service
	fence       uint64
	newest      int // number of the newest plan
	engines     [2]*engine
	sentOrders  []*sentOrder
	faultsEnded bool // responses and orders are no longer lost
}

type holder struct {
	tenure *Tenure
	plan   int // number of the newest plan that this router knows
}

type engine struct {
	fleet.Backend
	seen    uint64 // highest fencing number received
	applied uint64 // fencing number of the last order applied
	serial  int    // serial number of the last order applied
	plan    int
}

// sentOrder is an order on its way to an engine; the order arrives by its deadline or not
// at all.
type sentOrder struct {
	to       *engine
	fence    uint64
	serial   int
	plan     int
	deadline time.Time
}

func (sim *simulation) advance() {
	sim.passTime(time.Duration(rapid.SampledFrom([]int{1, 500, 1500, 4000, 9000}).Draw(sim.t, "ms")) * time.Millisecond)
}

func (sim *simulation) passTime(d time.Duration) {
	sim.now = sim.now.Add(d)
	if sim.owner >= 0 && !sim.now.Before(sim.expires) {
		sim.owner = -1
	}
}

// keepLease acquires or renews the lease for holder i, or ends the holder's tenure, as an
// executor does before each round. Holder i then has the newest plan, unless the answer of
// its renewal was lost.
func (sim *simulation) keepLease(i int) {
	h := sim.holders[i]
	if h.tenure != nil && h.tenure.Expired(sim.now) {
		h.tenure = nil
	}
	switch {
	case h.tenure == nil && sim.owner < 0:
		sim.fence++
		sim.owner, sim.expires = i, sim.now.Add(policy.TTL)
		h.tenure = NewTenure(policy, sim.fence, sim.now, sim.now)
	case h.tenure != nil && h.tenure.RenewDue(sim.now) && sim.owner == i && h.tenure.Fence == sim.fence:
		sim.expires = sim.now.Add(policy.TTL)
		if !sim.faultsEnded && rapid.IntRange(0, 3).Draw(sim.t, "answer of the renewal is lost if 3") == 3 {
			return
		}
		h.tenure.RecordRenewal(sim.now)
	case h.tenure != nil && h.tenure.RenewDue(sim.now):
		h.tenure = nil
	}
	h.plan = sim.newest
}

// order sends an order without renewing the lease first. A holder that was paused after its
// last renewal does the same.
func (sim *simulation) order(i int, e *engine) {
	h := sim.holders[i]
	if h.tenure == nil {
		return
	}
	deadline, ok := h.tenure.PermitSend(sim.now, e.Backend)
	if !ok {
		return
	}
	sim.sentOrders = append(sim.sentOrders, &sentOrder{to: e, fence: h.tenure.Fence, serial: len(sim.sentOrders) + 1, plan: h.plan, deadline: deadline})
	if sim.faultsEnded || rapid.Bool().Draw(sim.t, "arrives at once") {
		sim.arrive(sim.sentOrders[len(sim.sentOrders)-1])
		h.tenure.RecordAnswer(e.Backend)
	}
}

func (sim *simulation) arrive(o *sentOrder) {
	e := o.to
	o.to = nil
	if e == nil || sim.now.After(o.deadline) {
		return
	}
	if e.ChecksFence && o.fence < e.seen {
		return
	}
	e.seen = max(e.seen, o.fence)
	if o.fence < e.applied || (o.fence == e.applied && o.serial < e.serial) {
		sim.t.Fatalf("%s: order %d of fence %d applied after order %d of fence %d", e.ID, o.serial, o.fence, e.serial, e.applied)
	}
	e.applied, e.serial, e.plan = o.fence, o.serial, o.plan
}

func (sim *simulation) step() {
	switch rapid.IntRange(0, 6).Draw(sim.t, "event") {
	case 0:
		sim.advance()
	case 1, 2:
		i := rapid.IntRange(0, 1).Draw(sim.t, "holder")
		sim.keepLease(i)
		for range rapid.IntRange(0, 6).Draw(sim.t, "rounds, the other being paused") {
			sim.passTime(3 * time.Second)
			sim.keepLease(i)
		}
	case 3, 4:
		sim.order(rapid.IntRange(0, 1).Draw(sim.t, "holder"), rapid.SampledFrom(sim.engines[:]).Draw(sim.t, "engine"))
	case 5:
		if len(sim.sentOrders) > 0 {
			sim.arrive(rapid.SampledFrom(sim.sentOrders).Draw(sim.t, "order"))
		}
	case 6:
		if rapid.Bool().Draw(sim.t, "the service loses the lease") {
			sim.owner = -1
		}
		sim.newest++
	}
}

// TestNoOlderOrderAfterNewer guards against an engine that returns to an older plan and
// unloads a version that traffic was moved to. A holder is paused or disconnected, its
// lease expires or is lost by the service, and another router takes over; then the first
// holder resumes and sends an order, or one of its orders is delayed on the way. A holder
// must check its lease directly before each order, and a new holder must wait until the
// former one can't send any more.
func TestNoOlderOrderAfterNewer(t *testing.T) {
	// The sequences are rare; with fewer checks the test may not detect a broken guard.
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: time.Unix(1000, 0), owner: -1}
		for i := range sim.holders {
			sim.holders[i] = &holder{}
			sim.engines[i] = &engine{Backend: fleet.Backend{ID: fmt.Sprint("e", i), ChecksFence: i == 0}}
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			sim.step()
		}
		sim.endFaults()
	})
}

// endFaults ends the faults and the tenure of holder 1. Then only holder 0 keeps the lease
// and sends orders, for 60 seconds of simulated time. endFaults fails the test if an engine
// is not at the newest plan after that time.
func (sim *simulation) endFaults() {
	sim.faultsEnded = true
	sim.holders[1].tenure = nil
	if sim.owner == 1 {
		sim.owner = -1
	}
	for range 60 {
		sim.passTime(time.Second)
		h := sim.holders[0]
		if h.tenure != nil && (sim.owner != 0 || h.tenure.Fence != sim.fence) {
			h.tenure = nil
		}
		sim.keepLease(0)
		for _, e := range sim.engines {
			if e.plan != sim.newest {
				sim.order(0, e)
			}
		}
	}
	for _, e := range sim.engines {
		if e.plan != sim.newest && sim.newest > 0 {
			sim.t.Fatalf("%s is at plan %d, want %d", e.ID, e.plan, sim.newest)
		}
	}
}
