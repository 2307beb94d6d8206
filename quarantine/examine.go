package quarantine

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	// ProbeTimeout bounds one probe of a backend server.
	ProbeTimeout = 300 * time.Millisecond
	// probeInterval is the pause before a backend server that was not found to have exited is
	// probed again: a process that crashes may close its connections before it stops
	// listening, and so seem to work at first.
	probeInterval = 100 * time.Millisecond
	// maxProbes bounds how often one backend server is probed after one loss.
	maxProbes = 3
	// maxNeighbours is how many other backend servers of the failure domain are probed, and
	// minNeighbours how many are needed to decide whether the domain is down.
	maxNeighbours = 5
	minNeighbours = 2
)

// Loss is an attempt that ended before its answer was complete.
type Loss struct {
	Backend fleet.Backend
	// Chunks is the number of tokens or chunks that the attempt had delivered; SinceFirst is the
	// time from the first of them to the loss.
	Chunks     int
	Ran        time.Duration // since the attempt was sent
	SinceFirst time.Duration
	// Cause states for the log how the router noticed the loss.
	Cause string

	incarnation string
	at          time.Duration
}

// examine probes the backend server of a lost attempt. If the backend server exited on its own,
// before the first token or chunk or less than earlyWindow after it, examine counts the crash
// against the request; after a longer run it only records the exit.
func (g *Guard) examine(s *Submission, l Loss) {
	state := g.probe(l.Backend)
	onItsOwn := state == Exited && !g.domainExited(l)
	g.metrics.loss(state, onItsOwn).Inc()
	g.cfg.Log.Emit(event.LossExamined, "digest", s.digest.String(), "backend", l.Backend.ID, "domain", l.Backend.FailureDomain,
		"found", state.String(), "alone", onItsOwn, "pieces", l.Chunks, "since_first_ms", l.SinceFirst.Milliseconds(), "cause", l.Cause)
	if !onItsOwn {
		return
	}
	if l.SinceFirst >= earlyWindow {
		g.recordExit(l)
		return
	}
	c := PartCrash{
		Crash:   Crash{Incarnation: l.incarnation, At: l.at, SentAt: l.at - l.Ran, Submission: s.submission},
		Request: s.digest, Account: s.account, Model: s.model, Parts: s.parts,
	}
	if againstRequest, againstParts := g.count(c); againstRequest || againstParts {
		g.broadcast(Update{Crashes: []CrashUpdate{c.report(g.cfg.Now())}})
	}
}

// recordExit records the exit of a backend server, and broadcasts the exit if it was not known.
// The exit counts against no request, but may show that other exits at the same moment have a
// common cause.
func (g *Guard) recordExit(l Loss) {
	var added bool
	g.withTracker(func(t *Tracker, _ time.Duration) { added = t.Exited(l.incarnation, l.at) })
	if added {
		g.broadcast(Update{Exits: []ExitUpdate{{l.incarnation, (g.cfg.Now() - l.at).Milliseconds()}}})
	}
}

// StateAtEnd returns the state of a backend server at the end of a connection that looks like the end of an answer. It
// probes the backend server twice, since a process that crashes may still listen at first. Working means that both probes
// found it working; any other result leaves open whether the answer is complete.
func (g *Guard) StateAtEnd(b fleet.Backend) State {
	if g == nil {
		return Working
	}
	if state := g.probeOnce(b); state != Working {
		return state
	}
	time.Sleep(probeInterval)
	return g.probeOnce(b)
}

// probe probes a backend server up to maxProbes times to find out whether it has exited.
func (g *Guard) probe(b fleet.Backend) State {
	var state State
	for n := range maxProbes {
		if n > 0 {
			time.Sleep(probeInterval)
		}
		if state = g.probeOnce(b); state == Exited {
			break
		}
	}
	return state
}

// domainExited reports whether the other backend servers of the failure domain (a sample of up
// to maxNeighbours) exited together with the backend server of l. If so, no request that was
// running at the backend server of l is the cause. Backend servers that had exited on their
// own earlier, or before the request was sent to the backend server of l, are not evidence:
// earlier crashes under the same request may have ended them, and may have left only few of
// the domain running. If fewer than minNeighbours backend servers remain, the result is false.
func (g *Guard) domainExited(l Loss) bool {
	moment := l.at - min(l.Ran, simultaneousWindow)
	others := slices.DeleteFunc(g.cfg.Neighbours(l.Backend, maxNeighbours), func(b fleet.Backend) bool {
		return g.exitedBefore(g.cfg.Incarnation(b), moment)
	})
	if len(others) < minNeighbours {
		return false // too few to decide
	}
	found := make(chan State, len(others))
	for _, other := range others {
		go func() { found <- g.probeOnce(other) }()
	}
	for range others {
		if <-found != Exited {
			return false
		}
	}
	return true
}

// exitedBefore reports whether an incarnation is known to have exited on its own before moment.
func (g *Guard) exitedBefore(incarnation string, moment time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.ExitedBefore(incarnation, moment)
}

// metricSet holds the metrics of a Guard.
type metricSet struct {
	crashes, domains, working, unreachable *metrics.Counter
	refused, partRefused, dropped          *metrics.Counter
}

func newMetricSet(set *metrics.Set, quarantined, partsQuarantined func() float64) *metricSet {
	losses := func(found string) *metrics.Counter {
		return set.NewCounter(`wigeon_attempt_losses_total{found="` + found + `"}`)
	}
	set.NewGauge("wigeon_requests_quarantined", quarantined)
	set.NewGauge("wigeon_prompt_parts_quarantined", partsQuarantined)
	return &metricSet{
		crashes: losses("crash"), domains: losses("domain"), working: losses("working"), unreachable: losses("unclear"),
		refused:     set.NewCounter("wigeon_quarantine_refused_total"),
		partRefused: set.NewCounter("wigeon_prompt_part_refused_total"),
		dropped:     set.NewCounter("wigeon_quarantine_untold_total"),
	}
}

// refusal returns the counter of the refusals with an error.
func (m *metricSet) refusal(err error) *metrics.Counter {
	if err == ErrQuarantined {
		return m.refused
	}
	return m.partRefused
}

func (m *metricSet) loss(state State, onItsOwn bool) *metrics.Counter {
	switch {
	case state == Working:
		return m.working
	case state == Unreachable:
		return m.unreachable
	case !onItsOwn:
		return m.domains
	}
	return m.crashes
}
