package listen

import (
	"sync"
	"time"
)

// TakePlace takes a place for one more connection to a backend server under a request that has one already. It reports false if there is
// none.
//
// Descriptors are left for one connection to a backend server under each of MaxConns requests. Config.SparePlaces more may be open; beyond
// these, each place is that of a client, and an idle client is given up for it. Otherwise backend servers that fall silent
// under a full listener would double the connections, and the process could accept none and open no file.
func (s *Server) TakePlace() (release func(), ok bool) {
	victim, ok := s.clients.takePlace(time.Now())
	if victim != nil {
		victim.drop()
	}
	if !ok {
		return nil, false
	}
	return sync.OnceFunc(s.clients.releasePlace), true
}

func (c *clients) takePlace(now time.Time) (victim *conn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.MaxConns > 0 && len(c.conns)+c.places >= c.cfg.MaxConns+c.cfg.SparePlaces {
		if victim = c.claimIdle(now); victim == nil {
			return nil, false
		}
	}
	c.places++
	return victim, true
}

// claimIdle claims the longest idle connection, or returns nil if there is none. The caller holds c.mu.
func (c *clients) claimIdle(now time.Time) *conn {
	for range claimTries {
		victim, reason := c.leastActive(now)
		if victim == nil || reason != reasonIdle {
			return nil
		}
		if victim.claim(reason) {
			delete(c.conns, victim)
			c.countLocked(reason, now)
			return victim
		}
	}
	return nil
}

func (c *clients) releasePlace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.places--
}

// full reports whether a new connection needs the place of another. The caller holds c.mu.
func (c *clients) full() bool {
	return c.cfg.MaxConns > 0 && len(c.conns)+max(c.places-c.cfg.SparePlaces, 0) >= c.cfg.MaxConns
}
