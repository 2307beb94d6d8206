package soak

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// Guards against a request that is given up in a planned stop and that the soak overlooks, or reports although it may be cut.
func TestStopsAreJudged(t *testing.T) {
	signal, reset := time.Now(), errors.New("reset")
	log := processLog{filepath.Join(t.TempDir(), "n0.log"), 7}
	line := "I" + signal.Add(100*time.Millisecond).Format("0102 15:04:05.000000") + "  7 event.go:1] \"shutdown-begun\" node=\"n0\"\n"
	if err := os.WriteFile(log.path, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	const atEnd = stopGrace - openEnd
	for name, c := range map[string]struct {
		status   int
		err      error
		from, to time.Duration // since the signal
		budget   time.Duration
		harmed   string // "router", "other", "replica"
		broken   string // part of the promise
	}{
		"stream cut":                       {200, reset, time.Second, atEnd, budget, "", "begins in a planned stop"},
		"502":                              {502, nil, time.Second, atEnd, budget, "", "begins in a planned stop"},
		"no answer":                        {0, reset, time.Second, atEnd, budget, "", "gets an answer"},
		"deadline has passed":              {502, nil, time.Second, atEnd, atEnd - time.Second, "", ""},
		"sent before, cut at the end":      {200, reset, -time.Second, atEnd, budget, "", ""},
		"sent while it began, cut at end":  {200, reset, 50 * time.Millisecond, atEnd, budget, "", ""},
		"sent before, cut before the end":  {200, reset, -time.Second, atEnd - 1, budget, "", "until its end"},
		"router paused":                    {200, reset, time.Second, atEnd, budget, "router", ""},
		"502, another router killed":       {502, nil, time.Second, atEnd, budget, "other", ""},
		"cut, another router killed":       {200, reset, time.Second, atEnd, budget, "other", "begins in a planned stop"},
		"replica in trouble":               {502, nil, time.Second, atEnd, budget, "replica", ""},
		"no answer, replica is in trouble": {0, reset, time.Second, atEnd, budget, "replica", "gets an answer"},
	} {
		k, rep := newChecks(true), &fakes.Replica{}
		k.stops = stopRecord{stops: map[string]*plannedStop{"n0/1": {log: log, signalled: signal}}, harmed: map[string]bool{"n0/1": c.harmed == "router"}}
		switch c.harmed {
		case "other":
			k.stops.harms.periods = map[any][]*timePeriod{anyRouter: {{}}}
		case "replica":
			k.ends.trouble.periods = map[any][]*timePeriod{rep: {{}}}
		}
		k.stops.add(result{id: "q", connection: "n0/1", status: c.status, err: c.err, startedAt: signal.Add(c.from), duration: c.to - c.from, budget: c.budget})
		k.checkStops(map[string][]visit{"q": {{replica: rep}}, "refused": {{replica: rep, refused: true}}})
		if found := len(k.violations) == 1; found != (c.broken != "") || found && !strings.Contains(k.violations[0].Promise, c.broken) {
			t.Errorf("%s: found %v, want %q", name, k.violations, c.broken)
		}
	}
}

// Guards against a client that has no piece of a stream any more, and is taken for one whose stream has to stay at a software version.
func TestStreamWithoutAnyPieceBeginsAnew(t *testing.T) {
	for _, c := range []struct {
		lost          int
		piece, want   string
		statedBeganAs string
	}{
		{lost: 2, piece: "again/2@v2", want: "a stream goes on at the software version that began it", statedBeganAs: "first"},
		{lost: 2, piece: "again/2@v1", statedBeganAs: "first"},
		{lost: 3, piece: "again/1@v2"},
		{lost: 4, piece: "again/1@v2"},
		{lost: 3, piece: "again/2@v2", want: "no piece is missing, repeated, or another answer's"},
	} {
		s := softwareStream{id: "first", version: "v1", last: 3}.without(c.lost)
		if s.id != c.statedBeganAs {
			t.Errorf("%d pieces lost: states that it began as %q", c.lost, s.id)
		}
		if got := s.add("again", c.piece); got != c.want {
			t.Errorf("%d pieces lost, then %s: %q, want %q", c.lost, c.piece, got, c.want)
		}
	}
}
