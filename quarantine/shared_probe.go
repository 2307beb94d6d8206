package quarantine

import (
	"context"
	"sync"
	"time"

	"wigeondale/fleet"
)

// sharedProbeAge is the age up to which a probe in progress counts for another loss as well. It is less than probeInterval, so that the
// later probes after a loss begin after it.
const sharedProbeAge = probeInterval / 2

// probes are the probes in progress. Probes of one backend server that would begin at almost the same time are one: each needs a
// connection, and a server that falls silent loses all its requests at one moment.
type probes struct {
	mu      sync.Mutex
	running map[probed]*sharedProbe // the latest of each backend server
}

type probed struct{ id, addr string }

type sharedProbe struct {
	begun time.Duration
	done  chan struct{} // closed when state is set
	state State
}

func (g *Guard) probeOnce(b fleet.Backend) State {
	key, now := probed{b.ID, b.Addr}, g.cfg.Now()
	p, own := g.probes.join(key, now)
	if !own {
		<-p.done
		return p.state
	}
	ctx, stop := context.WithTimeout(context.Background(), ProbeTimeout)
	defer stop()
	p.state = g.cfg.Prober.Probe(ctx, b)
	close(p.done)
	g.probes.end(key, p)
	return p.state
}

// join returns the probe of a backend server to wait for, or a new one of the caller's own.
func (s *probes) join(key probed, now time.Duration) (p *sharedProbe, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.running[key]; p != nil && now-p.begun < sharedProbeAge {
		return p, false
	}
	if s.running == nil {
		s.running = map[probed]*sharedProbe{}
	}
	p = &sharedProbe{begun: now, done: make(chan struct{})}
	s.running[key] = p
	return p, true
}

func (s *probes) end(key probed, p *sharedProbe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[key] == p {
		delete(s.running, key)
	}
}
