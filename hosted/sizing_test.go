package hosted

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"wigeondale/cost"
	"wigeondale/directory"
	fakes "wigeondale/fakes/hosted"
	"wigeondale/generation"
	"wigeondale/relay"
	"wigeondale/settings"
)

// sizedStream is a stream as most are in these tests: its answer is far shorter than its maximum.
func sizedStream(id string) generation.PickRequest {
	return generation.PickRequest{
		RequestID: id, Service: "llm", Route: "r", Account: "a", PromptTokens: 5000, MaxAnswerTokens: 4000,
		FirstChunkTarget: 4 * time.Second,
	}
}

// learn makes a sizer see answers of 100 chunks of 6 tokens.
func learn(s *sizer) {
	s.calibration.Observe("llm", 5000, 5000+6*50, 50, time.Now())
	for range 40 {
		s.streamEnded(relay.StreamEnd{Service: "llm", Route: "r", Account: "a", MaxAnswerTokens: 4000, FirstChunk: 1, Chunks: 100, Complete: true})
	}
}

// Guards against decisions that change although nothing is learned, or is not to be learned: without a sizer, before
// the first answers, and while it is not known how many tokens a chunk has, requests count with their stated maximum.
func TestSizesAreTheMaximumUntilLearned(t *testing.T) {
	plain := pickerOf(t, engineList(2, 2), 55000)
	for name, prepare := range map[string]func(*sizer){
		"nothing seen": func(*sizer) {}, "not calibrated": func(s *sizer) {
			for range 40 {
				s.lengths.Observe(cost.Request{Service: "llm", Route: "r", Account: "a", Maximum: 4000}, 600, true, time.Now())
			}
		},
	} {
		p := pickerOf(t, engineList(2, 2), 55000)
		p.sizer = newSizer(nil)
		prepare(p.sizer)
		for _, a := range []generation.PickRequest{sizedStream("q"), {Service: "llm"}, {Service: "other"}} {
			want, got := plain.pickRequest(a), p.pickRequest(a)
			if got.MemoryTokens != want.MemoryTokens || got.PromptTokens != want.PromptTokens || got.MemorySpread != 0 {
				t.Errorf("%s: %d tokens with spread %v, want %d", name, got.MemoryTokens, got.MemorySpread, want.MemoryTokens)
			}
			if l := p.sizeOf(a).loadOf(0); l != plain.sizeOf(a).loadOf(0) {
				t.Errorf("%s: load %+v", name, l)
			}
		}
		if p.sizer.restOf("llm") != nil || plain.sizer.restOf("llm") != nil {
			t.Errorf("%s: the rest of runs is estimated", name)
		}
	}
}

// Guards against memory that stays unused since each request reserves its stated maximum.
func TestLearnedSizesUseTheMemory(t *testing.T) {
	fill := func(p *picker) (n int) {
		for ; n < 100; n++ {
			_, share, err := p.chooseEngine(sizedStream(fmt.Sprint("q", n)))
			if err != nil {
				break
			}
			share.PrefillDone()
		}
		return n
	}
	p := pickerOf(t, engineList(1, 1), 55000)
	if n := fill(p); n != 6 {
		t.Errorf("%d runs with stated maxima, want 6 of 9,000 tokens", n)
	}
	p = pickerOf(t, engineList(1, 1), 55000)
	p.sizer = newSizer(nil)
	learn(p.sizer)
	if n := fill(p); n < 8 || n > 9 {
		t.Errorf("%d runs, want 8 or 9 of 5,600 tokens", n)
	}
}

// Guards against a run that has outlasted most answers still counting as a typical one, and against loads that
// remain at an engine after a run whose size was estimated several times.
func TestLoadFollowsTheRun(t *testing.T) {
	p := pickerOf(t, engineList(1, 1), 55000)
	p.sizer = newSizer(nil)
	learn(p.sizer)
	_, share, err := p.pickEngine(t.Context(), sizedStream("q"))
	if err != nil {
		t.Fatal(err)
	}
	begun := p.dir.LocalLoads()["e0"]
	if begun.Memory < 5500 || begun.Memory > 5900 {
		t.Errorf("at the start: %+v", begun)
	}
	share.PrefillDone()
	for chunk := 1; chunk <= 300; chunk++ {
		share.(*timedShare).Progress(chunk)
	}
	if late := p.dir.LocalLoads()["e0"]; late.Memory < 6700 || late.Spread <= begun.Spread {
		t.Errorf("after 300 chunks: %+v, before %+v", late, begun)
	}
	share.End()
	if left, ok := p.dir.LocalLoads()["e0"]; ok {
		t.Errorf("left after the end: %+v", left)
	}
}

// Guards against runs that count with more than the stated maximum of their answers, since their chunks
// are smaller than calibrated: memory of the engines would stay unused.
func TestEstimateStaysWithinTheMaximum(t *testing.T) {
	p := pickerOf(t, engineList(1, 1), 55000)
	p.sizer = newSizer(nil)
	learn(p.sizer)
	a := sizedStream("q")
	a.ChunksReceived = 1000 // 6,000 tokens as calibrated, of at most 4,000
	if z := p.sizeOf(a); z.answer != 4000 || z.spread != 0 {
		t.Errorf("taken up again: %d tokens, spread %v", z.answer, z.spread)
	}
	_, share, err := p.pickEngine(t.Context(), sizedStream("q"))
	if err != nil {
		t.Fatal(err)
	}
	for chunk := 1; chunk <= 1000; chunk++ {
		share.(*timedShare).Progress(chunk)
		if l := p.dir.LocalLoads()["e0"]; l.Memory > 9000 {
			t.Fatalf("after %d chunks: %+v", chunk, l)
		}
	}
}

// Guards against work of plain services that counts as less than a request where backend servers count
// requests: more would be sent to them than they have room for.
func TestLightRequestsStayRequests(t *testing.T) {
	p := pickerOf(t, engineList(2, 2), 55000)
	p.sizer = newSizer(nil)
	for range 100 {
		p.sizer.work.Observe("plain", "light", 10*time.Millisecond, time.Now())
		p.sizer.work.Observe("plain", "heavy", 90*time.Millisecond, time.Now())
	}
	load := p.plainLoad(generation.PickRequest{Service: "plain", Route: "light"})
	if load.Requests != 1 || load.Extra >= 0 {
		t.Errorf("light: %+v", load)
	}
	if load = p.plainLoad(generation.PickRequest{Service: "plain", Route: "heavy"}); load.Extra <= 0.3 {
		t.Errorf("heavy: %+v", load)
	}
	share := p.dir.Begin("e0", load)
	if got := p.dir.LocalRequests("e0"); got != 1 {
		t.Errorf("%v requests", got)
	}
	share.End()
	if l := p.dir.LocalLoads(); len(l) != 0 {
		t.Errorf("left: %+v", l)
	}
}

// Guards against estimates that are made and tested and don't reach a running router: whether it calibrates by its own
// runs, learns from answers that end, and then counts requests with what they need.
func TestRouterLearnsSizes(t *testing.T) {
	f := newFleet(t)
	f.sizing = settings.SizingLearned
	for i := range 2 {
		f.startReplica(&fakes.Replica{
			ID: fmt.Sprint("e", i), Service: "llm", Domain: fmt.Sprint("d", i), Engine: true, Chunks: 30, ChunkGap: time.Millisecond,
			PromptTokens: 100, TokensPerChunk: 6,
		})
	}
	n := f.startServingNode()
	p := n.runner.Picker.(*picker)
	a := generation.PickRequest{Service: "llm", Route: "draft", Account: "acc", PromptTokens: 100, MaxAnswerTokens: 280}
	asked := 0
	await(t, "learned sizes", func() bool {
		asked++
		if status, _ := n.get("/draft/x", fmt.Sprint("q", asked), key); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		return p.sizeOf(a).lengths != nil
	})
	if got := p.sizeOf(a); got.answer < 160 || got.answer > 200 {
		t.Errorf("after %d answers of 180 tokens, an answer is expected to have %d", asked, got.answer)
	}
	if per, _ := p.sizer.calibration.PerChunk("llm", time.Now()); math.Abs(per-6) > 0.5 {
		t.Errorf("%v tokens in a chunk", per)
	}
}

// Guards against loads of other routers that are no numbers: one of them would make an engine seem full, or idle, for good.
func FuzzPeerLoadsAreBounded(f *testing.F) {
	f.Add(1.0, 5000.0, 6000.0, 1e6, -0.5)
	f.Add(0.0, 0.0, -6000.0, 0.0, 0.0)
	f.Add(1.0, 0.0, 0.0, 0.0, -1.5)
	f.Add(-1.0, 1e300, -1e300, 1e18, 1e12)
	f.Add(1.0, 5000.0, 6000.0, 2e12, 0.0)
	f.Add(1.0, math.NaN(), 6000.0, math.Inf(1), math.Inf(-1))
	f.Fuzz(func(t *testing.T, requests, reading, memory, spread, extra float64) {
		l := directory.Load{Requests: requests, Reading: reading, Memory: memory, Spread: spread, Extra: extra}
		p := pickerOf(t, engineList(1, 1), 55000)
		learned := &settings.Hosted{Decisions: settings.Decisions{Sizing: settings.SizingLearned}}
		to := newPeers(&settings.Settings{Hosted: learned}, nil, p.dir, p.mon, newStoreSync("n", "d", nil), nil)
		to.fullyLinked = func() bool { return true }
		to.handleLoads("other", loadsMessage{All: true, Loads: directory.PeerLoads{"e0": l}})
		to.applyPeerLoads(time.Now())
		got, _, _ := p.dir.Estimate("e0", time.Now())
		for _, v := range []float64{got.Requests, got.Reading, got.Memory, got.Spread, got.Requests + got.Extra + 0.001} {
			if !(v >= 0 && v <= 2e12) {
				t.Fatalf("%+v counts as %+v", l, got)
			}
		}
	})
}
