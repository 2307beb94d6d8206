package hosted

import (
	"context"
	"crypto/rand"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/settings"
)

const (
	// nodeLease is how long a node that is gone stays registered: the longest that
	// the store grants, since each renewal is a call of each node.
	nodeLease = 10 * time.Minute
	renewal   = nodeLease / 3
	// registerTimeout bounds one call, registerRetry the pause after a failure.
	registerTimeout = time.Second
	registerRetry   = 500 * time.Millisecond
)

// registration keeps this node's address in the store, and creates the key that
// all links prove if there is none.
type registration struct {
	set   *settings.Settings
	store *platform.Store
	log   *event.Log
}

// run registers and renews until ctx ends.
func (r *registration) run(ctx context.Context) {
	for {
		lease, err := r.register(ctx)
		if err != nil {
			r.log.Emit(event.RegisterFailed, "err", err)
			if !clock.Sleep(ctx, registerRetry) {
				return
			}
			continue
		}
		if !r.renew(ctx, lease) {
			return
		}
	}
}

// renew returns true when the lease may have ended, and false when ctx has.
func (r *registration) renew(ctx context.Context, lease infra.LeaseID) bool {
	for clock.Sleep(ctx, renewal) {
		ctx, stop := context.WithTimeout(ctx, registerTimeout)
		err := r.store.KeepAlive(ctx, lease)
		stop()
		if err != nil {
			r.log.Emit(event.RegisterFailed, "err", err)
			return true
		}
	}
	return false
}

// register writes this node's address. A key that another node created first
// comes through the mirror.
func (r *registration) register(ctx context.Context) (infra.LeaseID, error) {
	ctx, stop := context.WithTimeout(ctx, registerTimeout)
	defer stop()
	key := make([]byte, peerKeyBytes)
	rand.Read(key) // never fails: the runtime ends the process instead
	if _, err := r.store.Create(ctx, peerKeyKey, key); err != nil {
		return 0, err
	}
	lease, err := r.store.Grant(ctx, nodeLease)
	if err != nil {
		return 0, err
	}
	return lease, r.store.Put(ctx, nodePrefix+r.set.Node.ID, []byte(r.set.Hosted.PeerAddress), lease)
}
