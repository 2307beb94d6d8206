package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	// ProbeTimeout bounds one look at a backend server.
	ProbeTimeout = 300 * time.Millisecond
	// lookAgain is the pause before a backend server that seems to work is looked at once
	// more: a process that crashes may close its connections before it stops listening.
	lookAgain = 100 * time.Millisecond
	// looks bounds how often.
	looks = 3
	// neighbours is how many others of the failure domain are looked at, and fewestNeighbours
	// how many it takes to judge the domain.
	neighbours       = 5
	fewestNeighbours = 2
)

// Loss is an attempt that ended before its answer did.
type Loss struct {
	Backend fleet.Backend
	// Chunks of the answer that the attempt had given, and how long ago the first of them came.
	Chunks     int
	Ran        time.Duration // since the attempt was sent
	SinceFirst time.Duration
	// Cause is how the loss was noticed.
	Cause string

	lifetime string
	at       time.Duration
}

// examine finds out what a loss was, and counts a crash against the request.
func (g *Guard) examine(c *Submission, l Loss) {
	state := g.look(l.Backend)
	alone := state == Exited && !g.domainLost(l)
	g.m.loss(state, alone).Inc()
	g.cfg.Log.Emit(event.LossExamined, "digest", c.digest.String(), "backend", l.Backend.ID, "domain", l.Backend.FailureDomain,
		"found", state.String(), "alone", alone, "pieces", l.Chunks, "since_first_ms", l.SinceFirst.Milliseconds(), "cause", l.Cause)
	if !alone {
		return
	}
	if l.SinceFirst >= opening {
		g.noteEnd(l)
		return
	}
	if g.crashed(c.digest, c.account, Crash{Incarnation: l.lifetime, At: l.at, SentAt: l.at - l.Ran, Submission: c.try}) {
		g.tell(Update{Crashes: []CrashUpdate{{c.digest, c.account, l.lifetime, (g.cfg.Now() - l.at).Milliseconds(), c.try, l.Ran.Milliseconds()}}})
	}
}

// noteEnd takes in the end of a backend server that is held against no request.
func (g *Guard) noteEnd(l Loss) {
	var fresh bool
	g.change(func(b *Tracker, _ time.Duration) { fresh = b.Exited(l.lifetime, l.at) })
	if fresh {
		g.tell(Update{Exits: []ExitUpdate{{l.lifetime, (g.cfg.Now() - l.at).Milliseconds()}}})
	}
}

// look finds out whether a backend server has ended.
func (g *Guard) look(b fleet.Backend) State {
	var state State
	for n := range looks {
		if n > 0 {
			time.Sleep(lookAgain)
		}
		if state = g.lookOnce(b); state == Exited {
			break
		}
	}
	return state
}

func (g *Guard) lookOnce(b fleet.Backend) State {
	ctx, stop := context.WithTimeout(context.Background(), ProbeTimeout)
	defer stop()
	return g.cfg.Prober.Probe(ctx, b)
}

// domainLost tells whether all others of the failure domain ended with it. Then what ran there
// is no cause. Those that had ended alone before, or before the request was sent there, say
// nothing: crashes under the same request may have left few of the domain.
func (g *Guard) domainLost(l Loss) bool {
	moment := l.at - min(l.Ran, sameMoment)
	others := slices.DeleteFunc(g.cfg.Neighbours(l.Backend, neighbours), func(b fleet.Backend) bool {
		return g.endedBefore(g.cfg.Incarnation(b), moment)
	})
	if len(others) < fewestNeighbours {
		return false // too few to tell
	}
	found := make(chan State, len(others))
	for _, other := range others {
		go func() { found <- g.lookOnce(other) }()
	}
	for range others {
		if <-found != Exited {
			return false
		}
	}
	return true
}

// endedBefore tells whether a lifetime is known to have ended alone before a moment.
func (g *Guard) endedBefore(lifetime string, moment time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.ExitedBefore(lifetime, moment)
}

// meters count what a Guard does.
type meters struct {
	crashes, domains, sound, unclear *metrics.Counter
	refused, untold                  *metrics.Counter
}

func newMeters(set *metrics.Set, held func() float64) *meters {
	losses := func(found string) *metrics.Counter {
		return set.NewCounter(`wigeon_attempt_losses_total{found="` + found + `"}`)
	}
	set.NewGauge("wigeon_requests_quarantined", held)
	return &meters{
		crashes: losses("crash"), domains: losses("domain"), sound: losses("working"), unclear: losses("unclear"),
		refused: set.NewCounter("wigeon_quarantine_refused_total"),
		untold:  set.NewCounter("wigeon_quarantine_untold_total"),
	}
}

func (m *meters) loss(state State, alone bool) *metrics.Counter {
	switch {
	case state == Working:
		return m.sound
	case state == Unreachable:
		return m.unclear
	case !alone:
		return m.domains
	}
	return m.crashes
}
