package intent

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// race is operators who confirm plans at nodes of their choice, over one log.
type race struct {
	t       *rapid.T
	log     *fakeLog
	nodes   []*Keeper
	plans   []Plan
	settled map[string]uint64 // accepted as, 0 for refused
	depth   int
}

// step confirms one plan once at one node.
func (r *race) step() {
	p := rapid.SampledFrom(r.plans).Draw(r.t, "plan")
	k := rapid.SampledFrom(r.nodes).Draw(r.t, "node")
	rev, done, err := k.confirmOnce(context.Background(), p)
	if !done {
		return
	}
	r.note(p, rev, err)
}

func (r *race) note(p Plan, rev Revision, err error) {
	before, seen := r.settled[p.ID]
	var conflict *ConflictError
	switch {
	case err == nil && seen && before != rev.N:
		r.t.Fatalf("plan %s was settled as %d and now as %d", p.ID, before, rev.N)
	case err == nil:
		r.settled[p.ID] = rev.N
	case errors.As(err, &conflict) && seen && before != 0:
		r.t.Fatalf("plan %s was accepted as %d and is now refused", p.ID, before)
	case errors.As(err, &conflict):
		r.settled[p.ID] = 0
	default:
		r.t.Fatalf("plan %s: %v", p.ID, err)
	}
}

// between runs other operators and late writes between a read and its append.
func (r *race) between() {
	if r.depth >= 3 {
		return
	}
	r.depth++
	defer func() { r.depth-- }()
	for range rapid.IntRange(0, 2).Draw(r.t, "steps between") {
		r.any()
	}
}

func (r *race) any() {
	if n := len(r.log.late); n > 0 && rapid.Bool().Draw(r.t, "a late write lands") {
		r.log.landOne(rapid.IntRange(0, n-1).Draw(r.t, "which"))
		return
	}
	r.step()
}

// Symptom: a change is in force twice, one operator's change silently replaces
// another's, or one that was acknowledged is gone, or one refused comes true.
// Sequence: operators confirm plans made at the same revision at several nodes;
// answers are lost, writes land late, the same plan is confirmed again elsewhere.
// Cause: accepting without looking for the plan in the log, without comparing
// the objects changed since its base, or at another place than the one in doubt.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &race{t: t, log: newFakeLog(), settled: map[string]uint64{}}
		r.log.next = func() fate { return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")) }
		r.log.before = r.between
		for i := range 3 {
			k := NewKeeper(Config{Node: fmt.Sprint("n", i), Log: r.log, PeerClient: fakeSpread{}})
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
			r.any()
		}
		r.finish()
	})
}

// finish lets every late write land, settles every plan and compares with the log.
func (r *race) finish() {
	r.log.next, r.log.before = nil, nil
	for len(r.log.late) > 0 {
		r.log.landOne(0)
	}
	for _, p := range r.plans {
		for done := false; !done; {
			var rev Revision
			var err error
			rev, done, err = r.nodes[0].confirmOnce(context.Background(), p)
			if done {
				r.note(p, rev, err)
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
		if r.settled[p.ID] != at[p.ID] {
			r.t.Fatalf("plan %s was settled as %d and the log has it as %d", p.ID, r.settled[p.ID], at[p.ID])
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

// Symptom: confirm tells the operator that nothing was changed, yet the change
// comes into force. Sequence: the append is applied, its answer is lost, and the
// service is down from then on. Cause: the last failure, which surely changed
// nothing, hides the first, which may have.
func TestConfirmTellsDoubt(t *testing.T) {
	log := newFakeLog()
	k := NewKeeper(Config{Log: log, PeerClient: fakeSpread{}})
	p := MakePlan(NewState(), FleetView{}, "op", "1", Intents{Changes: []Change{account("a")}})
	ctx, cancel := context.WithCancel(context.Background())
	log.next = func() fate {
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

// cancelAfterRead ends the operator's call at the first read that fails.
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
