package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeondale/event"
	"wigeondale/infra"
	"wigeondale/quarantine"
)

const (
	// holdTimeout bounds one write; holdRetry is the pause after a failed write. What this node decided is lost if all
	// nodes end before it is stored, so its first tries are shorter, and those of the first stand-ins: they begin with promptTimeout and promptRetry, which
	// double with each try.
	holdTimeout   = time.Second
	holdRetry     = 2 * time.Second
	promptTimeout = 250 * time.Millisecond
	promptRetry   = 100 * time.Millisecond
	maxDoublings  = 5
	// If another node is to write a record and it isn't in the store yet, this node writes it after
	// peerHoldWait and a random part of peerHoldSpread. By then the other node has usually done so. That node may have
	// ended, and the others may end soon: the first standInRanks nodes wait for standInStep each.
	peerHoldWait   = 3 * time.Second
	peerHoldSpread = 5 * time.Second
	standInRanks   = 3
	standInStep    = 300 * time.Millisecond
	// expirySpread is the time over which the nodes spread their removals of a record that has ended. One
	// removal is enough: a node that sees the record removed cancels its own removal.
	expirySpread = time.Minute
)

// holdStore is the part of the store that holds uses.
type holdStore interface {
	Create(ctx context.Context, key string, data []byte) (bool, error)
	Put(ctx context.Context, key string, data []byte, lease infra.Lease) error
	Remove(ctx context.Context, key string) error
}

// holds keeps records of quarantined requests and prompt parts in the store, and records of lifts, so that both
// exist after all routers have exited. A missing record does not lift a hold, since a store that is restored from an
// older copy may not have it. Only the record of a lift, or a message about a lift, lifts a hold.
type holds struct {
	store holdStore
	guard *quarantine.Guard
	log   *event.Log
	wake  chan struct{}
	// rank returns the place of this node in an order of all nodes that the digest decides; set before run.
	rank func(quarantine.Digest) int

	mu     sync.Mutex
	stored map[recordKey]time.Time // when the stored record ends
	lifts  map[quarantine.Digest]liftRecord
	tasks  map[recordKey]*holdTask
}

// holdTask is the pending write or removal of a record.
type holdTask struct {
	due    time.Time
	remove bool
	local  bool // this node decided what the record states
	hasty  bool // the first tries are short
	// replace makes the write replace a record that the store has.
	replace bool
	failed  int // tries
}

// timeout returns how long the next try may take, and retry the pause after it if it fails.
func (t *holdTask) timeout() time.Duration { return t.prompt(promptTimeout, holdTimeout) }
func (t *holdTask) retry() time.Duration   { return t.prompt(promptRetry, holdRetry) }

func (t *holdTask) prompt(first, usual time.Duration) time.Duration {
	if !t.hasty {
		return usual
	}
	return min(first<<min(t.failed, maxDoublings), usual)
}

func newHolds(store holdStore, log *event.Log) *holds {
	return &holds{
		store: store, log: log, wake: make(chan struct{}, 1),
		stored: map[recordKey]time.Time{}, lifts: map[quarantine.Digest]liftRecord{}, tasks: map[recordKey]*holdTask{},
	}
}

// quarantined schedules the write of the record of a request's hold. local is true if this node itself
// quarantined the request, and false if another node reported the hold.
func (h *holds) quarantined(hold quarantine.HoldUpdate, local bool) {
	h.schedule(recordKey{requestHold, hold.Digest}, local)
}

// partQuarantined schedules the write of the record of a part's hold.
func (h *holds) partQuarantined(hold quarantine.PartHold, local bool) {
	h.schedule(recordKey{partHold, hold.Digest}, local)
}

// partSettled schedules the replacement of the record of a part's hold: no more trials of the part are sent.
func (h *holds) partSettled(hold quarantine.PartHold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(recordKey{partHold, hold.Digest}, &holdTask{due: time.Now(), local: true, hasty: true, replace: true})
}

// schedule schedules the write of a record, unless the store has an unexpired one.
func (h *holds) schedule(k recordKey, local bool) {
	due, hasty := time.Now(), local
	if !local {
		var wait time.Duration
		wait, hasty = standIn(h.rank(k.digest))
		due = due.Add(wait)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, known := h.stored[k]
	switch {
	case !known:
		h.add(k, &holdTask{due: due, local: local, hasty: hasty})
	case !time.Now().Before(until):
		// The expired record prevents the creation of a new record under the same key, so the
		// expired record is removed first. Its removal triggers the creation.
		h.add(k, &holdTask{due: due, local: local, hasty: hasty, remove: true})
	}
}

// standIn returns how long a node waits for another one to write a record, and whether it is one of the first to write.
func standIn(rank int) (wait time.Duration, early bool) {
	if rank < standInRanks {
		return time.Duration(rank+1) * standInStep, true
	}
	return peerHoldWait + rand.N(peerHoldSpread), false
}

// lifted writes the record of a lift that this node decided, and removes the record of the request's hold.
func (h *holds) lifted(d quarantine.Digest) { h.recordLift(recordKey{requestHold, d}) }

// partLifted is lifted for a part.
func (h *holds) partLifted(d quarantine.Digest) { h.recordLift(recordKey{partHold, d}) }

func (h *holds) recordLift(hold recordKey) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lifts[hold.digest] = newLift("", now)
	h.add(recordKey{lift, hold.digest}, &holdTask{due: now, local: true, hasty: true, replace: true}) // of an earlier lift
	delete(h.tasks, hold)
	if _, known := h.stored[hold]; known {
		h.add(hold, &holdTask{due: now, remove: true})
	}
}

func (h *holds) add(k recordKey, t *holdTask) {
	h.tasks[k] = t
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// put reports whether an item of the store is the record of a hold or of a lift. If it is, put applies it, and schedules
// its removal for some time after its end. An unreadable record is only logged.
func (h *holds) put(item infra.Value) bool {
	k, ok := parseRecordKey(item.Key)
	if !ok || h == nil {
		return false
	}
	r, err := decodeRecord(k, item.Data)
	if err != nil {
		h.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return true
	}
	h.mu.Lock()
	h.stored[k] = r.until()
	h.add(k, &holdTask{due: time.Now().Add(max(time.Until(r.until()), 0) + rand.N(expirySpread)), remove: true})
	if l, ok := r.(liftRecord); ok && h.lifts[k.digest].LiftedUnixMS < l.LiftedUnixMS {
		h.lifts[k.digest] = l
	}
	h.mu.Unlock()
	r.apply(h.guard, k.digest)
	h.removeIfLifted(k, r)
	return true
}

// removeIfLifted schedules the removal of the record of a hold that was lifted after it began. The store may have
// restored such a record from an older copy.
func (h *holds) removeIfLifted(k recordKey, r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, known := h.lifts[k.digest]
	if k.kind == lift || !known || l.LiftedUnixMS < r.until().Add(-quarantine.HoldTime).UnixMilli() {
		return
	}
	h.add(k, &holdTask{due: time.Now().Add(rand.N(peerHoldSpread)), remove: true})
}

// removed handles the removal of an item from the store. A record that is still valid is written again.
func (h *holds) removed(key string) {
	k, ok := parseRecordKey(key)
	if !ok || h == nil {
		return
	}
	h.mu.Lock()
	delete(h.stored, k)
	delete(h.tasks, k)
	h.mu.Unlock()
	if _, valid := h.current(k); valid {
		h.schedule(k, false)
	}
}

// current returns the contents of a record as this node knows it, and false if it isn't valid any more.
func (h *holds) current(k recordKey) (r record, valid bool) {
	switch k.kind {
	case requestHold:
		hold, ok := h.guard.HoldOf(k.digest)
		return newHoldRecord(hold), ok
	case partHold:
		hold, ok := h.guard.PartHoldOf(k.digest)
		return newPartRecord(hold), ok
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.lifts[k.digest]
	if ok && !time.Now().Before(l.until()) {
		delete(h.lifts, k.digest)
		return nil, false
	}
	return l, ok
}

// run writes and removes records until ctx ends.
func (h *holds) run(ctx context.Context) error {
	for {
		next := time.NewTimer(h.step(ctx))
		select {
		case <-ctx.Done():
			next.Stop()
			return nil
		case <-h.wake:
		case <-next.C:
		}
		next.Stop()
	}
}

// step executes the tasks that are due and returns the time until the next task is due.
func (h *holds) step(ctx context.Context) time.Duration {
	for {
		k, t, wait := h.nextTask()
		if t == nil || wait > 0 {
			return wait
		}
		h.execute(ctx, k, t)
	}
}

// nextTask returns the task that is due first, and the time until the task is due. If there is
// no task, first is nil.
func (h *holds) nextTask() (k recordKey, first *holdTask, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, t := range h.tasks {
		if first == nil || t.due.Before(first.due) {
			k, first = key, t
		}
	}
	if first == nil {
		return k, nil, time.Hour // a new task ends the wait of run
	}
	return k, first, time.Until(first.due)
}

func (h *holds) execute(ctx context.Context, k recordKey, t *holdTask) {
	err := h.write(ctx, k, t)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks[k] != t {
		return // during the write, an item of the store or a lift has replaced the task
	}
	if err == nil {
		delete(h.tasks, k)
		return
	}
	t.due = time.Now().Add(t.retry())
	t.failed++
	h.log.Emit(event.HoldNotStored, "key", k.String(), "remove", t.remove, "err", err)
	if !t.local {
		return
	}
	switch k.kind {
	case requestHold:
		h.guard.RebroadcastHold(k.digest)
	case partHold:
		h.guard.RebroadcastPartHold(k.digest)
	}
}

func (h *holds) write(ctx context.Context, k recordKey, t *holdTask) error {
	ctx, stop := context.WithTimeout(ctx, t.timeout())
	defer stop()
	if t.remove {
		return h.store.Remove(ctx, k.String())
	}
	r, valid := h.current(k)
	if !valid {
		return nil // it was lifted, or has ended, before this write
	}
	data, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if t.replace {
		return h.store.Put(ctx, k.String(), data, infra.Lease{})
	}
	_, err = h.store.Create(ctx, k.String(), data)
	return err
}
