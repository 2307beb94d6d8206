package order

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/intent"
)

// settledFleet returns n engines that have reached their goal.
func settledFleet(n int) (*fakeFleet, *intent.State) {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("engine-%d", i)
	}
	f, s := newFleet(ids...), intent.NewState()
	for _, id := range ids {
		s.Placement[id] = intent.Placement{Backend: id, Desired: []fleet.ModelRef{v1}}
	}
	return f, s
}

// scheduleRunner runs a Schedule over a fleet in which some engines don't answer.
type scheduleRunner struct {
	*Schedule
	f            *fakeFleet
	s            *intent.State
	inc          map[string]string
	unresponsive map[string]bool
	now          time.Time
	lastQueried  map[string]time.Time
}

func newScheduleRunner(n int) *scheduleRunner {
	f, s := settledFleet(n)
	now := time.Unix(0, 0)
	return &scheduleRunner{
		Schedule: NewSchedule(now), f: f, s: s, now: now,
		inc: map[string]string{}, unresponsive: map[string]bool{}, lastQueried: map[string]time.Time{},
	}
}

// round runs one round and returns the ids of the engines queried.
func (r *scheduleRunner) round() map[string]bool {
	out := map[string]bool{}
	for {
		due := r.Due(r.s, r.f.list, func(id string) string { return r.inc[id] }, r.now)
		if len(due) == 0 {
			return out
		}
		for _, b := range due {
			out[b.ID], r.lastQueried[b.ID] = true, r.now
			if r.unresponsive[b.ID] {
				r.RecordFailure(b.ID)
				continue
			}
			r.RecordAnswer(b.ID, r.f.status[b.ID])
		}
	}
}

// TestScheduleAsksInTime guards against an engine that restarted or lost a version and is
// never corrected, and against a change that waits for a minute. It runs random sequences of
// changes, failures and unannounced losses. The schedule must not query an engine too late,
// and must not use an old answer as the current one.
func TestScheduleAsksInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newScheduleRunner(6)
		prog := &Progress{}
		for range rapid.IntRange(60, 200).Draw(t, "rounds") {
			r.now = r.now.Add(time.Second)
			id := r.f.list[rapid.IntRange(0, 5).Draw(t, "engine")].ID
			failing, mustQuery := len(r.unresponsive) > 0 && r.unresponsive[id], true
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				want := []fleet.ModelRef{v2}
				mustQuery = !slices.Equal(r.s.Placement[id].Desired, want)
				r.s.Placement[id] = intent.Placement{Backend: id, Desired: want}
			case 1:
				r.s.VMs["vm-"+id] = intent.VMIntent{VM: "vm-" + id, Leaving: !r.s.Leaving("vm-" + id)}
			case 2:
				r.inc[id] += "x"
			case 3:
				r.unresponsive[id], mustQuery = !failing, false
			case 4: // the engine loses its versions and nothing reports it
				r.f.status[id], mustQuery = Status{Desired: r.f.status[id].Desired}, false
			case 5:
				r.f.completeLoads()
				mustQuery = false
			default:
				mustQuery = false
			}
			queried := r.round()
			if mustQuery && !queried[id] {
				t.Fatalf("%s changed and wasn't queried in the next round", id)
			}
			for _, b := range r.f.list {
				if sinceQuery := r.now.Sub(r.lastQueried[b.ID]); sinceQuery > SweepInterval {
					t.Fatalf("%s was last queried %v ago, at most %v is allowed", b.ID, sinceQuery, SweepInterval)
				}
			}
			for _, step := range Next(r.s, View{Backends: r.f.list, Status: r.status}, Policy{}.WithDefaults(), prog, r.now) {
				if !queried[step.Backend.ID] {
					t.Fatalf("order for %s from an answer of an earlier round", step.Backend.ID)
				}
				if rapid.Bool().Draw(t, "order arrives") {
					_, _ = r.f.Order(context.Background(), step.Backend, step.Order)
				}
			}
		}
	})
}

// TestQuietRoundsAreBounded guards against querying all engines in each round. In a large
// fleet where nothing changes, this cost the holder of the order lease one CPU core and 4.4
// MB per second.
func TestQuietRoundsAreBounded(t *testing.T) {
	const engines, perRound = 6000, 2 * 6000 / 60
	r := newScheduleRunner(engines)
	if n := len(r.round()); n != engines {
		t.Fatalf("a new holder queries %d engines, want all %d", n, engines)
	}
	total := 0
	for range 60 {
		r.now = r.now.Add(time.Second)
		n := len(r.round())
		total += n
		if n > perRound {
			t.Fatalf("a quiet round queries %d engines, at most %d are allowed", n, perRound)
		}
	}
	if total != engines {
		t.Fatalf("%d queries in a minute, want one for each of %d engines", total, engines)
	}
	clear(r.s.Placement)
	r.now = r.now.Add(time.Hour)
	if n := len(r.round()); n != 0 {
		t.Fatalf("%d engines queried with nothing placed", n)
	}
}

func TestFailingEngineIsAskedLessOften(t *testing.T) {
	r := newScheduleRunner(1)
	r.unresponsive["engine-0"] = true
	var at []int
	for i := range 200 {
		if len(r.round()) > 0 {
			at = append(at, i)
		}
		r.now = r.now.Add(time.Second)
	}
	if want := []int{0, 1, 2, 3, 5, 9, 17, 33, 65, 125, 185}; !slices.Equal(at, want) {
		t.Fatalf("queried at seconds %v, want %v", at, want)
	}
}

// TestOldVersionStaysWhenAnAnswerIsOld guards against a model without a replica. Two
// engines serve v2; the first one loses v2 and nothing reports this; the second one then
// also has v1. The second engine must not be told to unload v1 because of an answer of the
// first engine that is a minute old.
func TestOldVersionStaysWhenAnAnswerIsOld(t *testing.T) {
	r := newScheduleRunner(2)
	a, b := r.f.list[0].ID, r.f.list[1].ID
	for _, id := range []string{a, b} {
		r.s.Placement[id] = intent.Placement{Backend: id, Desired: []fleet.ModelRef{v2}}
		r.f.status[id] = Status{Desired: []fleet.ModelRef{v2}, Actual: []fleet.ModelRef{v2}}
	}
	prog := &Progress{}
	next := func() []Step {
		return Next(r.s, View{Backends: r.f.list, Status: r.status}, Policy{}.WithDefaults(), prog, r.now)
	}
	r.round()
	next()
	r.now = r.now.Add(DefaultUnloadGrace)
	r.round()
	r.f.status[b] = Status{Desired: []fleet.ModelRef{v2}}
	r.f.status[a] = Status{Desired: []fleet.ModelRef{v1, v2}, Actual: []fleet.ModelRef{v1, v2}}
	r.inc[a] = "restarted"
	r.now = r.now.Add(time.Second)
	r.round()
	for _, step := range next() {
		if step.Backend.ID == a && !slices.Contains(step.Order.Desired, v1) {
			t.Fatalf("%s is ordered to unload v1 while %s serves nothing", a, b)
		}
	}
}

// BenchmarkRound measures a round with 10,000 engines, in which each query is two HTTP
// requests over loopback; the time of the server side is included. "all" is the round in
// which a new holder queries every engine, as each round did before Schedule existed.
func BenchmarkRound(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/v1/load" {
			_, _ = w.Write([]byte(`{"incarnation":"1","role":"both","serves":[{"model":"m","version":"v1"}]}`))
			return
		}
		_, _ = w.Write([]byte(`{"fence":1,"desired":[{"model":"m","version":"v1"}],"actual":[{"model":"m","version":"v1"}]}`))
	}))
	defer srv.Close()
	f, s := settledFleet(10_000)
	for i := range f.list {
		f.list[i].Addr = strings.TrimPrefix(srv.URL, "http://")
	}
	client := backend.NewClient()
	defer client.CloseIdle()
	e, err := New(Config{
		Backends: NewBackends(client),
		State:    func() *intent.State { return s },
		List:     func() []fleet.Backend { return f.list },
		Sizes:    func(context.Context) map[string]int64 { return nil },
	})
	if err != nil {
		b.Fatal(err)
	}
	run := func(newHolder bool) func(b *testing.B) {
		return func(b *testing.B) {
			now := time.Now()
			e.roundAt(b.Context(), 1, now)
			before := cpu()
			for b.Loop() {
				if newHolder {
					e.schedule = nil
				}
				now = now.Add(time.Second)
				e.roundAt(b.Context(), 1, now)
			}
			b.ReportMetric(float64((cpu()-before).Milliseconds())/float64(b.N), "cpu-ms/op")
		}
	}
	b.Run("all", run(true))
	b.Run("quiet", run(false))
}

// cpu returns the CPU time used by this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
