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

// holdPrefix begins the keys of requests that are held back, in the store.
const holdPrefix = "wigeondale/quarantine/"

const (
	// holdTimeout bounds one write, and holdRetry the pause after one that failed.
	holdTimeout = time.Second
	holdRetry   = 2 * time.Second
	// othersWait and othersSpread are when a node writes a hold that another one found and
	// that isn't in the store yet.
	othersWait   = 3 * time.Second
	othersSpread = 5 * time.Second
	// expirySpread spreads the removal of a record whose hold has ended: one node's is enough.
	expirySpread = time.Minute
)

// holdStore is the part of the store that holds use.
type holdStore interface {
	Create(ctx context.Context, key string, data []byte) (bool, error)
	Remove(ctx context.Context, key string) error
}

// holdRecord is the record of one hold. Its key names the request.
type holdRecord struct {
	Account     string `json:"account"`
	UntilUnixMS int64  `json:"until_unix_ms"`
}

// holds keeps the requests that are held back in the store, so that they outlive all routers.
type holds struct {
	store holdStore
	guard *quarantine.Guard
	log   *event.Log
	wake  chan struct{}

	mu     sync.Mutex
	stored map[quarantine.Digest]time.Time // and when the hold of the record ends
	tasks  map[quarantine.Digest]*holdTask
}

// holdTask is a record that is to be written, or removed.
type holdTask struct {
	due    time.Time
	remove bool
	found  bool // by this node
}

func newHolds(store holdStore, log *event.Log) *holds {
	return &holds{
		store: store, log: log, wake: make(chan struct{}, 1),
		stored: map[quarantine.Digest]time.Time{}, tasks: map[quarantine.Digest]*holdTask{},
	}
}

// held takes in that a request is held back, which the store may not know yet.
func (h *holds) held(n quarantine.HoldUpdate, found bool) {
	due := time.Now()
	if !found {
		due = due.Add(othersWait + rand.N(othersSpread))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, known := h.stored[n.Digest]
	switch {
	case !known:
		h.add(n.Digest, &holdTask{due: due, found: found})
	case !time.Now().Before(until):
		// The ended record is in the way of a new one, which its removal brings.
		h.add(n.Digest, &holdTask{due: due, found: found, remove: true})
	}
}

// lifted takes in that a request is sent on again.
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

// put takes in an item of the store, and tells whether it is one of these.
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

// gone takes in that an item of the store was removed. A record whose hold has not ended is
// removed to lift it.
func (h *holds) gone(key string) {
	name, ok := strings.CutPrefix(key, holdPrefix)
	if !ok || h == nil {
		return
	}
	d, err := quarantine.ParseDigest(name)
	if err != nil {
		return // it named no request
	}
	h.mu.Lock()
	until, known := h.stored[d]
	delete(h.stored, d)
	delete(h.tasks, d)
	h.mu.Unlock()
	if !known || time.Now().Before(until) {
		h.guard.RecordRemoved(d)
	} else if again, held := h.guard.HoldOf(d); held {
		h.held(again, false)
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

// step does what is due and returns the time to the next task.
func (h *holds) step(ctx context.Context) time.Duration {
	for {
		d, t, wait := h.first()
		if t == nil || wait > 0 {
			return wait
		}
		h.do(ctx, d, t)
	}
}

// first returns the task that is due first, and how long until then.
func (h *holds) first() (d quarantine.Digest, first *holdTask, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for digest, t := range h.tasks {
		if first == nil || t.due.Before(first.due) {
			d, first = digest, t
		}
	}
	if first == nil {
		return d, nil, time.Hour // a new task wakes
	}
	return d, first, time.Until(first.due)
}

func (h *holds) do(ctx context.Context, d quarantine.Digest, t *holdTask) {
	err := h.write(ctx, d, t)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks[d] != t {
		return // the store or a lift was faster
	}
	if err == nil {
		delete(h.tasks, d)
		return
	}
	t.due = time.Now().Add(holdRetry)
	h.log.Emit(event.HoldNotStored, "digest", d.String(), "remove", t.remove, "err", err)
	if t.found {
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
	n, held := h.guard.HoldOf(d)
	if !held {
		return nil // it was lifted meanwhile
	}
	left := time.Duration(n.RemainingMS) * time.Millisecond
	data, err := json.Marshal(holdRecord{Account: n.Account, UntilUnixMS: time.Now().Add(left).UnixMilli()})
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = h.store.Create(ctx, key, data)
	return err
}
