package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fleet"
)

var usual = RequestSize{Prompt: 5000, Answer: 1000}

// Symptom: a prompt is sent to an engine that reads one, while others idle. Sequence: an
// engine reports one request in its batch and no run. Cause: only runs were counted, and a
// request is none before its prompt is read.
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
		if got := loadIn(c.state, usual); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Symptom: a router sends a second prompt to the engine that it has just sent one, and
// another counts its run twice. Sequence: reports come that hold the router's request, and
// that don't yet; then it ends. Cause: reports are old when they come.
func TestReportAndOwnRequestsAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(nil)
		d.Update([]fleet.Backend{{ID: "e", Kind: fleet.Service, Service: "llm"}}, time.Now())
		r := d.table.Load().byID["e"]
		share := d.Begin("e", Load{Requests: 1, Reading: 5000, Memory: 6000})
		d.Observe("e", fleet.EngineState{}, usual, time.Now())
		if r.Reading() != 5000 || r.Memory() != 6000 {
			t.Errorf("a report without it: %v, %v", r.Reading(), r.Memory())
		}
		time.Sleep(reportLag + time.Millisecond)
		d.Observe("e", fleet.EngineState{Reading: 1, MemoryUsed: 3000}, usual, time.Now())
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
			t.Error("others tell, or the report isn't new")
		}
	})
}
