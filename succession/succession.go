// Package succession finds out which replica has taken the address of one that
// crashed, while the registry can't tell.
//
// Failure story: the registry is away, and a failure domain crashes. Its replicas
// are back a second later, at the same addresses and with ids of their own, and
// nobody is told: the others carry all work until the registry is back, and when a
// second domain crashes, a third of them does. It shows as drafts that are late or
// lost for as long as the registry is away: a third to two thirds of them. So the
// addresses of lost replicas are asked who is there now. Addresses are given to other
// services too: a replica is taken for a successor only by what it says of itself.
package succession

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeondale/fleet"
)

// ErrUnchanged says that an address has no other replica than the one that was known, and
// that this one has not started again.
var ErrUnchanged = errors.New("no other replica has the address")

// Replica is a replica that answered at the address of another one.
type Replica struct {
	fleet.Incarnation
	MemoryTokens int  // tokens that its engine holds
	Leaving      bool // it takes no more work
}

// Prober asks who has the address of a replica now.
type Prober interface {
	// Identify returns the replica that has the address of b, or ErrNone when that is
	// b itself. Any other error means that it could not be found out.
	// checkPath is where the replicas of its service answer checks.
	Identify(ctx context.Context, b fleet.Backend, checkPath string) (Replica, error)
}

const (
	// askAgain is how long an address is left alone after it was asked: a start takes
	// about as long.
	askAgain = time.Second
	// askTimeout bounds one question. Who is there answers at once.
	askTimeout = 300 * time.Millisecond
	// askTogether bounds the questions under way.
	askTogether = 16
)

// Finder asks the addresses of lost replicas. It belongs to one goroutine.
type Finder struct {
	asker Prober
	asked map[string]time.Time // by address
}

// New returns a Seeker.
func New(asker Prober) *Finder { return &Finder{asker: asker, asked: map[string]time.Time{}} }

// Find returns the successors of lost replicas, each with the place of the one whose
// address it has. fits decides by what a replica says of itself whether it serves what
// the lost one did. Addresses that were asked a short while ago are left out.
func (s *Finder) Find(ctx context.Context, lost []fleet.Backend, checkPath string, fits func(lost fleet.Backend, f Replica) bool) []fleet.Backend {
	var mu sync.Mutex
	var found []fleet.Backend
	var group sync.WaitGroup
	slots := make(chan struct{}, askTogether)
	for _, b := range s.due(lost, time.Now()) {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, stop := context.WithTimeout(ctx, askTimeout)
			defer stop()
			f, err := s.asker.Identify(ctx, b, checkPath)
			// Who can't be reached is asked again.
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

// due returns the replicas whose addresses are to be asked now, and forgets those
// that are not lost any more.
func (s *Finder) due(lost []fleet.Backend, now time.Time) []fleet.Backend {
	asked := make(map[string]time.Time, len(lost))
	var out []fleet.Backend
	for _, b := range lost {
		if at, ok := s.asked[b.Addr]; ok && now.Sub(at) < askAgain {
			asked[b.Addr] = at
			continue
		}
		asked[b.Addr] = now
		out = append(out, b)
	}
	s.asked = asked
	return out
}
