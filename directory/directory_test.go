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
	"time"

	"pgregory.net/rapid"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

var ref = fleet.ModelRef{Model: "m", Version: "v1"}

func engine(id string) fleet.Backend {
	return fleet.Backend{ID: id, VM: "vm-" + id, Kind: fleet.Engine}
}

func report(incarnation string, asOf time.Time, running int) fleet.LoadReport {
	return fleet.LoadReport{Incarnation: incarnation, AsOfUnixMS: asOf.UnixMilli(), Running: running, Serves: []fleet.ModelRef{ref}}
}

// TestEstimateBringsLateReportsForward guards against sending all work to the engine
// whose report is oldest: a report doesn't include the requests that were sent after it
// was made. An engine reports 10 running requests, of which 4 were sent by this router;
// the report arrives a second late, and in that second this router sends 5 more and 2
// of its requests end.
func TestEstimateBringsLateReportsForward(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
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
			t.Errorf("load a minute later %g, want 7 of this router and 6 of others, faded", got)
		}
	})
}

// TestCapacityLeavesRoomForOthers guards against routers that together send an engine
// more than it can run. The load of the other routers must be subtracted from each
// engine's capacity, and leaving engines must not count.
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
			t.Errorf("capacity %d while one engine accepts work, want 1", got)
		}
		d.MarkLeaving(id, "", FromRefusal)
	}
	if got := Capacity(d.Snapshot(ref), 10, now); got != 0 {
		t.Errorf("capacity %d of leaving engines", got)
	}
}

// TestReportsShowHowManyAnEngineTakes guards against requests that queue at an engine,
// and against an engine that idles while requests are refused. Engines don't report how
// many requests they run at most. The default estimate is 64; the engine runs 20, and
// its reports show a queue, or it runs 200. Then it restarts.
func TestReportsShowHowManyAnEngineTakes(t *testing.T) {
	for _, actual := range []int{20, 200} {
		bubble.Test(t, func(t *testing.T) { checkLearnedCapacity(t, actual) })
	}
}

func checkLearnedCapacity(t *testing.T, actual int) {
	d := New(nil)
	d.Update([]fleet.Backend{engine("e0")}, time.Now())
	learned := func() int { return LearnedCapacity(d.Snapshot(ref), 1, time.Now()) }
	for range 60 {
		sent := learned()
		done := d.Start("e0", float64(sent))
		time.Sleep(time.Second)
		rep := report("i1", time.Now(), min(sent, actual))
		rep.Waiting = max(sent-actual, 0)
		d.Report("e0", rep, time.Now())
		done()
		time.Sleep(time.Second)
	}
	d.Report("e0", report("i1", time.Now(), 0), time.Now())
	if got := learned(); got < actual || got > actual+actual/3 {
		t.Errorf("an engine that runs %d gets %d", actual, got)
	}
	before := learned()
	d.Report("e0", report("i2", time.Now(), 0), time.Now())
	if got := learned(); got != before {
		t.Errorf("%d for a new incarnation, %d before", got, before)
	}
}

// TestLeavingSticksToItsIncarnation guards against sending new work to a VM that is
// about to stop. The VM list, load reports and peer reports arrive late and in any
// order. Once a source reported that an incarnation is leaving, only a report of
// another incarnation may bring the engine back.
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

// TestMarkBeforeFirstReport guards against sending work to an engine that was marked as
// leaving before its incarnation was known. The VM list shows the engine leaving, then
// its first report arrives, and then a lagging replica of the list shows the engine
// live again. The mark must be kept, and must be announced only once.
func TestMarkBeforeFirstReport(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(nil)
	var announced []string
	d.OnLeaving = func(id, incarnation string, s Source) { announced = append(announced, fmt.Sprint(id, incarnation, s)) }
	b := engine("e0")
	b.Leaving = true
	d.Update([]fleet.Backend{b}, now)
	d.Report("e0", report("i1", now, 0), now)
	d.Update([]fleet.Backend{engine("e0")}, now) // from a lagging replica of the list
	if !d.Leaving("e0") || !d.Leaving("never-heard-of") {
		t.Error("the leaving mark from the VM list was lost, or an unknown backend server accepts work")
	}
	d.SetIntent(map[string]bool{"vm-e0": true})
	if len(announced) != 1 {
		t.Errorf("announced %v, want once", announced)
	}
}

// TestCacheGapDropsTrust guards against sending prompts to a cache that removed their
// blocks: the event "removed" is lost, which this router can detect only by a gap in
// the sequence numbers.
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
	if hits(now) != 0 || hits(now.Add(relearnTime)) != 0 {
		t.Error("blocks from before the gap are still used")
	}
	d.CacheEvents("e0", CacheBatch{Incarnation: "i1", Events: []CacheEvent{{5, true, 1}, {6, true, 2}, {7, false, 2}}}, now)
	if hits(now) != 0 || hits(now.Add(relearnTime)) != 1 {
		t.Errorf("relearned map: now %d, later %d; want 0, then 1", hits(now), hits(now.Add(relearnTime)))
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
			t.Errorf("%s kept %d of 20 when a tenth of the fleet was removed", name, kept)
		}
	}
	for id, n := range count {
		if n > 6*5 { // the mean is 6
			t.Errorf("%s is in %d subsets", id, n)
		}
	}
}

// fakePlatform serves the VM list and the engines, and counts calls in progress.
type fakePlatform struct {
	events                atomic.Int64 // polls for cache events
	mu                    sync.Mutex
	fleet                 []fleet.Backend
	polled                map[string]int
	inFlight, maxInFlight int
}

func (p *fakePlatform) Backends(context.Context) ([]fleet.Backend, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.fleet), nil
}

func (p *fakePlatform) Load(ctx context.Context, b fleet.Backend) (fleet.LoadReport, error) {
	p.mu.Lock()
	p.polled[b.ID]++
	p.inFlight++
	p.maxInFlight = max(p.maxInFlight, p.inFlight)
	p.mu.Unlock()
	defer func() { p.mu.Lock(); p.inFlight--; p.mu.Unlock() }()
	if b.ID == "frozen" {
		<-ctx.Done()
		return fleet.LoadReport{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return report("i1", time.Now(), 1), nil
}

func (p *fakePlatform) CacheEvents(context.Context, fleet.Backend, uint64) (CacheBatch, error) {
	p.events.Add(1)
	return CacheBatch{}, errors.New("none")
}

// TestPollerKeepsItsBounds guards against sending work to a leaving VM for longer than
// LeavingBound because frozen engines delay the poller, and against every router
// polling every engine. The fleet has 200 engines and one frozen engine; once the
// router knows the fleet, one VM leaves.
func TestPollerKeepsItsBounds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := &fakePlatform{polled: map[string]int{}, fleet: []fleet.Backend{engine("frozen")}}
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
		for _, n := range p.polled {
			total += n
		}
		if n := p.events.Load(); n > 0 {
			t.Errorf("%d polls for cache events that no scorer uses", n)
		}
		if p.maxInFlight > 4 || total > 40*(10+4)+20 {
			t.Errorf("%d polls at once and %d in 30 s", p.maxInFlight, total)
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

// TestEngineClockIsSetBack guards against ignoring an engine whose clock is set back by
// an hour while it runs. The failure occurs if the engine's reports count as out of
// order, or if the time of its last report is taken from the engine's clock. The engine
// then still gets work when it leaves, its load stays as it was an hour ago, and it is
// polled in every round in place of other engines.
func TestEngineClockIsSetBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{engine("e0"), engine("e1")}, time.Now())
		d.Report("e1", report("i1", time.Now(), 1), time.Now())
		time.Sleep(time.Second)
		d.Report("e0", report("i1", time.Now(), 40), time.Now())
		back := func() time.Time { return time.Now().Add(-time.Hour) }
		time.Sleep(time.Second)
		d.Report("e0", report("i1", back(), 3), time.Now())
		r := d.index.get("e0")
		if got := r.Load(time.Now()); got > 4 {
			t.Errorf("load %v by a report from before the clock was set back", got)
		}
		if first := d.LeastRecentlyReported("r1", map[string]bool{}, 1); len(first) != 1 || first[0] != "e1" {
			t.Errorf("%v is polled first, want e1, whose report is oldest", first)
		}
		leaving := report("i1", back(), 3)
		leaving.Leaving = true
		d.Report("e0", leaving, time.Now())
		if !d.Leaving("e0") {
			t.Error("the engine's report that it is leaving is ignored")
		}
	})
}

// TestOvertakenReport guards against an outdated load, and against sending work to an
// engine that has reported that it is leaving. A report that arrives after a newer
// report must not change the load, but its leaving flag must still count.
func TestOvertakenReport(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{engine("e0")}, time.Now())
		first := report("i1", time.Now(), 40)
		first.Leaving = true
		time.Sleep(300 * time.Millisecond)
		d.Report("e0", report("i1", time.Now(), 3), time.Now())
		d.Report("e0", first, time.Now())
		if got := d.index.get("e0").Load(time.Now()); got > 4 || !d.Leaving("e0") {
			t.Errorf("load %v, leaving %v", got, d.Leaving("e0"))
		}
	})
}
