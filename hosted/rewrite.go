package hosted

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/mirror"
	"wigeondale/rollout"
)

const (
	// rewriteSpread is the time over which the nodes that have read a store which came back from a
	// copy spread their writes. Most of them then see what another one has written.
	rewriteSpread = 500 * time.Millisecond
	// rewriteTries is how often the writing of one item is tried, with rewriteRetry between two
	// tries.
	rewriteTries   = 4
	rewriteRetry   = 500 * time.Millisecond
	rewriteTimeout = time.Second
)

// rewriteStore is the part of the store that a rewriter uses.
type rewriteStore interface {
	rolloutWriter
	Replace(ctx context.Context, key string, data []byte, revision fleet.Revision) (bool, error)
	RemoveAt(ctx context.Context, key string, revision fleet.Revision) (bool, error)
}

// rewriter writes again what the nodes have written and a store that came back from a copy has lost:
// records of roll-outs, holds of requests, the sample plan. Without it a roll-out that has ended would
// begin again, and a request that crashes replicas would reach them again.
type rewriter struct {
	store rewriteStore
	log   *event.Log
}

// rewrite writes the items in the background. The entries of nodes and the key of the links are written
// by the registrations.
func (r *rewriter) rewrite(lost []mirror.Lost) {
	for _, l := range lost {
		if strings.HasPrefix(l.Known.Key, nodePrefix) || l.Known.Key == peerKeyKey {
			continue
		}
		go r.rewriteOne(l)
	}
}

func (r *rewriter) rewriteOne(l mirror.Lost) {
	time.Sleep(rand.N(rewriteSpread))
	for try := range rewriteTries {
		if try > 0 {
			time.Sleep(rewriteRetry)
		}
		written, err := r.write(l)
		r.log.Emit(event.StoreItemRewritten, "key", l.Known.Key, "revision", l.Known.ModRev.String(), "over", l.Listed.String(),
			"removed", l.Known.Data == nil, "written", written, "err", err)
		if err == nil {
			return // if it was not written, another node has written it first
		}
	}
}

func (r *rewriter) write(l mirror.Lost) (bool, error) {
	ctx, stop := context.WithTimeout(context.Background(), rewriteTimeout)
	defer stop()
	key := l.Known.Key
	if l.Known.Data == nil {
		return r.store.RemoveAt(ctx, key, l.Listed)
	}
	service, isRecord := strings.CutPrefix(key, rolloutPrefix)
	if !isRecord {
		return r.store.Replace(ctx, key, l.Known.Data, l.Listed)
	}
	var rec rollout.Record
	if err := json.Unmarshal(l.Known.Data, &rec); err != nil {
		return false, Error.Wrap(err)
	}
	return r.store.WriteRollout(ctx, service, key, rec, l.Listed)
}

// storeReturned is called when the store has come back from a copy.
func (n *node) storeReturned(lost []mirror.Lost) {
	n.rewriter.rewrite(lost)
	n.peers.reg.storeReturned()
	n.software.storeReturned()
}
