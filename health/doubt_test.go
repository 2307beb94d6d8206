package health

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// word is what a stand-in engine says: how much of each run it has made.
type word map[string]int

func (w word) HasRun(request string, received int) bool {
	made, ok := w[request]
	return ok && made <= received
}

// asked is an engine that answers questions after some time.
type asked struct {
	word  word
	after time.Duration
	err   error
	times int
}

func (a *asked) QueryRuns(ctx context.Context, _ string) (RunReport, error) {
	a.times++
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(a.after):
		return a.word, a.err
	}
}

// silence has two runs at one engine give some tokens and then none for d.
func silence(m *Monitor, a *asked, d time.Duration) [2]*attempt {
	m.RunQuerier = a
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

// Symptom: after a burst of requests most answers are late, long after it has passed.
// Sequence: an engine reads several prompts and pauses; its silence is longer than the
// threshold; its runs are begun again elsewhere, where their prompts are read anew.
// Cause: silence alone was taken for the engine's end.
func TestPausedEngineIsAskedFirst(t *testing.T) {
	run(t, func(m *Monitor) {
		a := &asked{word: word{"q1": 13, "q2": 12}, after: 5 * time.Millisecond}
		streams := silence(m, a, longestSilence-100*time.Millisecond)
		for i, s := range streams {
			if err := s.cause(); err != nil {
				t.Errorf("run %d was ended: %v", i, err)
			}
		}
		if got := m.State("e"); got != Healthy {
			t.Errorf("the engine is %v", got)
		}
		if a.times < 2 || a.times > 9 {
			t.Errorf("it was asked %d times, want once for each %v", a.times, wordLife)
		}
		time.Sleep(200 * time.Millisecond)
		if streams[0].cause() == nil {
			t.Error("its word is taken for ever")
		}
	})
}

// Symptom: answers pause for longer than callers bear when engines die silently.
// Sequence: an engine falls silent and does not answer the question, or only after the
// time it has for it. Cause: a question that is waited for without a bound.
func TestEngineThatDoesNotAnswer(t *testing.T) {
	for name, a := range map[string]*asked{
		"no answer":          {after: time.Hour},
		"a late answer":      {word: word{"q1": 13, "q2": 13}, after: 2 * inquiryTimeout},
		"connection refused": {err: errors.New("refused")},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(m *Monitor) {
				threshold := DefaultPolicy().MaxSilence
				streams := silence(m, a, threshold+inquiryTimeout+50*time.Millisecond)
				for i, s := range streams {
					if !errors.Is(s.cause(), ErrSuspect) {
						t.Errorf("run %d ended with %v, want %v", i, s.cause(), ErrSuspect)
					}
				}
				if m.State("e") == Healthy {
					t.Error("the engine still gets work")
				}
			})
		})
	}
}

// Symptom: an answer stops for good while its engine works on.
// Sequence: a connection falls silent without a reset, or a run ended and its answer was
// lost; the engine is asked and answers. Cause: any word of it was taken for a word
// about each run.
func TestRunThatAnEngineDoesNotHold(t *testing.T) {
	for name, w := range map[string]word{
		"it has made more than came": {"q1": 13, "q2": 14},
		"it has no such run":         {"q1": 13},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(m *Monitor) {
				streams := silence(m, &asked{word: w}, DefaultPolicy().MaxSilence+50*time.Millisecond)
				if err := streams[0].cause(); err != nil {
					t.Errorf("the run that it holds was ended: %v", err)
				}
				if !errors.Is(streams[1].cause(), ErrStalled) {
					t.Errorf("the other ended with %v, want %v", streams[1].cause(), ErrStalled)
				}
				if got := m.State("e"); got != Healthy {
					t.Errorf("the engine is %v", got)
				}
			})
		})
	}
}

// living answers for the engines that are alive.
type living map[string]bool

func (l living) QueryRuns(_ context.Context, backend string) (RunReport, error) {
	if !l[backend] {
		return nil, errors.New("refused")
	}
	return word{}, nil
}

// Symptom: all routers leave a failure domain alone for seconds though its engines are
// sound. Sequence: engines reset some of their connections, two of them at the same
// moment. Cause: two failures at one moment were proof of a crash. One more failure of
// an engine that is gone must still be counted after those of sound ones.
func TestResetsOfSoundEnginesAreNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		alive   living
		crashed bool
	}{
		"all are sound":     {living{"a0": true, "a1": true, "a2": true, "a3": true}, false},
		"one is gone":       {living{"a0": true, "a1": true, "a2": true}, false},
		"two are gone":      {living{"a0": true, "a1": true}, true},
		"nobody is there":   {living{}, true},
		"the first is gone": {living{"a1": true, "a2": true, "a3": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runPatient(t, func(m *Monitor) {
				place(m, 6, "a")
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

// Guards against: two engines end at the same moment, each under a request of its own, and all
// routers leave the ten sound ones of their failure domain alone.
func TestTwoCrashesAreNotTheirDomains(t *testing.T) {
	for name, c := range map[string]struct {
		sound   int // of those that did not fail
		crashed bool
	}{"the others work": {10, false}, "one other is down": {9, false}, "all are gone": {0, true}} {
		t.Run(name, func(t *testing.T) {
			runPatient(t, func(m *Monitor) {
				place(m, 12, "a")
				alive := living{}
				for i := range c.sound {
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

// slowly answers as living does, but sound engines take their time.
type slowly struct {
	living
	after time.Duration
}

func (s slowly) QueryRuns(ctx context.Context, backend string) (RunReport, error) {
	if s.living[backend] {
		time.Sleep(s.after)
	}
	return s.living.QueryRuns(ctx, backend)
}

// Guards against: the loss of a domain is noticed late, since one member that is left takes
// long to answer, or since it was asked when few members had failed.
func TestLostDomainIsNoticedAtOnce(t *testing.T) {
	runPatient(t, func(m *Monitor) {
		place(m, 8, "a")
		m.RunQuerier = slowly{living{"a7": true}, 90 * time.Millisecond}
		for _, id := range []string{"a0", "a1"} {
			m.Result(id, errors.New("unexpected EOF"))
		}
		time.Sleep(5 * time.Millisecond)
		if m.State("a5") == Healthy {
			t.Error("the domain is waited for")
		}
		time.Sleep(inquiryTimeout) // for the one that is left
	})
	runPatient(t, func(m *Monitor) {
		place(m, 8, "a")
		told := 0
		m.OnDomain = func(string) { told++ }
		alive := living{"a2": true, "a3": true, "a4": true, "a5": true, "a6": true, "a7": true}
		m.RunQuerier = alive
		for _, id := range []string{"a0", "a1", "a2", "a3"} {
			delete(alive, id)
			m.Result(id, errors.New("unexpected EOF"))
			synctest.Wait()
		}
		if told != 1 {
			t.Errorf("half of the domain is gone, and other routers were told %d times", told)
		}
	})
}

// Symptom: sound failure domains are given up one after the other, and their engines get
// no work for seconds. Sequence: slow engines read prompts at the same moment, so that all
// that decode in a domain pause for longer than any gap before. Cause: common silence was
// proof of a crash. Where most members give no answer it still is one, without those that do.
func TestCommonSilenceIsConfirmedByAsking(t *testing.T) {
	for name, c := range map[string]struct {
		alive   living
		crashed bool
	}{
		"all are sound":    {living{"a0": true, "a1": true, "a2": true, "a3": true}, false},
		"half are sound":   {living{"a0": true, "a1": true}, false},
		"one lives on":     {living{"a0": true}, true},
		"nobody is there":  {living{}, true},
		"one doesn't hear": {living{"a1": true, "a2": true, "a3": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			runPatient(t, func(m *Monitor) {
				place(m, 6, "a", "b")
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
					t.Error("an engine that answered is under suspicion")
				}
			})
		})
	}
}
