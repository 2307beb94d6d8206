package directory

import (
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

var typical = RequestSize{Prompt: 5000, Answer: 1000}

// TestReportCountsWhatIsToCome guards against sending a prompt to an engine that is
// reading another prompt while other engines are idle. While an engine reads a prompt,
// its report shows a request in its batch but no run; the request must count before its
// prompt has been read, too.
func TestReportCountsWhatIsToCome(t *testing.T) {
	for name, c := range map[string]struct {
		state fleet.EngineState
		want  Load
	}{
		"idle":              {fleet.EngineState{}, Load{}},
		"a prompt is read":  {fleet.EngineState{Reading: 1, MemoryUsed: 2000}, Load{Requests: 1, Reading: 5000, Memory: 6000}},
		"a run grows":       {fleet.EngineState{MemoryUsed: 5400, Runs: []fleet.RunState{{Memory: 5400, Chunks: 50}}}, Load{Requests: 1, Running: 1, Memory: 6000}},
		"a long run stays":  {fleet.EngineState{MemoryUsed: 9000, Runs: []fleet.RunState{{Memory: 9000, Chunks: 50}}}, Load{Requests: 1, Running: 1, Memory: 9000}},
		"two wait":          {fleet.EngineState{Queued: 2, NextPromptTokens: 8000}, Load{Requests: 2, Reading: 13000, Memory: 15000}},
		"copies are no run": {fleet.EngineState{MemoryUsed: 20000, CopyTokens: 20000, Reading: 1}, Load{Requests: 1, Reading: 5000, Memory: 26000}},
	} {
		if got := loadFromState(c.state, typical); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// TestReportAndOwnRequestsAreCountedOnce guards against counting a request of this
// router twice, or not at all. Reports are old when they arrive: some already include
// the request and some don't. Then the request ends, and its load must no longer count.
func TestReportAndOwnRequestsAreCountedOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{{ID: "e", Kind: fleet.Service, Service: "llm"}}, time.Now())
		r := d.index.get("e")
		share := d.Begin("e", Load{Requests: 1, Reading: 5000, Memory: 6000})
		d.Observe("e", fleet.EngineState{}, typical, time.Now())
		if r.Reading() != 5000 || r.Memory() != 6000 {
			t.Errorf("a report without it: %v, %v", r.Reading(), r.Memory())
		}
		time.Sleep(reportLag + time.Millisecond)
		d.Observe("e", fleet.EngineState{Reading: 1, MemoryUsed: 3000}, typical, time.Now())
		if r.Reading() != 5000 || r.Memory() != 6000 {
			t.Errorf("a report with it: %v, %v", r.Reading(), r.Memory())
		}
		d.Begin("e", Load{Requests: 1, Reading: 4000, Memory: 4500})
		if r.Reading() != 9000 || r.Memory() != 10500 {
			t.Errorf("with one more since: %v, %v", r.Reading(), r.Memory())
		}
		share.End()
		if r.Reading() != 4000 || r.Memory() != 4500 {
			t.Errorf("after its end: %v, %v", r.Reading(), r.Memory())
		}
		if d.PeersSendLoads() || time.Since(r.ReportedAt()) != 0 {
			t.Error("peers send their loads, or the report isn't new")
		}
	})
}

// Guards against runs that count with the size of a typical request although it is known how far they are: an engine whose
// runs are about to end would seem as full as one whose runs have just begun.
func TestExpectedRestOfRuns(t *testing.T) {
	size := RequestSize{Prompt: 5000, Answer: 1000, Spread: 100, Rest: func(priority, chunks int) (float64, float64) {
		return float64(1000 - 10*chunks + 1000*priority), 9
	}}
	s := fleet.EngineState{
		Queued: 1, Reading: 1, MemoryUsed: 12000, NextPromptTokens: 5000,
		Runs: []fleet.RunState{{Memory: 5000, Chunks: 90}, {Memory: 6000, Chunks: 10, Priority: 1}},
	}
	want := Load{Requests: 4, Reading: 10000, Running: 1.1, Memory: 12000 + 6000 + 100 + 1900 + 5000, Spread: 218}
	if got := loadFromState(s, size); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
