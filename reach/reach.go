// Package reach finds out whether this router is cut off from the backend servers of a service.
//
// A router may lose its links to backend servers while its callers and the other routers still
// reach it. Each attempt then fails alone, after a timeout of its own, and looks like the failure of
// its backend server: requests are refused although other routers could serve them, and working
// backend servers are reported to the other routers as crashed. So the failures of connections to
// different backend servers are counted together. When there are several, this router opens
// connections to a sample of the service's other backend servers. If none opens, the router counts
// as cut off from the service, until a connection opens again.
//
// A service whose backend servers are all down looks the same from one router. Only other routers
// can tell the two apart.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"wigeondale/fleet"
)

const (
	// failureWindow is how long the failure of a connection counts.
	failureWindow = 2 * time.Second
	// minFailed is the number of different backend servers whose failures start a check.
	minFailed = 2
	// recentCut is how long after the end of a cut one failure is enough to start a check.
	recentCut = 5 * time.Second
	// sampleSize is the number of backend servers that one check probes.
	sampleSize = 3
	// checkInterval is the least time between two checks of a service that is reached.
	checkInterval = 500 * time.Millisecond
	// probeInterval is how often backend servers are probed during a cut.
	probeInterval = 250 * time.Millisecond
	// probesInCut is the number of backend servers that are probed at once during a cut.
	probesInCut = 2
	// ProbeTimeout is how long the connection of a probe may take to open. It is many times
	// the round trip between regions.
	ProbeTimeout = 300 * time.Millisecond
)

// phase is what is known of the links to a service.
type phase int

const (
	reached phase = iota
	checking
	cut
)

// service is the state of the links to the backend servers of one service. It is a pure state
// machine: the time is passed in, and the probes that it requests are sent by its caller.
type service struct {
	phase    phase
	failed   map[string]time.Time // when a connection failed last, by backend server
	since    time.Time            // when the phase began
	checked  time.Time            // when the latest check or probe of a cut began
	open     int                  // probes of the current check without a result
	cutEnded time.Time            // when the latest cut ended; zero if there was none
}

// fail records that a connection to a backend server could not be opened or was lost.
func (s *service) fail(id string, now time.Time) {
	if s.failed == nil {
		s.failed = map[string]time.Time{}
	}
	s.failed[id] = now
}

// connected records that a connection to a backend server opened. It reports whether that ends a
// cut. In a check it is the result that this router reaches the service.
func (s *service) connected(id string, now time.Time) (cutEnds bool) {
	delete(s.failed, id)
	switch s.phase {
	case reached:
		return false
	case checking:
		s.enter(reached, now)
		return false
	}
	s.cutEnded = now
	clear(s.failed)
	s.enter(reached, now)
	return true
}

func (s *service) enter(p phase, now time.Time) { s.phase, s.since = p, now }

// due returns the backend servers to probe now. It starts a check if there is reason for one. read
// returns the backend servers of the service.
func (s *service) due(read func() []fleet.Backend, now time.Time) []fleet.Backend {
	switch s.phase {
	case cut:
		if now.Sub(s.checked) < probeInterval {
			return nil
		}
		s.checked = now
		return sample(read(), nil, probesInCut)
	case checking:
		return nil
	}
	if now.Sub(s.checked) < checkInterval || len(s.failed) == 0 {
		return nil
	}
	known := read()
	if !s.suspicious(len(known), now) {
		return nil
	}
	probed := sample(known, s.failed, sampleSize)
	if len(probed) == 0 {
		return nil
	}
	s.checked, s.open = now, len(probed)
	s.enter(checking, now)
	return probed
}

// suspicious reports whether the recent failures are reason for a check.
func (s *service) suspicious(known int, now time.Time) bool {
	for id, at := range s.failed {
		if now.Sub(at) > failureWindow {
			delete(s.failed, id)
		}
	}
	need := min(minFailed, known)
	if !s.cutEnded.IsZero() && now.Sub(s.cutEnded) < recentCut {
		need = 1
	}
	return len(s.failed) > 0 && len(s.failed) >= need
}

// probeFailed records that a probe failed, and reports whether a cut begins with that.
func (s *service) probeFailed(id string, now time.Time) (cutBegins bool) {
	s.fail(id, now)
	if s.phase != checking {
		return false
	}
	if s.open--; s.open > 0 {
		return false
	}
	s.enter(cut, now)
	return true
}

// sample returns up to n of the backend servers in random order: those without a failure first,
// and of these one of each failure domain before a second one.
func sample(known []fleet.Backend, failed map[string]time.Time, n int) []fleet.Backend {
	shuffled := slices.Clone(known)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	inDomain := map[string]int{}
	rank := make(map[string]int, len(shuffled))
	for i := range shuffled {
		b := &shuffled[i]
		if _, bad := failed[b.ID]; bad {
			rank[b.ID] = len(shuffled)
			continue
		}
		rank[b.ID] = inDomain[b.FailureDomain]
		inDomain[b.FailureDomain]++
	}
	slices.SortStableFunc(shuffled, func(a, b fleet.Backend) int { return rank[a.ID] - rank[b.ID] })
	return shuffled[:min(n, len(shuffled))]
}
