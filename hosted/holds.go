package hosted

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"wigeondale/event"
	"wigeondale/infra"
	"wigeondale/quarantine"
)

// holdPrefix starts the keys of the records of quarantined requests in the store.
const holdPrefix = "wigeondale/quarantine/"

const (
	// holdTimeout bounds one write; holdRetry is the pause after a failed write.
	holdTimeout = time.Second
	holdRetry   = 2 * time.Second
	// If another node has quarantined a request and the record of the hold isn't in the store
	// yet, this node writes the record after peerHoldWait and a random part of peerHoldSpread.
	// By then the other node has usually written the record.
	peerHoldWait   = 3 * time.Second
	peerHoldSpread = 5 * time.Second
	// expirySpread is the time over which the nodes spread their removals of a record after
	// its hold has ended. One removal is enough: a node that sees the record removed cancels
	// its own removal.
	expirySpread = time.Minute
)

// holdStore is the part of the store that holds uses.
type holdStore interface {
	Create(ctx context.Context, key string, data []byte) (bool, error)
	Remove(ctx context.Context, key string) error
}

// holdRecord is the record of one hold. The key of the record names the request.
type holdRecord struct {
	Account     string `json:"account"`
	UntilUnixMS int64  `json:"until_unix_ms"`
}

// holds keeps records of the quarantined requests in the store, so that the holds outlive all
// routers.
type holds struct {
	store holdStore
	guard *quarantine.Guard
	log   *event.Log
	wake  chan struct{}

	mu     sync.Mutex
	stored map[quarantine.Digest]time.Time // when the hold of the stored record ends
	tasks  map[quarantine.Digest]*holdTask
}

// holdTask is the pending write or removal of a record.
type holdTask struct {
	due    time.Time
	remove bool
	local  bool // this node saw the last of the crashes that led to the hold
}

func newHolds(store holdStore, log *event.Log) *holds {
	return &holds{
		store: store, log: log, wake: make(chan struct{}, 1),
		stored: map[quarantine.Digest]time.Time{}, tasks: map[quarantine.Digest]*holdTask{},
	}
}

// quarantined schedules the write of the record of a hold, unless the store has an unexpired
// record of the same request. local is true if this node itself quarantined the request, and
// false if another node reported the hold.
func (h *holds) quarantined(hold quarantine.HoldUpdate, local bool) {
	due := time.Now()
	if !local {
		due = due.Add(peerHoldWait + rand.N(peerHoldSpread))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, known := h.stored[hold.Digest]
	switch {
	case !known:
		h.add(hold.Digest, &holdTask{due: due, local: local})
	case !time.Now().Before(until):
		// The expired record prevents the creation of a new record under the same key, so the
		// expired record is removed first. Its removal triggers the creation.
		h.add(hold.Digest, &holdTask{due: due, local: local, remove: true})
	}
}

// lifted handles the update that a hold was lifted. It cancels a pending write of the hold's
// record. If the store has the record, lifted schedules its removal.
func (h *holds) lifted(d quarantine.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.tasks, d)
	if _, known := h.stored[d]; known {
		h.add(d, &holdTask{due: time.Now(), remove: true})
	}
}

func (h *holds) add(d quarantine.Digest, t *holdTask) {
	h.tasks[d] = t
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// put reports whether an item of the store is the record of a hold. If it is, put quarantines
// the request, and schedules the removal of the record for some time after the hold ends. An
// unreadable record is only logged.
func (h *holds) put(item infra.Value) bool {
	name, ok := strings.CutPrefix(item.Key, holdPrefix)
	if !ok || h == nil {
		return false
	}
	var r holdRecord
	d, err := quarantine.ParseDigest(name)
	if err == nil {
		err = json.Unmarshal(item.Data, &r)
	}
	if err != nil {
		h.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return true
	}
	until := time.UnixMilli(r.UntilUnixMS)
	left := time.Until(until)
	h.mu.Lock()
	h.stored[d] = until
	h.add(d, &holdTask{due: time.Now().Add(max(left, 0) + rand.N(expirySpread)), remove: true})
	h.mu.Unlock()
	h.guard.Hold(quarantine.HoldUpdate{Digest: d, Account: r.Account, RemainingMS: left.Milliseconds()}, "store")
	return true
}

// removed handles the removal of an item from the store. The removal of a record whose hold has not
// ended lifts the hold.
func (h *holds) removed(key string) {
	name, ok := strings.CutPrefix(key, holdPrefix)
	if !ok || h == nil {
		return
	}
	d, err := quarantine.ParseDigest(name)
	if err != nil {
		return // the item named no request
	}
	h.mu.Lock()
	until, known := h.stored[d]
	delete(h.stored, d)
	delete(h.tasks, d)
	h.mu.Unlock()
	if !known || time.Now().Before(until) {
		h.guard.RecordRemoved(d)
	} else if hold, ok := h.guard.HoldOf(d); ok {
		h.quarantined(hold, false)
	}
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
		d, t, wait := h.nextTask()
		if t == nil || wait > 0 {
			return wait
		}
		h.execute(ctx, d, t)
	}
}

// nextTask returns the task that is due first, and the time until the task is due. If there is
// no task, first is nil.
func (h *holds) nextTask() (d quarantine.Digest, first *holdTask, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for digest, t := range h.tasks {
		if first == nil || t.due.Before(first.due) {
			d, first = digest, t
		}
	}
	if first == nil {
		return d, nil, time.Hour // a new task wakes run earlier
	}
	return d, first, time.Until(first.due)
}

func (h *holds) execute(ctx context.Context, d quarantine.Digest, t *holdTask) {
	err := h.write(ctx, d, t)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks[d] != t {
		return // during the write, an item of the store or a lift has replaced the task
	}
	if err == nil {
		delete(h.tasks, d)
		return
	}
	t.due = time.Now().Add(holdRetry)
	h.log.Emit(event.HoldNotStored, "digest", d.String(), "remove", t.remove, "err", err)
	if t.local {
		h.guard.RebroadcastHold(d)
	}
}

func (h *holds) write(ctx context.Context, d quarantine.Digest, t *holdTask) error {
	ctx, stop := context.WithTimeout(ctx, holdTimeout)
	defer stop()
	key := holdPrefix + d.String()
	if t.remove {
		return h.store.Remove(ctx, key)
	}
	hold, ok := h.guard.HoldOf(d)
	if !ok {
		return nil // the hold was lifted before this write
	}
	left := time.Duration(hold.RemainingMS) * time.Millisecond
	data, err := json.Marshal(holdRecord{Account: hold.Account, UntilUnixMS: time.Now().Add(left).UnixMilli()})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = h.store.Create(ctx, key, data)
	return err
}
