package health

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// fakeReport is the report of a fake engine: how many tokens of each run it has produced.
type fakeReport map[string]int

func (r fakeReport) HasRun(request string, received int) bool {
	made, ok := r[request]
	return ok && made <= received
}

// fakeQuerier is a fake engine that answers queries after some time.
type fakeQuerier struct {
	report  fakeReport
	delay   time.Duration
	err     error
	queries int
}

func (q *fakeQuerier) QueryRuns(ctx context.Context, _ string) (RunReport, error) {
	q.queries++
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(q.delay):
		return q.report, q.err
	}
}

// startThenSilence starts two runs at one engine. The runs produce some tokens and then none
// for the time d.
func startThenSilence(m *Monitor, q *fakeQuerier, d time.Duration) [2]*attempt {
	m.RunQuerier = q
	var streams [2]*attempt
	for i, request := range []string{"q1", "q2"} {
		ctx, cancel := context.WithCancelCause(context.Background())
		w := Work{Request: request, PromptBytes: 1000, Received: 10}
		streams[i] = &attempt{Stream: m.Watch("e", w, cancel), ctx: ctx}
	}
	decode(3, streams[:]...)
	time.Sleep(d)
	synctest.Wait()
	return streams
}

// An engine that pauses must not be taken for dead by its silence alone. The engine reads
// several prompts and pauses for longer than its threshold; if its runs are started again
// elsewhere, their prompts are read once more, and after a burst of requests most answers are
// slow long after the burst has passed.
func TestPausedEngineIsAskedFirst(t *testing.T) {
	run(t, func(m *Monitor) {
		a := &fakeQuerier{report: fakeReport{"q1": 13, "q2": 12}, delay: 5 * time.Millisecond}
		streams := startThenSilence(m, a, maxConfirmedSilence-100*time.Millisecond)
		for i, s := range streams {
			if err := s.cause(); err != nil {
				t.Errorf("run %d was cancelled: %v", i, err)
			}
		}
		if got := m.State("e"); got != Healthy {
			t.Errorf("the engine is %v", got)
		}
		if a.queries < 2 || a.queries > 9 {
			t.Errorf("it was queried %d times, want once for each %v", a.queries, runReportTTL)
		}
		time.Sleep(200 * time.Millisecond)
		if streams[0].cause() == nil {
			t.Error("the engine's answers are accepted for ever")
		}
	})
}

// The wait for the answer to a query must be bounded: otherwise answers to callers pause for
// too long when an engine dies silently. In the test the engine does not answer the query, or
// only after queryTimeout.
func TestEngineThatDoesNotAnswer(t *testing.T) {
	for name, a := range map[string]*fakeQuerier{
		"no answer":          {delay: time.Hour},
		"a late answer":      {report: fakeReport{"q1": 13, "q2": 13}, delay: 2 * queryTimeout},
		"connection refused": {err: errors.New("refused")},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(m *Monitor) {
				threshold := DefaultPolicy().MaxSilence
				streams := startThenSilence(m, a, threshold+queryTimeout+50*time.Millisecond)
				for i, s := range streams {
					if !errors.Is(s.cause(), ErrSuspect) {
						t.Errorf("run %d was cancelled with %v, want %v", i, s.cause(), ErrSuspect)
					}
				}
				if m.State("e") == Healthy {
					t.Error("the engine still gets work")
				}
			})
		})
	}
}

// A report of an engine must not be taken to confirm each of the engine's runs: otherwise an
// answer can stop for good while its engine works on. A connection falls silent without a
// reset, or a run ended and its answer was lost; the engine is queried and answers.
func TestRunThatAnEngineDoesNotHold(t *testing.T) {
	for name, w := range map[string]struct {
		report fakeReport
		cause  error
	}{
		"it has made more than was received": {fakeReport{"q1": 13, "q2": 14}, ErrStalled},
		"it has no such run":                 {fakeReport{"q1": 13}, ErrNoRun},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(m *Monitor) {
				streams := startThenSilence(m, &fakeQuerier{report: w.report}, DefaultPolicy().MaxSilence+50*time.Millisecond)
				if err := streams[0].cause(); err != nil {
					t.Errorf("the run that it has was cancelled: %v", err)
				}
				if !errors.Is(streams[1].cause(), w.cause) {
					t.Errorf("the other was cancelled with %v, want %v", streams[1].cause(), w.cause)
				}
				if got := m.State("e"); got != Healthy {
					t.Errorf("the engine is %v", got)
				}
			})
		})
	}
}

// aliveSet is a fake RunQuerier: engines in the set answer queries, and queries of all other
// engines fail.
type aliveSet map[string]bool

func (l aliveSet) QueryRuns(_ context.Context, backend string) (RunReport, error) {
	if !l[backend] {
		return nil, errors.New("refused")
	}
	return fakeReport{}, nil
}

// Two connection resets at the same moment must not be taken as proof of a crash: otherwise
// all routers avoid a failure domain for seconds although its engines are healthy. A failure
// of an engine that is down must still count when it comes after failures of healthy engines.
func TestResetsOfSoundEnginesAreNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		alive   aliveSet
		crashed bool
	}{
		"all are healthy":   {aliveSet{"a0": true, "a1": true, "a2": true, "a3": true}, false},
		"one is down":       {aliveSet{"a0": true, "a1": true, "a2": true}, false},
		"two are down":      {aliveSet{"a0": true, "a1": true}, true},
		"none is up":        {aliveSet{}, true},
		"the first is down": {aliveSet{"a1": true, "a2": true, "a3": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runWithLongBounds(t, func(m *Monitor) {
				addDomains(m, 6, "a")
				m.RunQuerier = c.alive
				for i := range 4 {
					m.Result(fmt.Sprint("a", i), errors.New("reset"))
					time.Sleep(time.Millisecond)
					synctest.Wait()
				}
				if crashed := m.State("a5") != Healthy; crashed != c.crashed {
					t.Errorf("taken for crashed: %v, want %v", crashed, c.crashed)
				}
			})
		})
	}
}

// When two engines crash at the same moment, each while it runs a different request, the
// routers must not avoid the ten healthy engines of the same failure domain.
func TestTwoCrashesAreNotTheirDomains(t *testing.T) {
	for name, c := range map[string]struct {
		healthy int // healthy engines among those that did not fail
		crashed bool
	}{"the others work": {10, false}, "one other is down": {9, false}, "all are down": {0, true}} {
		t.Run(name, func(t *testing.T) {
			runWithLongBounds(t, func(m *Monitor) {
				addDomains(m, 12, "a")
				alive := aliveSet{}
				for i := range c.healthy {
					alive[fmt.Sprint("a", 2+i)] = true
				}
				m.RunQuerier = alive
				for _, id := range []string{"a0", "a1"} {
					m.Result(id, errors.New("unexpected EOF"))
					time.Sleep(time.Millisecond)
				}
				synctest.Wait()
				if crashed := m.State("a11") != Healthy; crashed != c.crashed {
					t.Errorf("taken for crashed: %v, want %v", crashed, c.crashed)
				}
			})
		})
	}
}

// slowAliveSet answers as aliveSet does, but healthy engines take some time to answer.
type slowAliveSet struct {
	aliveSet
	delay time.Duration
}

func (s slowAliveSet) QueryRuns(ctx context.Context, backend string) (RunReport, error) {
	if s.aliveSet[backend] {
		time.Sleep(s.delay)
	}
	return s.aliveSet.QueryRuns(ctx, backend)
}

// The crash of a domain must be noticed at once. The fault is that the Monitor waits for one
// member that is still running and takes long to answer, or that it relies on the result of an
// earlier query, sent when only few members had failed.
func TestLostDomainIsNoticedAtOnce(t *testing.T) {
	runWithLongBounds(t, func(m *Monitor) {
		addDomains(m, 8, "a")
		m.RunQuerier = slowAliveSet{aliveSet{"a7": true}, 90 * time.Millisecond}
		for _, id := range []string{"a0", "a1"} {
			m.Result(id, errors.New("unexpected EOF"))
		}
		time.Sleep(5 * time.Millisecond)
		if m.State("a5") == Healthy {
			t.Error("the domain is not suspected at once")
		}
		time.Sleep(queryTimeout) // until the query of the running member ends
	})
	runWithLongBounds(t, func(m *Monitor) {
		addDomains(m, 8, "a")
		calls := 0
		m.OnDomain = func(string) { calls++ }
		alive := aliveSet{"a2": true, "a3": true, "a4": true, "a5": true, "a6": true, "a7": true}
		m.RunQuerier = alive
		for _, id := range []string{"a0", "a1", "a2", "a3"} {
			delete(alive, id)
			m.Result(id, errors.New("unexpected EOF"))
			synctest.Wait()
		}
		if calls != 1 {
			t.Errorf("half of the domain is down, and OnDomain was called %d times", calls)
		}
	})
}

// Common silence must not be taken as proof of a crash: otherwise healthy failure domains are
// suspected one after the other, and their engines get no work for seconds. Slow engines read
// prompts at the same moment, so that all decoding engines of a domain pause for longer than
// any gap before. Where most members don't answer a query, the domain must still be suspected,
// but not the members that answer.
func TestCommonSilenceIsConfirmedByAsking(t *testing.T) {
	for name, c := range map[string]struct {
		alive   aliveSet
		crashed bool
	}{
		"all are healthy":     {aliveSet{"a0": true, "a1": true, "a2": true, "a3": true}, false},
		"half are healthy":    {aliveSet{"a0": true, "a1": true}, false},
		"one still works":     {aliveSet{"a0": true}, true},
		"none is up":          {aliveSet{}, true},
		"one gives no answer": {aliveSet{"a1": true, "a2": true, "a3": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runWithLongBounds(t, func(m *Monitor) {
				addDomains(m, 6, "a", "b")
				m.RunQuerier = c.alive
				var pausing, other []*attempt
				for i := range 4 {
					pausing = append(pausing, start(m, fmt.Sprintf("a%d", i), 100))
					other = append(other, start(m, fmt.Sprintf("b%d", i), 100))
				}
				decode(60, append(pausing, other...)...)
				decode(9, other...)
				synctest.Wait()
				if crashed := m.State("a5") != Healthy; crashed != c.crashed {
					t.Errorf("taken for crashed: %v, want %v", crashed, c.crashed)
				}
				if c.alive["a0"] && m.State("a0") != Healthy {
					t.Error("an engine that answered is suspected")
				}
			})
		})
	}
}
