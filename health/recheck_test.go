package health

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// fleetStub answers the queries of routers for servers that are silent until some time, refuse
// connections, or are well.
type fleetStub struct {
	mu      sync.Mutex
	until   map[string]time.Time
	refuse  map[string]bool
	queries map[string]int
}

func newFleetStub() *fleetStub {
	return &fleetStub{until: map[string]time.Time{}, refuse: map[string]bool{}, queries: map[string]int{}}
}

func (f *fleetStub) QueryRuns(ctx context.Context, id string) (RunReport, error) {
	f.mu.Lock()
	f.queries[id]++
	wait, refuse := time.Until(f.until[id]), f.refuse[id]
	f.mu.Unlock()
	if refuse {
		return nil, errors.New("connection refused")
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(max(wait, time.Millisecond)):
		return anyRun{}, nil
	}
}

// anyRun is the report of a server that has each run.
type anyRun struct{}

func (anyRun) HasRun(string, int) bool { return true }

// silence makes servers silent for d from now on.
func (f *fleetStub) silence(d time.Duration, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.until[id] = time.Now().Add(d)
	}
}

// refuseConnections makes servers refuse connections.
func (f *fleetStub) refuseConnections(ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.refuse[id] = true
	}
}

// queried returns how often servers were queried since the last call.
func (f *fleetStub) queried() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.queries
	f.queries = map[string]int{}
	return out
}

// longBackoff is the backoff in these tests: it is longer than a silence and the time until the
// servers are queried after it.
const longBackoff = 3600 * time.Millisecond

func recheckPolicy() Policy {
	p := DefaultPolicy()
	p.MinSilence, p.MaxSilence, p.MassSilence = 260*time.Millisecond, 450*time.Millisecond, 450*time.Millisecond
	p.MinBackoff = longBackoff
	p.MinPrefill = 10 * time.Second
	return p
}

// runFleet calls f in a synctest bubble with the monitors of a router and of a second one, which have
// the same three domains of six servers. The first router has streams at four servers of each.
func runFleet(t *testing.T, f func(fleet *fleetStub, m, other *Monitor, streams []*attempt)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleetStub()
		ctx, cancel := context.WithCancel(t.Context())
		var routers []*Monitor
		for range 2 {
			m := NewMonitor(recheckPolicy(), nil, nil)
			m.RunQuerier = fleet
			addDomains(m, 6, "a", "b", "c")
			go func() { _ = m.Run(ctx) }()
			routers = append(routers, m)
		}
		m, other := routers[0], routers[1]
		m.OnDomain = func(name string) { other.HandleDomainReport("r1", name) }
		m.OnDomainAnswers = func(name string) { other.HandleDomainAnswers("r1", name) }
		var streams []*attempt
		for _, d := range []string{"a", "b", "c"} {
			for i := range 4 {
				streams = append(streams, start(m, fmt.Sprint(d, i), 100))
			}
		}
		decode(60, streams...)
		f(fleet, m, other, streams)
		time.Sleep(2 * queryTimeout) // until the last query ends
		cancel()
	})
}

// except returns the streams that aren't at the given servers.
func except(streams []*attempt, ids []string) []*attempt {
	return slices.DeleteFunc(slices.Clone(streams), func(a *attempt) bool { return slices.Contains(ids, a.engine.id) })
}

// timesOut lets time pass while streams decode, and returns for each server how long it got no work
// at a router.
func timesOut(m *Monitor, d time.Duration, live []*attempt, ids []string) map[string]time.Duration {
	out := map[string]time.Duration{}
	for range int(d / step) {
		decode(1, live...)
		for _, id := range ids {
			if s := m.State(id); s == Suspect || s == Down {
				out[id] += step
			}
		}
	}
	return out
}

func membersOf(domain string) []string {
	var out []string
	for i := range 6 {
		out = append(out, fmt.Sprint(domain, i))
	}
	return out
}

// Guards against a sound server, domain or service that gets no work for the whole backoff after it was
// silent for a moment, at the router that noticed the silence and at one that received its report.
func TestSilentServersGetWorkSoonAfterTheyAnswer(t *testing.T) {
	const most = recheckInterval + 3*queryTimeout
	for _, silence := range []time.Duration{700 * time.Millisecond, time.Second, 2 * time.Second} {
		for name, silent := range map[string][]string{
			"server":  {"a0"},
			"domain":  membersOf("a"),
			"service": slices.Concat(membersOf("a"), membersOf("b"), membersOf("c")),
		} {
			t.Run(fmt.Sprint(name, silence), func(t *testing.T) {
				runFleet(t, func(fleet *fleetStub, m, other *Monitor, streams []*attempt) {
					fleet.silence(silence, silent...)
					live := except(streams, silent)
					timesOut(m, silence, live, nil)
					for router, mon := range map[string]*Monitor{"noticed": m, "told": other} {
						for _, id := range silent {
							if len(silent) > 1 && mon.State(id) != Suspect {
								t.Errorf("%s: %s is not suspected while it is silent", router, id)
							}
						}
					}
					timesOut(m, most, live, nil)
					for router, mon := range map[string]*Monitor{"noticed": m, "told": other} {
						for _, id := range silent {
							if s := mon.State(id); s == Suspect || s == Down {
								t.Errorf("%s: %s is still %v %v after it answers", router, id, s, most)
							}
						}
					}
				})
			})
		}
	}
}

// Guards against a server that falls silent again after it got work, and is then left out for a
// longer time.
func TestSecondSilenceIsNoReasonForALongerBackoff(t *testing.T) {
	runFleet(t, func(fleet *fleetStub, m, _ *Monitor, streams []*attempt) {
		live := except(streams, []string{"a0"})
		for range 3 {
			fleet.silence(time.Second, "a0")
			timesOut(m, 2500*time.Millisecond, live, nil)
			if !m.Allow("a0") {
				t.Fatal("no probe after the silence")
			}
			probe := start(m, "a0", 100)
			defer probe.Close()
			decode(30, append(live, probe)...)
		}
	})
}

// Guards against requests to a server that has crashed: its backoff stands, whether its host refuses
// connections or doesn't answer, and the idle members of its domain stay out too.
func TestCrashedServersGetNoWorkDuringTheBackoff(t *testing.T) {
	for name, refuse := range map[string]bool{"refused": true, "no answer": false} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(fleet *fleetStub, m, other *Monitor, streams []*attempt) {
				dead := membersOf("a")
				fleet.silence(time.Hour, dead...)
				if refuse {
					fleet.refuseConnections(dead...)
				}
				live := except(streams, dead)
				timesOut(m, time.Second, live, nil)
				out := timesOut(m, longBackoff-time.Second, live, dead)
				queried := fleet.queried()
				for _, id := range dead {
					if out[id] < longBackoff-time.Second-step {
						t.Errorf("%s may get work after %v", id, time.Second+out[id])
					}
					if other.State(id) != Suspect {
						t.Errorf("%s is %v at the other router", id, other.State(id))
					}
					if most := 3; refuse && queried[id] > most {
						t.Errorf("%s refuses connections and was queried %d times, at most %d", id, queried[id], most)
					}
				}
			})
		})
	}
}

// Guards against a server that answers queries but delivers nothing, and gets one request after the
// other because of its answers.
func TestMuteServerGetsOneProbeAtATime(t *testing.T) {
	runFleet(t, func(_ *fleetStub, m, _ *Monitor, streams []*attempt) {
		live := except(streams, []string{"a0"})
		timesOut(m, 2*maxConfirmedSilence, live, nil)
		if m.State("a0") == Healthy {
			t.Fatal("a mute server is not suspected")
		}
		var probes []*attempt
		const span = 30 * time.Second
		for range int(span / step) {
			decode(1, live...)
			if m.Allow("a0") {
				probes = append(probes, start(m, "a0", 100))
			}
		}
		if most := int(span/m.policy.ProbeTimeout) + 1; len(probes) == 0 || len(probes) > most {
			t.Errorf("%d probes in %v, want 1 to %d", len(probes), span, most)
		}
	})
}

// Guards against answers to queries that shorten the backoff after a failed probe of a server that
// answers queries: only a probe that fell into a silence of the whole server may be repeated soon.
func TestFailedProbeOfAServerThatAnswersQueries(t *testing.T) {
	for name, c := range map[string]struct {
		query runQuery
		fail  func(m *Monitor, e *engine)
		soon  bool
	}{
		"answered":   {runQuery{}, suspectNow, false},
		"unanswered": {runQuery{open: true}, suspectNow, true},
		"late":       {runQuery{open: true}, func(m *Monitor, e *engine) { m.Late(e.id) }, false},
		"refused":    {runQuery{open: true}, func(m *Monitor, e *engine) { m.Result(e.id, errors.New("refused")) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(_ *fleetStub, m, _ *Monitor, streams []*attempt) {
				e := m.engine("a4")
				m.Allow("a4")
				suspectNow(m, e)
				timesOut(m, recheckInterval+2*step, streams, nil)
				if !m.Allow("a4") || m.Allow("a4") {
					t.Fatal("want one probe after a report")
				}
				c.query.sentAt = m.sinceEpoch(time.Now())
				e.query = c.query
				c.fail(m, e)
				timesOut(m, recheckInterval+2*step, streams, nil)
				if soon := m.Allow("a4"); soon != c.soon {
					t.Errorf("another probe soon after the failed one: %v, want %v", soon, c.soon)
				}
			})
		})
	}
}

func suspectNow(m *Monitor, e *engine) { m.ejectEngine(e, Suspect, m.sinceEpoch(time.Now())) }

// Guards against an attempt whose connection hung at a silent server, and whose end counts as a refused
// connection: the backoff doubled, and the server wasn't queried again.
func TestHungConnectionIsNoRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		state State // soon after the silence
	}{
		"ended for the silence": {fmt.Errorf("dial: %w", ErrSuspect), Probing},
		"canceled":              {fmt.Errorf("dial: %w", context.Canceled), Probing},
		"deadline":              {fmt.Errorf("dial: %w", context.DeadlineExceeded), Probing},
		"timed out":             {fmt.Errorf("dial: %w", os.ErrDeadlineExceeded), Probing},
		"refused":               {fmt.Errorf("dial: %w", syscall.ECONNREFUSED), Down},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(fleet *fleetStub, m, _ *Monitor, streams []*attempt) {
				live := except(streams, []string{"a0"})
				fleet.silence(time.Second, "a0")
				timesOut(m, 600*time.Millisecond, live, nil)
				m.Result("a0", c.err)
				timesOut(m, 1400*time.Millisecond, live, nil)
				if got := m.State("a0"); got != c.state {
					t.Errorf("it is %v, want %v", got, c.state)
				}
			})
		})
	}
}
