package soak

import (
	"fmt"
	"sync"
	"time"
)

// softwareRecord counts the streams that clients begin and take up.
type softwareRecord struct {
	mu           sync.Mutex
	calmFrom     time.Time // zero before the calm
	took, wentOn int       // streams taken up in the calm, and those that went on
	endedAt      time.Time // of all routers in the calm; zero before
	// outlived is whether a stream that began before that went on, for those that clients took up afterwards.
	outlived map[string]bool
}

// allEnd records when all routers end in the calm.
func (s *softwareRecord) allEnd(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedAt, s.outlived = at, map[string]bool{}
}

func (s *softwareRecord) calm(from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calmFrom = from
}

// takenUp counts a stream that a client took up.
func (s *softwareRecord) takenUp(one *softwareStream, at time.Time, wentOn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endedAt.IsZero() && one.beganAt.Before(s.endedAt.Add(-recordTime)) && at.After(s.endedAt) {
		s.outlived[one.id] = s.outlived[one.id] || wentOn
	}
	if s.calmFrom.IsZero() || at.Before(s.calmFrom) {
		return
	}
	s.took++
	if wentOn {
		s.wentOn++
	}
}

// checkSoftware records a violation if streams did not go on.
func (r *platformRun) checkSoftware() {
	s := &r.software
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.took >= minTakeUps && 2*s.wentOn < s.took {
		r.checks.violated("streams that clients take up go on", "", fmt.Sprintf("%d of %d", s.wentOn, s.took))
	}
	outlived := 0
	for _, wentOn := range s.outlived {
		if wentOn {
			outlived++
		}
	}
	if len(s.outlived) >= minOutlived && 2*outlived < len(s.outlived) {
		r.checks.violated("streams go on after the end of all routers", "", fmt.Sprintf("%d of %d", outlived, len(s.outlived)))
	}
	r.history.add(fmt.Sprintf("after the end of all routers %d of %d streams went on", outlived, len(s.outlived)))
	r.history.add(fmt.Sprintf("in the calm %d of %d streams that clients took up went on", s.wentOn, s.took))
}
