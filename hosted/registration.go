package hosted

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/infra"
	"wigeondale/settings"
)

const (
	// nodeLease is how long a dead node stays registered. It is the longest lease that the
	// store grants, since each renewal is one call by each node to the store.
	nodeLease = 10 * time.Minute
	renewal   = nodeLease / 3
	// registerTimeout bounds one call to the store; registerRetry is the pause after a failed
	// call.
	registerTimeout = time.Second
	registerRetry   = 500 * time.Millisecond
	// readWait is how long a registration waits for the first read of the store, which takes some
	// tenths of a second when all nodes start at once.
	readWait = 2 * time.Second
	// keySpread is the time over which nodes that all start for the first time spread the
	// creation of the key: the first node creates the key, and most other nodes read it before
	// they try.
	keySpread = 200 * time.Millisecond
)

// registry is the part of the store that a registration uses.
type registry interface {
	Create(ctx context.Context, key string, data []byte) (bool, error)
	Put(ctx context.Context, key string, data []byte, lease infra.Lease) error
	Grant(ctx context.Context, ttl time.Duration) (infra.Lease, error)
	KeepAlive(ctx context.Context, lease infra.Lease) error
}

// registration maintains this node's address in the store, and creates the key with which all
// links authenticate if the store has none.
type registration struct {
	set   *settings.Settings
	store registry
	log   *event.Log
	// storeRead is closed when the store has been read once. After that, state returns whether
	// the key exists, and the lease of this node's entry, if an entry has this node's
	// address.
	storeRead <-chan struct{}
	state     func() registrationState
	// returned has a value when the store has come back from a copy, which may lack what this node
	// has written.
	returned chan struct{}
}

// registrationState is what a registration has to know of the store.
type registrationState struct {
	key       []byte      // of the links; nil if it isn't known
	keyStored bool        // the store has the key
	lease     infra.Lease // of this node's entry; its ID is 0 if no entry has this node's address
	nodes     int         // registered nodes, with this one
}

// storeReturned makes the registration write again what the store lacks.
func (r *registration) storeReturned() {
	select {
	case r.returned <- struct{}{}:
	default:
	}
}

// run registers this node and renews its lease until ctx ends.
func (r *registration) run(ctx context.Context) {
	if !r.awaitRead(ctx) {
		return
	}
	lease, renewed := r.resumeLease(ctx)
	for {
		if renewed && !r.renew(ctx, lease) {
			return
		}
		var err error
		if lease, err = r.register(ctx); err != nil {
			r.log.Emit(event.RegisterFailed, "err", err)
			if !clock.Sleep(ctx, registerRetry) {
				return
			}
		}
		renewed = err == nil
	}
}

// awaitRead waits up to readWait until the store has been read, since what the store contains
// already need not be written again. If the key of the links is still not known then, it waits
// for a random part of keySpread. It returns false when ctx has ended.
func (r *registration) awaitRead(ctx context.Context) bool {
	timer := time.NewTimer(readWait)
	defer timer.Stop()
	select {
	case <-r.storeRead:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	if r.state().key != nil {
		return true
	}
	return clock.Sleep(ctx, rand.N(keySpread))
}

// resumeLease renews the lease of the entry that this node left behind when it stopped. It
// returns false if there is no such entry or the renewal failed.
//
// Without this renewal, when all nodes stop and start again, each of them would make three
// writes for what is in the store already, while all of them read the store. These writes
// would be the largest part of the calls to the store.
func (r *registration) resumeLease(ctx context.Context) (infra.Lease, bool) {
	lease := r.state().lease
	if lease.ID == 0 {
		return lease, false
	}
	ctx, stop := context.WithTimeout(ctx, registerTimeout)
	defer stop()
	return lease, r.store.KeepAlive(ctx, lease) == nil // otherwise the node registers again
}

// renew renews the lease. It returns true when the lease may have expired, and false when ctx has
// ended.
func (r *registration) renew(ctx context.Context, lease infra.Lease) bool {
	for {
		due := time.NewTimer(renewal)
		select {
		case <-ctx.Done():
			due.Stop()
			return false
		case <-r.returned:
			due.Stop()
			var kept bool
			if lease, kept = r.checkReturned(ctx); !kept {
				return ctx.Err() == nil
			}
			continue
		case <-due.C:
		}
		ctx, stop := context.WithTimeout(ctx, registerTimeout)
		err := r.store.KeepAlive(ctx, lease)
		stop()
		if err != nil {
			r.log.Emit(event.RegisterFailed, "err", err)
			return true
		}
	}
}

// returnSpread is the time for each registered node over which the nodes spread their writes after
// the store has come back: together they make three writes for each node that it lacks.
const returnSpread = 10 * time.Millisecond

// checkReturned finds out whether a store that has come back from a copy still has this node's entry and
// its lease, and the key of the links. It returns false if this node has to register again.
func (r *registration) checkReturned(ctx context.Context) (infra.Lease, bool) {
	s := r.state()
	if s.key != nil && !s.keyStored {
		return infra.Lease{}, false // at once: a node that starts now would create another key
	}
	if !clock.Sleep(ctx, rand.N(returnSpread*time.Duration(max(s.nodes, 1)))) {
		return infra.Lease{}, false
	}
	return r.resumeLease(ctx)
}

// register writes this node's address, and creates the key of the links if necessary. If
// another node created the key first, that key arrives through the mirror.
func (r *registration) register(ctx context.Context) (infra.Lease, error) {
	ctx, stop := context.WithTimeout(ctx, registerTimeout)
	defer stop()
	if err := r.createKey(ctx); err != nil {
		return infra.Lease{}, err
	}
	lease, err := r.store.Grant(ctx, nodeLease)
	if err != nil {
		return infra.Lease{}, err
	}
	return lease, r.store.Put(ctx, nodePrefix+r.set.Node.ID, []byte(r.set.Hosted.PeerAddress), lease)
}

// createKey creates the key of the links if the store has none. A key that the store has lost is
// written again.
func (r *registration) createKey(ctx context.Context) error {
	s := r.state()
	if s.keyStored {
		return nil
	}
	key := s.key
	if key == nil {
		key = make([]byte, peerKeyBytes)
		crand.Read(key) // never fails: the runtime ends the process instead
	}
	_, err := r.store.Create(ctx, peerKeyKey, key)
	return err
}
