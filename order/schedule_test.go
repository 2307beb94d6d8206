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

// quietFleet is n engines that are at their goal.
func quietFleet(n int) (*fleetOf, *intent.State) {
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

// rounds runs a Schedule over a fleet of which some engines don't answer.
type rounds struct {
	*Schedule
	f     *fleetOf
	s     *intent.State
	inc   map[string]string
	mute  map[string]bool
	now   time.Time
	asked map[string]time.Time
}

func newRounds(n int) *rounds {
	f, s := quietFleet(n)
	now := time.Unix(0, 0)
	return &rounds{
		Schedule: NewSchedule(now), f: f, s: s, now: now,
		inc: map[string]string{}, mute: map[string]bool{}, asked: map[string]time.Time{},
	}
}

// round returns the names of the engines that it asked.
func (r *rounds) round() map[string]bool {
	out := map[string]bool{}
	for {
		due := r.Due(r.s, r.f.list, func(id string) string { return r.inc[id] }, r.now)
		if len(due) == 0 {
			return out
		}
		for _, b := range due {
			out[b.ID], r.asked[b.ID] = true, r.now
			if r.mute[b.ID] {
				r.RecordFailure(b.ID)
				continue
			}
			r.RecordAnswer(b.ID, r.f.status[b.ID])
		}
	}
}

// Symptom: an engine that restarted or lost a version is never put right, or a
// change waits for a minute. Sequence: any, of changes, failures and drift.
// Cause: a schedule that puts an engine off, or takes an old answer for new.
func TestScheduleAsksInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRounds(6)
		prog := &Progress{}
		for range rapid.IntRange(60, 200).Draw(t, "rounds") {
			r.now = r.now.Add(time.Second)
			id := r.f.list[rapid.IntRange(0, 5).Draw(t, "engine")].ID
			failing, must := len(r.mute) > 0 && r.mute[id], true
			switch rapid.IntRange(0, 20).Draw(t, "what") {
			case 0:
				want := []fleet.ModelRef{v2}
				must = !slices.Equal(r.s.Placement[id].Desired, want)
				r.s.Placement[id] = intent.Placement{Backend: id, Desired: want}
			case 1:
				r.s.VMs["vm-"+id] = intent.VMIntent{VM: "vm-" + id, Leaving: !r.s.Leaving("vm-" + id)}
			case 2:
				r.inc[id] += "x"
			case 3:
				r.mute[id], must = !failing, false
			case 4: // drift, without a sign
				r.f.status[id], must = Status{Desired: r.f.status[id].Desired}, false
			case 5:
				r.f.loaded()
				must = false
			default:
				must = false
			}
			asked := r.round()
			if must && !asked[id] {
				t.Fatalf("%s changed and wasn't asked in the next round", id)
			}
			for _, b := range r.f.list {
				if late := r.now.Sub(r.asked[b.ID]); late > SweepInterval {
					t.Fatalf("%s was last asked %v ago, at most %v is allowed", b.ID, late, SweepInterval)
				}
			}
			for _, step := range Next(r.s, View{Backends: r.f.list, Status: r.status}, Policy{}.WithDefaults(), prog, r.now) {
				if !asked[step.Backend.ID] {
					t.Fatalf("order for %s from an answer of an earlier round", step.Backend.ID)
				}
				if rapid.Bool().Draw(t, "order arrives") {
					_, _ = r.f.Order(context.Background(), step.Backend, step.Order)
				}
			}
		}
	})
}

// Symptom: the holder of the order lease takes a core and 4.4 MB a second in a
// large fleet where nothing changes. Cause: all engines asked in each round.
func TestQuietRoundsAreBounded(t *testing.T) {
	const engines, perRound = 6000, 2 * 6000 / 60
	r := newRounds(engines)
	if n := len(r.round()); n != engines {
		t.Fatalf("a new holder asks %d engines, want all %d", n, engines)
	}
	total := 0
	for range 60 {
		r.now = r.now.Add(time.Second)
		n := len(r.round())
		total += n
		if n > perRound {
			t.Fatalf("a quiet round asks %d engines, at most %d are allowed", n, perRound)
		}
	}
	if total != engines {
		t.Fatalf("%d questions in a minute, want one for each of %d engines", total, engines)
	}
	clear(r.s.Placement)
	r.now = r.now.Add(time.Hour)
	if n := len(r.round()); n != 0 {
		t.Fatalf("%d engines asked with nothing placed", n)
	}
}

func TestFailingEngineIsAskedLessOften(t *testing.T) {
	r := newRounds(1)
	r.mute["engine-0"] = true
	var at []int
	for i := range 200 {
		if len(r.round()) > 0 {
			at = append(at, i)
		}
		r.now = r.now.Add(time.Second)
	}
	if want := []int{0, 1, 2, 3, 5, 9, 17, 33, 65, 125, 185}; !slices.Equal(at, want) {
		t.Fatalf("asked at seconds %v, want %v", at, want)
	}
}

// Symptom: a model has no replica left. Sequence: two engines serve v2; one
// loses it without a sign; the other is seen to have v1 as well. Cause: v1 is
// unloaded by an answer of the first engine that is a minute old.
func TestOldVersionStaysWhenAnAnswerIsOld(t *testing.T) {
	r := newRounds(2)
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
			t.Fatalf("%s is told to unload v1 while %s serves nothing", a, b)
		}
	}
}

// BenchmarkRound is a round at 10,000 engines, each question two HTTP requests
// over loopback; the time of the answering side is included. "all" is what a new
// holder does, and each round did before there was a Schedule.
func BenchmarkRound(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/v1/load" {
			_, _ = w.Write([]byte(`{"incarnation":"1","role":"both","serves":[{"model":"m","version":"v1"}]}`))
			return
		}
		_, _ = w.Write([]byte(`{"fence":1,"desired":[{"model":"m","version":"v1"}],"actual":[{"model":"m","version":"v1"}]}`))
	}))
	defer srv.Close()
	f, s := quietFleet(10_000)
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

// cpu is the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
