package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGrace is the time from the signal to end to the platform's kill with Config.Stops, and stopWork how long a plain
	// service works on a request then.
	stopGrace = 2500 * time.Millisecond
	stopWork  = 2 * time.Second
)

// stopRecord holds the requests that ended without an answer, and how the processes ended.
type stopRecord struct {
	mu sync.Mutex
	// terminated are the incarnations that got SIGTERM; harmed those that were killed or paused.
	terminated, harmed map[string]bool
	unanswered         []result
}

// signalled records a signal to an incarnation of a router.
func (s *stopRecord) signalled(incarnation string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.terminated == nil {
		s.terminated, s.harmed = map[string]bool{}, map[string]bool{}
	}
	switch sig {
	case syscall.SIGTERM:
		s.terminated[incarnation] = true
	case syscall.SIGKILL, syscall.SIGSTOP:
		s.harmed[incarnation] = true
	}
}

// add keeps a result for check if its connection ended without an answer.
func (s *stopRecord) add(r result, incarnation string) {
	if r.err == nil || r.status != 0 || r.abandoned {
		return
	}
	r.incarnation = incarnation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, r)
}

// checkStops records a violation for each request that ran at a replica through a router in a planned stop and whose connection
// ended without an answer.
func (c *checks) checkStops(ran map[string]int) {
	c.stops.mu.Lock()
	defer c.stops.mu.Unlock()
	for _, r := range c.stops.unanswered {
		if ran[r.id] > 0 && c.stops.terminated[r.incarnation] && !c.stops.harmed[r.incarnation] && r.duration < maxAnswerTime {
			c.violated("a request that runs in a planned stop gets an answer", r.id, fmt.Sprintf("%s through %s, after %v", r.kind, r.incarnation, r.duration))
		}
	}
}
