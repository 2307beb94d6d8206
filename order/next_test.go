package order

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/intent"
)

var (
	v1 = fleet.ModelRef{Model: "m", Version: "v1"}
	v2 = fleet.ModelRef{Model: "m", Version: "v2"}
)

// fakeFleet is a set of engines that follow orders and record them. A load completes when
// the test calls completeLoads.
type fakeFleet struct {
	mu         sync.Mutex
	list       []fleet.Backend
	status     map[string]Status
	maxLoading int // maximum number of concurrent loads so far
	calls      int
}

func newFleet(ids ...string) *fakeFleet {
	f := &fakeFleet{status: map[string]Status{}}
	for _, id := range ids {
		f.list = append(f.list, fleet.Backend{ID: id, VM: "vm-" + id, Kind: fleet.Engine})
		f.status[id] = Status{Desired: []fleet.ModelRef{v1}, Actual: []fleet.ModelRef{v1}}
	}
	return f
}

func (f *fakeFleet) Status(_ context.Context, b fleet.Backend) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status[b.ID], nil
}

func (f *fakeFleet) Order(_ context.Context, b fleet.Backend, o Order) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	st := f.status[b.ID]
	st.Desired, st.Leaving = o.Desired, o.Leaving
	st.Loading = nil
	st.Actual = slices.DeleteFunc(slices.Clone(st.Actual), func(r fleet.ModelRef) bool { return !slices.Contains(o.Desired, r) })
	for _, ref := range o.Desired {
		if !slices.Contains(st.Actual, ref) {
			st.Loading = append(st.Loading, ref)
		}
	}
	f.status[b.ID] = st
	loading := 0
	for _, s := range f.status {
		loading += len(s.Loading)
	}
	f.maxLoading = max(f.maxLoading, loading)
	return st, nil
}

// completeLoads completes all running loads.
func (f *fakeFleet) completeLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, st := range f.status {
		st.Actual = append(st.Actual, st.Loading...)
		st.Loading = nil
		f.status[id] = st
	}
}

func (f *fakeFleet) serving(ref fleet.ModelRef) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, st := range f.status {
		if slices.Contains(st.Actual, ref) {
			n++
		}
	}
	return n
}

type freeLease struct{}

func (freeLease) Acquire(context.Context, time.Duration) (HeldLease, bool, error) {
	return HeldLease{Fence: 1}, true, nil
}
func (freeLease) Renew(context.Context, HeldLease) error   { return nil }
func (freeLease) Release(context.Context, HeldLease) error { return nil }

// TestWavesKeepOldVersions guards against a model without a replica while its new version
// loads, and against requests beyond the weight store's rate. A plan replaces v1 by v2 on
// four engines. The holder must not order all loads at once, and must not unload v1 as soon
// as v2 is ordered.
func TestWavesKeepOldVersions(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		state := intent.NewState()
		for _, b := range f.list {
			state.Placement[b.ID] = intent.Placement{Backend: b.ID, Desired: []fleet.ModelRef{v2}}
		}
		e, err := New(Config{
			Lease:    freeLease{},
			Backends: f,
			State:    func() *intent.State { return state },
			UpToDate: func() bool { return true },
			List:     func() []fleet.Backend { return f.list },
			Sizes:    func(context.Context) map[string]int64 { return map[string]int64{v2.String(): 100} },
			Policy:   Policy{WeightRate: 2},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(DefaultTTL)
		if f.calls != 0 {
			t.Fatalf("%d orders to engines that don't check fences while the former holder may still order", f.calls)
		}
		for range 120 {
			time.Sleep(time.Second)
			if f.serving(v1) < 4 && f.serving(v2) < 4 {
				t.Fatalf("%d engines serve v1 and %d serve v2", f.serving(v1), f.serving(v2))
			}
			f.completeLoads()
		}
		if f.serving(v1) != 0 || f.serving(v2) != 4 || f.maxLoading != 1 {
			t.Fatalf("v1 on %d, v2 on %d engines, at most %d loads at once; want 0, 4, 1", f.serving(v1), f.serving(v2), f.maxLoading)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	})
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	f := newFleet("a", "b")
	st := f.status["b"]
	st.Leaving = true // decided by the engine itself
	f.status["b"] = st
	state := intent.NewState()
	state.VMs["vm-a"] = intent.VMIntent{VM: "vm-a", Leaving: true}
	steps := Next(state, View{Backends: f.list, Status: f.status}, Policy{}.WithDefaults(), &Progress{}, time.Now())
	if len(steps) != 1 || steps[0].Backend.ID != "a" || !steps[0].Order.Leaving {
		t.Fatalf("steps = %+v, want one that lets a leave", steps)
	}
}
