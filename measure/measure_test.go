package measure

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"wigeondale/check"
	"wigeondale/fakes/control"
	"wigeondale/fleet"
	"wigeondale/load"
	"wigeondale/settings"
)

// The programs that read the settings files of each fleet must accept these files. If a
// process rejects or misreads its settings, a run fails after minutes, or measures
// something other than intended.
func TestWrittenSettingsAreTaken(t *testing.T) {
	for _, x := range experiments() {
		dir := t.TempDir()
		if err := Plan(x, Quick, dir); err != nil {
			t.Fatal(err)
		}
		for _, f := range x.Fleets(Quick) {
			at := filepath.Join(dir, f.Name)
			data, err := os.ReadFile(filepath.Join(at, "fakes.json"))
			if err != nil {
				t.Fatal(err)
			}
			config, err := control.Parse(data)
			if err != nil {
				t.Errorf("%s: %v", f.Name, err)
			}
			ports := map[string]string{"kv": "127.0.0.1:1", "vms": "127.0.0.1:2", "weights": "127.0.0.1:3"}
			for _, relay := range config.Relays {
				ports[relay.ID] = "127.0.0.1:4"
			}
			if err := writeJSON(filepath.Join(at, "ports.json"), ports); err != nil {
				t.Fatal(err)
			}
		}
		if err := Settings(x, Quick, dir); err != nil {
			t.Fatal(err)
		}
		files, err := filepath.Glob(filepath.Join(dir, "*", "router-*.json"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d routers, %v", x.Name(), len(files), err)
		}
		for _, file := range files {
			if _, err := settings.Load(file); err != nil {
				t.Errorf("%s: %v", file, err)
			}
		}
	}
}

// steps returns n token times, one decode step apart, the first at from.
func steps(from time.Duration, n int) []time.Duration {
	var out []time.Duration
	for i := range n {
		out = append(out, from+time.Duration(i)*step)
	}
	return out
}

// An answer has 20 tokens: ten of e1, which then freezes; a wait of 2 s; and ten of e2, which
// pauses after five of them. The first wait must count for the frozen engine, with one resume,
// and the second for the pause, without a resume.
func TestWaitsAndExtraGoToTheirFault(t *testing.T) {
	tokens := append(steps(time.Second, 10), steps(3270*time.Millisecond, 5)...)
	tokens = append(tokens, steps(3790*time.Millisecond, 5)...)
	a := Answer{Class: "draft", Request: "r", Tokens: tokens, StartedAt: 900 * time.Millisecond, EndedAt: 4 * time.Second, Outcome: fleet.Complete}
	rec := &load.Record{Engines: []load.EngineRecord{
		{Engine: "e2", Streams: []load.AttemptRecord{{Request: "r", Attempt: 2, Prefilled: 300, ResumedAt: 10, Generated: 10, Delivered: 10}}},
		{Engine: "e1", Streams: []load.AttemptRecord{{Request: "r", Attempt: 1, Prefilled: 290, Generated: 17, Delivered: 10}}},
	}}
	faults := []fault{
		{frozen, "e1", 1280 * time.Millisecond},
		{pause40, "e3", 1280 * time.Millisecond},
		{pause10, "e2", 3400 * time.Millisecond},
	}
	got := newTally([]Answer{a}, rec, faults)
	if n, ms := got.waits[frozen].TotalCount(), got.waits[frozen].Max()/1000; n != 1 || ms < 1990 || ms > 2010 {
		t.Errorf("frozen: %d waits, longest %d ms", n, ms)
	}
	if n := got.waits[pause10].TotalCount(); n != 1 || got.waits[noFault].TotalCount() != 0 || got.waits[pause40].TotalCount() != 0 {
		t.Errorf("pause: %d waits", n)
	}
	if got.resumes[frozen] != 1 || got.prefilled[frozen] != 300 || got.wasted[frozen] != 7 {
		t.Errorf("frozen: %d resumes, %d prefilled again, %d for nobody", got.resumes[frozen], got.prefilled[frozen], got.wasted[frozen])
	}
	if got.falseResumes() != 0 || got.extra() != 307 {
		t.Errorf("%d false resumes, %d extra tokens", got.falseResumes(), got.extra())
	}
}

// A run must fail if an answer has skipped, repeated or mixed-up tokens. Otherwise a policy
// can appear fast because it delivers wrong answers.
func TestWrongAnswersFailTheRun(t *testing.T) {
	rnd := uint16(0)
	text := func(n int) string {
		return check.Text("p", n, func() uint16 { rnd++; return rnd })
	}
	one, other := text(4), text(4)
	half := len(one) / 2
	for name, bad := range map[string]string{
		"missing": one[half:], "short": text(3), "spliced": one[:half] + other[half:], "repeated": one + one[half:],
	} {
		a := Answer{Prompt: "p", MaxTokens: 4, Text: bad, Tokens: make([]time.Duration, 4), Outcome: fleet.Complete}
		if checkAll([]Answer{a}) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	good := Answer{Prompt: "p", MaxTokens: 4, Text: one, Tokens: make([]time.Duration, 4), Outcome: fleet.Complete}
	if err := checkAll([]Answer{good}); err != nil {
		t.Error(err)
	}
}
