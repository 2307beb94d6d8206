package intent

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// race simulates operators who confirm plans at nodes of their choice, with one shared
// log.
type race struct {
	t        *rapid.T
	log      *fakeLog
	nodes    []*Keeper
	plans    []Plan
	outcomes map[string]uint64 // revision as which a plan was accepted, 0 if refused
	depth    int
}

// step confirms one plan once at one node.
func (r *race) step() {
	p := rapid.SampledFrom(r.plans).Draw(r.t, "plan")
	k := rapid.SampledFrom(r.nodes).Draw(r.t, "node")
	rev, done, err := k.confirmOnce(context.Background(), p)
	if !done {
		return
	}
	r.recordOutcome(p, rev, err)
}

func (r *race) recordOutcome(p Plan, rev Revision, err error) {
	before, seen := r.outcomes[p.ID]
	var conflict *ConflictError
	switch {
	case err == nil && seen && before != rev.N:
		r.t.Fatalf("plan %s first ended as revision %d and now as %d (0 means refused)", p.ID, before, rev.N)
	case err == nil:
		r.outcomes[p.ID] = rev.N
	case errors.As(err, &conflict) && seen && before != 0:
		r.t.Fatalf("plan %s was accepted as %d and is now refused", p.ID, before)
	case errors.As(err, &conflict):
		r.outcomes[p.ID] = 0
	default:
		r.t.Fatalf("plan %s: %v", p.ID, err)
	}
}

// runBetween runs steps of other operators and applies delayed writes between a read and
// the append that follows it.
func (r *race) runBetween() {
	if r.depth >= 3 {
		return
	}
	r.depth++
	defer func() { r.depth-- }()
	for range rapid.IntRange(0, 2).Draw(r.t, "steps between") {
		r.anyStep()
	}
}

func (r *race) anyStep() {
	if n := len(r.log.delayed); n > 0 && rapid.Bool().Draw(r.t, "a late write lands") {
		r.log.applyDelayed(rapid.IntRange(0, n-1).Draw(r.t, "which"))
		return
	}
	r.step()
}

// TestOperatorsRace guards against a change that takes effect twice, replaces another
// operator's change without notice, is lost after it was acknowledged, or takes effect
// after it was refused. Operators confirm plans made at the same revision at several nodes,
// while responses are lost, writes take effect late and the same plan is confirmed again at
// another node. A node must look for the plan in the log and compare the objects changed
// since the plan's base before it accepts the plan. When the outcome of an append is unknown,
// a node must repeat the append at the same position.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &race{t: t, log: newFakeLog(), outcomes: map[string]uint64{}}
		r.log.next = func() appendOutcome { return appendOutcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(t, "fate")) }
		r.log.before = r.runBetween
		for i := range 3 {
			k := NewKeeper(Config{Node: fmt.Sprint("n", i), Log: r.log, PeerClient: fakePeers{}})
			k.loaded.Store(true)
			last := uint64(0)
			k.Subscribe(func(s *State) {
				if s.Revision <= last {
					t.Fatalf("the state went from revision %d to %d", last, s.Revision)
				}
				last = s.Revision
			})
			r.nodes = append(r.nodes, k)
		}
		for i := range rapid.IntRange(2, 5).Draw(t, "plans") {
			object := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "object")
			p := MakePlan(NewState(), FleetView{}, "op", fmt.Sprint(i), Intents{Changes: []Change{account(object)}})
			r.plans = append(r.plans, p)
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			r.anyStep()
		}
		r.finish()
	})
}

// finish applies every delayed write, completes every plan and compares the results
// with the log.
func (r *race) finish() {
	r.log.next, r.log.before = nil, nil
	for len(r.log.delayed) > 0 {
		r.log.applyDelayed(0)
	}
	for _, p := range r.plans {
		for done := false; !done; {
			var rev Revision
			var err error
			rev, done, err = r.nodes[0].confirmOnce(context.Background(), p)
			if done {
				r.recordOutcome(p, rev, err)
			}
		}
	}
	at := map[string]uint64{}
	for n, e := range r.log.entries {
		if at[e.ID] != 0 {
			r.t.Fatalf("plan %s is in the log as %d and %d", e.ID, at[e.ID], n)
		}
		at[e.ID] = n
	}
	winners := map[string]int{}
	objects := map[string]bool{}
	for _, p := range r.plans {
		object := p.Changes[0].Object()
		objects[object] = true
		if r.outcomes[p.ID] != at[p.ID] {
			r.t.Fatalf("plan %s ended as revision %d and the log has it as %d", p.ID, r.outcomes[p.ID], at[p.ID])
		}
		if at[p.ID] != 0 {
			winners[object]++
		}
	}
	for object := range objects {
		if winners[object] != 1 {
			r.t.Fatalf("%d plans won for %s, want one of those made at one revision", winners[object], object)
		}
	}
}

// TestConfirmTellsDoubt guards against an operator who is told that nothing was changed
// although the change takes effect. The append is applied, its response is lost, and the
// service is unavailable from then on. The last failure, which certainly changed nothing,
// must not hide the first failure, which may have changed something.
func TestConfirmTellsDoubt(t *testing.T) {
	log := newFakeLog()
	k := NewKeeper(Config{Log: log, PeerClient: fakePeers{}})
	p := MakePlan(NewState(), FleetView{}, "op", "1", Intents{Changes: []Change{account("a")}})
	ctx, cancel := context.WithCancel(context.Background())
	log.next = func() appendOutcome {
		log.down = true
		return lost
	}
	k.cfg.Log = cancelAfterRead{log, cancel}
	_, err := k.Confirm(ctx, p)
	if !errors.Is(err, ErrUnsettled) {
		t.Fatalf("confirm = %v, want ErrUnsettled", err)
	}
	log.down, log.next = false, nil
	rev, err := k.Confirm(context.Background(), p)
	if err != nil || rev.N != 1 || len(log.entries) != 1 {
		t.Fatalf("second confirm = revision %d, %v; log has %d entries, want 1, nil, 1", rev.N, err, len(log.entries))
	}
}

// cancelAfterRead cancels the operator's call at the first read that fails.
type cancelAfterRead struct {
	*fakeLog
	cancel func()
}

func (c cancelAfterRead) Read(ctx context.Context, from uint64, max int) ([]LogEntry, error) {
	out, err := c.fakeLog.Read(ctx, from, max)
	if err != nil {
		c.cancel()
	}
	return out, err
}
