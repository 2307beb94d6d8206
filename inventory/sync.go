package inventory

import (
	"context"
	"time"

	"wigeondale/event"
)

// HandleFlood merges the records of a reader's flood and records the times of the newest
// readings that it contains.
func (v *Inventory) HandleFlood(d Delta) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordReadings(d.Newest)
	v.merge(d.Records, v.met.byFlood)
}

// recordReadings records the times of the newest readings known to this or another node.
// If one of the times is newer than the time known here, that counts as an update about a
// reading; a newer reading by a chosen reader also ends fallbackActive. Callers hold v.mu.
func (v *Inventory) recordReadings(h NewestReadings) {
	reading, chosen := v.state.RecordReadings(h, time.Now())
	if reading {
		v.lastReadingAt = time.Now()
	}
	if chosen {
		v.fallbackActive = false
	}
}

// Answer answers the Peers.Compare of another node.
func (v *Inventory) Answer(d Digest) Digest {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordReadings(d.Newest)
	return v.state.Answer(d)
}

// Exchange answers the Peers.Exchange of another node.
func (v *Inventory) Exchange(b Batch) Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.merge(b.Records, v.met.byDigest)
	answer, _ := v.state.Exchange(Batch{Buckets: b.Buckets, Done: b.Done}, time.Now())
	return answer
}

// digestRound compares digests with a random neighbour. It also makes the next check of
// the duty read the members again, in case no notification of a change arrived, and drops
// the records of entries that were removed long ago (State.Expire).
func (v *Inventory) digestRound(ctx context.Context) {
	v.MembersChanged()
	v.mu.Lock()
	v.state.Expire(time.Now())
	v.mu.Unlock()
	if node, ok := v.cfg.Peers.Neighbour(); ok {
		v.Sync(ctx, node)
	}
}

// Sync compares digests with a node and exchanges the records that differ. After a
// failure, the next round tries again.
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
	buckets, err := v.compare(ctx, node)
	differed = len(buckets) > 0
	for err == nil && len(buckets) > 0 {
		var done int
		done, err = v.exchangeBuckets(ctx, node, buckets)
		buckets = buckets[done:]
	}
	return differed, err
}

func (v *Inventory) compare(ctx context.Context, node string) ([]uint16, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.mu.Lock()
	local := v.state.Digest()
	v.mu.Unlock()
	answer, err := v.cfg.Peers.Compare(ctx, node, local)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordReadings(answer.Newest)
	return v.state.Differing(answer), nil
}

// exchangeBuckets exchanges the records of as many of the buckets as fit into one
// message each way, and returns the number of these buckets.
func (v *Inventory) exchangeBuckets(ctx context.Context, node string, buckets []uint16) (done int, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.mu.Lock()
	batch := v.state.Batch(buckets)
	v.mu.Unlock()
	batch.Buckets = buckets[:batch.Done]
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
