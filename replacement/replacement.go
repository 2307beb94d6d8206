// Package replacement finds out which replica has taken the address of a replica that crashed,
// while the registry is unavailable.
//
// When a failure domain crashes, its replicas are back a second later, at the same addresses
// and with new ids. While the registry is unavailable no router is notified of these replicas,
// so that the other failure domains carry all work. When a second domain of three crashes, a
// single domain carries all work. Then a third to two thirds of all generations are late or
// lost until the registry is back. So the addresses of lost replicas are probed to see which
// replica answers now. Addresses may also be reused by other services: a replica is accepted
// only by what it reports of itself.
package replacement

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeondale/fleet"
)

// ErrUnchanged is the result of Identify if the replica that was last known at the address still
// answers there and has not restarted.
var ErrUnchanged = errors.New("no other replica has the address")

// Replica is a replica that answered at the address of a lost replica.
type Replica struct {
	fleet.Incarnation
	MemoryTokens int  // number of tokens that fit into the memory of the replica's engine
	Leaving      bool // the replica accepts no more work
}

// Prober finds out which replica has the address of a given replica now.
type Prober interface {
	// Identify returns the replica that has the address of b, or ErrUnchanged when that
	// replica is b itself. Any other error means that the replica could not be identified.
	// checkPath is the path of the health check of b's service.
	Identify(ctx context.Context, b fleet.Backend, checkPath string) (Replica, error)
}

const (
	// probeInterval is the least time between two probes of an address. The start of a replica
	// takes about as long.
	probeInterval = time.Second
	// probeTimeout bounds the wait for the answer to one probe. The bound can be short because a
	// running replica answers at once.
	probeTimeout = 300 * time.Millisecond
	// maxProbes bounds the number of probes that one call of Find has under way at a time.
	maxProbes = 16
)

// Finder probes the addresses of lost replicas, to find the replicas that have taken these
// addresses. It isn't safe for concurrent use.
type Finder struct {
	prober   Prober
	probedAt map[string]time.Time // by address
}

// New returns a Finder that probes addresses through prober.
func New(prober Prober) *Finder { return &Finder{prober: prober, probedAt: map[string]time.Time{}} }

// Find returns the replicas that have taken the addresses of lost replicas. A returned replica
// has the failure domain and the other fields of the lost replica whose address it has taken.
// The function fits decides, by what a replica reports of itself, whether the replica serves
// what the lost replica served. Addresses that were probed less than probeInterval ago are
// skipped.
func (s *Finder) Find(ctx context.Context, lost []fleet.Backend, checkPath string, fits func(lost fleet.Backend, f Replica) bool) []fleet.Backend {
	var mu sync.Mutex
	var found []fleet.Backend
	var group sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for _, b := range s.due(lost, time.Now()) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, stop := context.WithTimeout(ctx, probeTimeout)
			defer stop()
			f, err := s.prober.Identify(ctx, b, checkPath)
			// An address at which no fitting replica was found is probed again by a later call.
			if err != nil || f.Leaving || f.Name == "" || !fits(b, f) {
				return
			}
			b.ID, b.Incarnation, b.Leaving = f.ID(), f.Incarnation, false
			mu.Lock()
			defer mu.Unlock()
			found = append(found, b)
		})
	}
	group.Wait()
	return found
}

// due returns the replicas whose addresses are to be probed now, and drops the probe times of
// addresses whose replicas are no longer lost.
func (s *Finder) due(lost []fleet.Backend, now time.Time) []fleet.Backend {
	probedAt := make(map[string]time.Time, len(lost))
	var out []fleet.Backend
	for _, b := range lost {
		if at, ok := s.probedAt[b.Addr]; ok && now.Sub(at) < probeInterval {
			probedAt[b.Addr] = at
			continue
		}
		probedAt[b.Addr] = now
		out = append(out, b)
	}
	s.probedAt = probedAt
	return out
}
