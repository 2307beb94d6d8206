package directory

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
)

var ref = fleet.ModelRef{Model: "m", Version: "v1"}

func engine(id string) fleet.Backend {
	return fleet.Backend{ID: id, VM: "vm-" + id, Kind: fleet.Engine}
}

func report(incarnation string, asOf time.Time, running int) fleet.LoadReport {
	return fleet.LoadReport{Incarnation: incarnation, AsOfUnixMS: asOf.UnixMilli(), Running: running, Serves: []fleet.ModelRef{ref}}
}

// Symptom: all work goes to the engine whose report is oldest. Sequence: an
// engine reports 10 running, of which 4 ours; the report is a second late; in
// that second we send 5 more and 2 of ours end. Cause: a report knows nothing
// of what was sent since its time.
func TestEstimateBringsLateReportsForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{engine("e0")}, time.Now())
		var done []func()
		for range 4 {
			done = append(done, d.Start("e0", 1))
		}
		time.Sleep(time.Second)
		asOf := time.Now()
		time.Sleep(time.Second)
		for range 5 {
			d.Start("e0", 1)
		}
		done[0]()
		done[0]() // a second call does nothing
		done[1]()
		d.Report("e0", report("i1", asOf, 10), time.Now())
		live := d.Snapshot(ref)[0].Live
		if got := live.Load(asOf); got != 13 {
			t.Errorf("load %g, want 10 + 5 - 2", got)
		}
		if got := live.Load(time.Now().Add(time.Minute)); got != 7+6*fadeFloor {
			t.Errorf("load a minute later %g, want 7 of ours and the others' faded 6", got)
		}
	})
}

// Symptom: routers together send an engine more than it takes. What others
// have there is taken off; leaving engines count for nothing.
func TestCapacityLeavesRoomForOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(nil)
	d.Update([]fleet.Backend{engine("e0"), engine("e1"), engine("e2")}, now)
	d.Report("e0", report("i1", now, 6), now)
	d.Report("e1", report("i1", now, 30), now)
	d.Report("e2", report("i1", now, 0), now)
	if got := Capacity(d.Snapshot(ref), 10, now); got != 4+0+10 {
		t.Errorf("capacity %d, want 14", got)
	}
	for _, id := range []string{"e0", "e1", "e2"} {
		if got := Capacity(d.Snapshot(ref), 1, now); got != 1 {
			t.Errorf("capacity %d while one takes work, want 1", got)
		}
		d.MarkLeaving(id, "", FromRefusal)
	}
	if got := Capacity(d.Snapshot(ref), 10, now); got != 0 {
		t.Errorf("capacity %d of leaving engines", got)
	}
}

// Symptom: requests queue at an engine, or an engine idles while callers are
// refused. Sequence: an engine that runs 20 at once is taken for one of 64; its
// reports show a queue; or it is one that runs 200. It is started anew. Cause: engines do
// not say how many they run.
func TestReportsShowHowManyAnEngineTakes(t *testing.T) {
	for _, real := range []int{20, 200} {
		synctest.Test(t, func(t *testing.T) { learns(t, real) })
	}
}

func learns(t *testing.T, real int) {
	d := New(nil)
	d.Update([]fleet.Backend{engine("e0")}, time.Now())
	takes := func() int { return LearnedCapacity(d.Snapshot(ref), 1, time.Now()) }
	for range 60 {
		sent := takes()
		done := d.Start("e0", float64(sent))
		time.Sleep(time.Second)
		rep := report("i1", time.Now(), min(sent, real))
		rep.Waiting = max(sent-real, 0)
		d.Report("e0", rep, time.Now())
		done()
		time.Sleep(time.Second)
	}
	d.Report("e0", report("i1", time.Now(), 0), time.Now())
	if got := takes(); got < real || got > real+real/3 {
		t.Errorf("an engine that runs %d is given %d", real, got)
	}
	before := takes()
	d.Report("e0", report("i2", time.Now(), 0), time.Now())
	if got := takes(); got != before {
		t.Errorf("%d for a new incarnation, %d before", got, before)
	}
}

// Symptom: new work reaches a VM that is about to go. Sequence: any order of
// lagging news from the VM list, reports and rumours. Once a source said that
// an incarnation leaves, nothing but another incarnation's report may bring
// the engine back.
func TestLeavingSticksToItsIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		d := New(nil)
		d.Update([]fleet.Backend{engine("e0")}, now)
		current := "i0"
		d.Report("e0", report(current, now, 0), now)
		marked := map[string]bool{}
		listLeaving := false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				b := engine("e0")
				b.Leaving = rapid.Bool().Draw(t, "list")
				if b.Leaving && !listLeaving {
					marked[current] = true
				}
				listLeaving = b.Leaving
				d.Update([]fleet.Backend{b}, now)
			case 1:
				rep := report(current, now, 0)
				rep.Leaving = rapid.IntRange(0, 3).Draw(t, "report") == 0
				marked[current] = marked[current] || rep.Leaving
				d.Report("e0", rep, now)
			case 2:
				d.MarkLeaving("e0", current, FromPeerReport)
				marked[current] = true
			case 3:
				current = fmt.Sprint("i", now.Unix())
				d.Report("e0", report(current, now, 0), now)
			default:
				d.MarkLeaving("e0", "long-gone", FromPeerReport)
			}
			want := marked[current] || listLeaving
			if d.Leaving("e0") != want || d.Snapshot(ref)[0].Live.Leaving() != want {
				t.Fatalf("leaving %v, want %v", d.Leaving("e0"), want)
			}
		}
	})
}

// Symptom: an engine that was marked before its first report takes work.
func TestMarkBeforeFirstReport(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(nil)
	var told []string
	d.OnLeaving = func(id, incarnation string, s Source) { told = append(told, fmt.Sprint(id, incarnation, s)) }
	b := engine("e0")
	b.Leaving = true
	d.Update([]fleet.Backend{b}, now)
	d.Report("e0", report("i1", now, 0), now)
	d.Update([]fleet.Backend{engine("e0")}, now) // an older replica of the list
	if !d.Leaving("e0") || !d.Leaving("never-heard-of") {
		t.Error("the mark of the VM list was lost, or an unknown one takes work")
	}
	d.SetIntent(map[string]bool{"vm-e0": true})
	if len(told) != 1 {
		t.Errorf("announced %v, want once", told)
	}
}

// Symptom: prompts are drawn to a cache that dropped their blocks. Sequence:
// the event "removed" is lost, shown only by a gap in the numbers.
func TestCacheGapDropsTrust(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(nil)
	d.Update([]fleet.Backend{engine("e0")}, now)
	d.Report("e0", report("i1", now, 0), now)
	hits := func(at time.Time) int { return d.Snapshot(ref)[0].Live.Hits([]uint64{1, 2, 3}, at) }
	feed := func(seqs ...uint64) {
		b := CacheBatch{Incarnation: "i1"}
		for _, s := range seqs {
			b.Events = append(b.Events, CacheEvent{Seq: s, Stored: true, Block: s})
		}
		d.CacheEvents("e0", b, now)
	}
	feed(1, 2)
	if hits(now) != 2 {
		t.Fatalf("hits %d, want 2", hits(now))
	}
	feed(4)
	if hits(now) != 0 || hits(now.Add(relearn)) != 0 {
		t.Error("blocks from before the gap are still believed")
	}
	d.CacheEvents("e0", CacheBatch{Incarnation: "i1", Events: []CacheEvent{{5, true, 1}, {6, true, 2}, {7, false, 2}}}, now)
	if hits(now) != 0 || hits(now.Add(relearn)) != 1 {
		t.Errorf("relearned map: now %d, later %d; want 0, then 1", hits(now), hits(now.Add(relearn)))
	}
}

func TestSubsetIsStableAndEven(t *testing.T) {
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("e", i))
	}
	count := map[string]int{}
	for r := range 300 {
		name := fmt.Sprint("r", r)
		got := Subset(name, ids, 20)
		for _, id := range got {
			count[id]++
		}
		kept := 0
		for _, id := range Subset(name, ids[100:], 20) {
			if slices.Contains(got, id) {
				kept++
			}
		}
		if kept < 10 {
			t.Errorf("%s kept %d of 20 when a tenth of the fleet went", name, kept)
		}
	}
	for id, n := range count {
		if n > 6*5 { // the mean is 6
			t.Errorf("%s is in %d subsets", id, n)
		}
	}
}

// platform plays the VM list and the engines; it counts calls under way.
type platform struct {
	events      atomic.Int64 // polls for cache events
	mu          sync.Mutex
	fleet       []fleet.Backend
	asked       map[string]int
	under, most int
}

func (p *platform) Backends(context.Context) ([]fleet.Backend, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.fleet), nil
}

func (p *platform) Load(ctx context.Context, b fleet.Backend) (fleet.LoadReport, error) {
	p.mu.Lock()
	p.asked[b.ID]++
	p.under++
	p.most = max(p.most, p.under)
	p.mu.Unlock()
	defer func() { p.mu.Lock(); p.under--; p.mu.Unlock() }()
	if b.ID == "frozen" {
		<-ctx.Done()
		return fleet.LoadReport{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return report("i1", time.Now(), 1), nil
}

func (p *platform) CacheEvents(context.Context, fleet.Backend, uint64) (CacheBatch, error) {
	p.events.Add(1)
	return CacheBatch{}, errors.New("none")
}

// Symptom: a leaving VM gets work for longer than stated, since the poller is
// held up by frozen engines; or every router polls every engine. Sequence: 200
// engines, one of them frozen; after the fleet is known, one VM leaves.
func TestPollerKeepsItsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &platform{asked: map[string]int{}, fleet: []fleet.Backend{engine("frozen")}}
		for i := range 200 {
			p.fleet = append(p.fleet, engine(fmt.Sprint("e", i)))
		}
		d := New(nil)
		cfg := PollConfig{Router: "r1", SubsetSize: 10, Explore: 4, Concurrency: 4}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = NewPoller(cfg, d, p, p).Run(ctx) }()
		time.Sleep(30 * time.Second)
		if n := len(d.Snapshot(ref)); n != 10 {
			t.Errorf("%d candidates, want the subset of 10", n)
		}
		total := 0
		p.mu.Lock()
		for _, n := range p.asked {
			total += n
		}
		if n := p.events.Load(); n > 0 {
			t.Errorf("%d polls for cache events that no scorer uses", n)
		}
		if p.most > 4 || total > 40*(10+4)+20 {
			t.Errorf("%d polls at once and %d in 30 s", p.most, total)
		}
		p.fleet[5].Leaving = true
		id := p.fleet[5].ID
		p.mu.Unlock()
		time.Sleep(LeavingBound - PeerReportDelay)
		if !d.Leaving(id) {
			t.Errorf("not known to be leaving within %v", LeavingBound-PeerReportDelay)
		}
		cancel()
		<-done
	})
}

func BenchmarkSnapshotAndLoad(b *testing.B) {
	d, now := New(nil), time.Now()
	d.Update([]fleet.Backend{engine("e0")}, now)
	d.Report("e0", report("i1", now, 5), now)
	b.ReportAllocs()
	for b.Loop() {
		_ = d.Snapshot(ref)[0].Live.Load(now)
	}
}

func BenchmarkBytesPerBackend(b *testing.B) {
	const n = 2000
	var list []fleet.Backend
	for i := range n {
		list = append(list, engine(fmt.Sprint("e", i)))
	}
	now := time.Now()
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := New(nil)
		d.Update(list, now)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/backend")
		runtime.KeepAlive(d)
	}
}

// Symptom: an engine that leaves goes on getting work, and its load stays what it
// was an hour ago; another is polled in every round, so that others are not.
// Sequence: the engine's clock is set back by an hour while it runs. Cause: its
// reports count as overtaken ones, and the time of its last report is taken from its
// own clock.
func TestEngineClockIsSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{engine("e0"), engine("e1")}, time.Now())
		d.Report("e1", report("i1", time.Now(), 1), time.Now())
		time.Sleep(time.Second)
		d.Report("e0", report("i1", time.Now(), 40), time.Now())
		back := func() time.Time { return time.Now().Add(-time.Hour) }
		time.Sleep(time.Second)
		d.Report("e0", report("i1", back(), 3), time.Now())
		r := d.table.Load().byID["e0"]
		if got := r.Load(time.Now()); got > 4 {
			t.Errorf("load %v by a report from before the clock was set", got)
		}
		if first := d.LeastRecentlyReported("r1", map[string]bool{}, 1); len(first) != 1 || first[0] != "e1" {
			t.Errorf("%v is polled first, want e1, which was heard from longest ago", first)
		}
		leaving := report("i1", back(), 3)
		leaving.Leaving = true
		d.Report("e0", leaving, time.Now())
		if !d.Leaving("e0") {
			t.Error("the engine's word that it leaves is not heard")
		}
	})
}

// A report that another one overtook tells nothing of the load, but that the engine
// leaves holds.
func TestOvertakenReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{engine("e0")}, time.Now())
		first := report("i1", time.Now(), 40)
		first.Leaving = true
		time.Sleep(300 * time.Millisecond)
		d.Report("e0", report("i1", time.Now(), 3), time.Now())
		d.Report("e0", first, time.Now())
		if got := d.table.Load().byID["e0"].Load(time.Now()); got > 4 || !d.Leaving("e0") {
			t.Errorf("load %v, leaving %v", got, d.Leaving("e0"))
		}
	})
}
