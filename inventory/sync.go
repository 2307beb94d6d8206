package inventory

import (
	"context"
	"time"

	"wigeondale/event"
)

// HandleFlood takes in a flood.
func (v *Inventory) HandleFlood(d Delta) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hear(d.Newest)
	v.merge(d.Records, v.met.byFlood)
}

// hear notes news of readings. Callers hold v.mu.
func (v *Inventory) hear(h NewestReadings) {
	reading, chosen := v.state.RecordReadings(h, time.Now())
	if reading {
		v.heard = time.Now()
	}
	if chosen {
		v.standing = false
	}
}

// Answer serves Peers.Compare.
func (v *Inventory) Answer(d Digest) Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hear(d.Newest)
	return v.state.Answer(d)
}

// Exchange serves Peers.Exchange.
func (v *Inventory) Exchange(b Batch) Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(b.Records, v.met.byDigest)
	answer, _ := v.state.Exchange(Batch{Buckets: b.Buckets, Done: b.Done}, time.Now())
	return answer
}

// round compares with a random neighbour. It also looks at the members anew,
// should a change have gone unnoticed, and drops old tombstones.
func (v *Inventory) round(ctx context.Context) {
	v.MembersChanged()
	v.mu.Lock()
	v.state.Expire(time.Now())
	v.mu.Unlock()
	if node, ok := v.cfg.Peers.Neighbour(); ok {
		v.Sync(ctx, node)
	}
}

// Sync compares with a node and exchanges what differs. A failure is left to
// the next round.
func (v *Inventory) Sync(ctx context.Context, node string) {
	wasEmpty := v.size() == 0
	differed, err := v.sync(ctx, node)
	switch {
	case err != nil:
		v.met.digestFailed.Inc()
	case differed:
		v.met.digestDiffered.Inc()
	default:
		v.met.digestEqual.Inc()
	}
	if n := v.size(); wasEmpty && n > 0 {
		v.cfg.Events.Emit(event.InventoryFromPeer, "peer", node, "records", n)
	}
}

func (v *Inventory) sync(ctx context.Context, node string) (differed bool, err error) {
	asked, err := v.compare(ctx, node)
	differed = len(asked) > 0
	for err == nil && len(asked) > 0 {
		var done int
		done, err = v.exchangeBuckets(ctx, node, asked)
		asked = asked[done:]
	}
	return differed, err
}

func (v *Inventory) compare(ctx context.Context, node string) ([]uint16, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.mu.Lock()
	mine := v.state.Digest()
	v.mu.Unlock()
	answer, err := v.cfg.Peers.Compare(ctx, node, mine)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hear(answer.Newest)
	return v.state.Differing(answer), nil
}

// exchangeBuckets exchanges as many of the buckets as fit into messages both ways.
func (v *Inventory) exchangeBuckets(ctx context.Context, node string, asked []uint16) (done int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.mu.Lock()
	batch := v.state.Batch(asked)
	v.mu.Unlock()
	batch.Buckets = asked[:batch.Done]
	answer, err := v.cfg.Peers.Exchange(ctx, node, batch)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	if answer.Done < 1 || answer.Done > batch.Done {
		return 0, Error.New("%s covered %d of %d buckets", node, answer.Done, batch.Done)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(answer.Records, v.met.byDigest)
	return answer.Done, nil
}

func (v *Inventory) size() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.state.records)
}
