package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/event"
	"wigeondale/infra"
	"wigeondale/quarantine"
)

const (
	// Prefixes of the keys of cases in the store, which end with the digest of the request or part.
	casePrefix     = "wigeondale/quarantine-cases/"
	partCasePrefix = "wigeondale/quarantine-part-cases/"
	// maxCases is how many cases the store has when no node adds one any more.
	maxCases = 64
	// caseCheck is how long after a write the case is looked at again: by then it is known what else explains the crashes.
	caseCheck = 500 * time.Millisecond
	// maxCaseWrites is how many writes may wait for the store at once.
	maxCaseWrites = 8
)

// cases keeps the evidence against requests and parts that are near a quarantine in the store, so that it is not lost if
// all routers end before the quarantine. A case lifts nothing and quarantines nothing: a router that starts counts on from it
// at the next crash.
type cases struct {
	store holdStore
	guard *quarantine.Guard
	log   *event.Log
	wake  chan struct{}
	rank  func(quarantine.Digest) int // see holds

	mu     sync.Mutex
	stored map[quarantine.Suspect]storedCase
	tasks  map[quarantine.Suspect]*caseTask
	busy   map[quarantine.Suspect]bool // tasks that wait for the store
	unread []caseRecord                // received before the key of the digests
}

// storedCase is what is known of a case in the store.
type storedCase struct {
	until   time.Time // when it ends
	crashes string
}

// caseTask is a case that is to be written, removed or looked at.
type caseTask struct {
	due    time.Time
	write  bool // what this node knows counts; else only the end of the stored case is looked at
	failed int  // tries
}

// caseRecord is the contents of a case in the store. The ages in it count from MadeUnixMS.
type caseRecord struct {
	MadeUnixMS int64             `cbor:"1,keyasint"`
	Case       quarantine.Update `cbor:"2,keyasint"`
}

func (r caseRecord) until() time.Time {
	return time.UnixMilli(r.MadeUnixMS).Add(quarantine.CaseTime)
}

func caseKey(k quarantine.Suspect) string {
	if k.Part {
		return partCasePrefix + k.Digest.String()
	}
	return casePrefix + k.Digest.String()
}

func parseCaseKey(key string) (k quarantine.Suspect, ok bool) {
	name, whole := strings.CutPrefix(key, casePrefix)
	if !whole {
		name, k.Part = strings.CutPrefix(key, partCasePrefix)
	}
	if !whole && !k.Part {
		return k, false
	}
	d, err := quarantine.ParseDigest(name)
	k.Digest = d
	return k, err == nil
}

func newCases(store holdStore, log *event.Log) *cases {
	return &cases{
		store: store, log: log, wake: make(chan struct{}, 1),
		stored: map[quarantine.Suspect]storedCase{}, tasks: map[quarantine.Suspect]*caseTask{}, busy: map[quarantine.Suspect]bool{},
	}
}

// changed schedules the write or the removal of a case. found is false if another node saw what has changed: if that node
// has ended, the first stand-ins write the case.
func (c *cases) changed(k quarantine.Suspect, found bool) {
	var wait time.Duration
	if !found {
		var early bool
		if wait, early = standIn(c.rank(k.Digest)); !early {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.stored[k]; !known && len(c.stored) >= maxCases {
		return
	}
	c.add(k, &caseTask{due: time.Now().Add(wait), write: true})
}

// add schedules a task. The caller holds c.mu.
func (c *cases) add(k quarantine.Suspect, t *caseTask) {
	c.tasks[k] = t
	c.wakeRun()
}

func (c *cases) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// put reports whether an item of the store is a case, and keeps it until the next call of settled.
func (c *cases) put(item infra.Value) bool {
	k, ok := parseCaseKey(item.Key)
	if !ok || c == nil {
		return false
	}
	var r caseRecord
	if err := cbor.Unmarshal(item.Data, &r); err != nil {
		c.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored[k] = storedCase{r.until(), crashesOf(r.Case)}
	if t := c.tasks[k]; t == nil || !t.write {
		c.add(k, &caseTask{due: r.until().Add(rand.N(expirySpread))})
	}
	if len(c.unread) < maxCases {
		c.unread = append(c.unread, r)
	}
	return true
}

// settled passes the cases that were received to the guard, if it has the key of the digests: with another key it would drop
// them, and the holds beside them.
func (c *cases) settled(keyKnown bool) {
	if c == nil || !keyKnown {
		return
	}
	c.mu.Lock()
	unread := c.unread
	c.unread = nil
	c.mu.Unlock()
	for _, r := range unread {
		c.guard.AddCase(r.Case, time.Since(time.UnixMilli(r.MadeUnixMS)))
	}
}

// removed handles the removal of an item from the store.
func (c *cases) removed(key string) {
	k, ok := parseCaseKey(key)
	if !ok || c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.stored, k)
	if t := c.tasks[k]; t != nil && !t.write {
		delete(c.tasks, k)
	}
}

// run writes and removes cases until ctx ends.
func (c *cases) run(ctx context.Context) error {
	for {
		next := time.NewTimer(c.step(ctx))
		select {
		case <-ctx.Done():
			next.Stop()
			return nil
		case <-c.wake:
		case <-next.C:
		}
		next.Stop()
	}
}

// step begins the tasks that are due and returns the time until the next one is.
func (c *cases) step(ctx context.Context) time.Duration {
	for ctx.Err() == nil {
		k, t, wait := c.nextTask()
		if t == nil || wait > 0 {
			return wait
		}
		go c.execute(ctx, k, t)
	}
	return time.Hour
}

// nextTask returns the task that is due first, and the time until it is. A task that is due is busy from now on.
func (c *cases) nextTask() (k quarantine.Suspect, first *caseTask, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for one, t := range c.tasks {
		if !c.busy[one] && (first == nil || t.due.Before(first.due)) {
			k, first = one, t
		}
	}
	if first == nil || len(c.busy) >= maxCaseWrites {
		return k, nil, time.Hour // a new task, or the end of one, ends the wait of run
	}
	if wait = time.Until(first.due); wait <= 0 {
		c.busy[k] = true
	}
	return k, first, wait
}

func (c *cases) execute(ctx context.Context, k quarantine.Suspect, t *caseTask) {
	ctx, stop := context.WithTimeout(ctx, min(promptTimeout<<min(t.failed, maxDoublings), holdTimeout))
	defer stop()
	written, err := c.write(ctx, k, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, k)
	c.wakeRun()
	switch {
	case c.tasks[k] != t:
		// The case has changed during the write.
	case err != nil:
		c.log.Emit(event.HoldNotStored, "key", caseKey(k), "remove", !t.write, "err", err)
		t.due = time.Now().Add(min(promptRetry<<min(t.failed, maxDoublings), holdRetry))
		t.failed++
	case written:
		c.add(k, &caseTask{due: time.Now().Add(caseCheck), write: true})
	default:
		delete(c.tasks, k)
		if one, known := c.stored[k]; known && t.write {
			c.add(k, &caseTask{due: one.until.Add(rand.N(expirySpread))})
		}
	}
}

// write writes the case against a suspect, or removes it from the store if it has ended. written is false if nothing has
// changed since the last write, or the suspect is quarantined: then the case explains crashes until it ends.
func (c *cases) write(ctx context.Context, k quarantine.Suspect, t *caseTask) (written bool, err error) {
	u, ok := c.guard.CaseOf(k)
	now := storedCase{time.Now().Add(quarantine.CaseTime), crashesOf(u)}
	c.mu.Lock()
	before, known := c.stored[k]
	c.mu.Unlock()
	switch {
	case !t.write || !ok && !c.held(k):
		if !known {
			return false, nil
		}
		return false, c.store.Remove(ctx, caseKey(k))
	case !ok || before.crashes == now.crashes:
		return false, nil
	}
	data, err := cbor.Marshal(caseRecord{time.Now().UnixMilli(), u})
	if err != nil {
		return false, Error.Wrap(err)
	}
	if err := c.store.Put(ctx, caseKey(k), data, infra.Lease{}); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored[k] = now
	return true, nil
}

// held reports whether the suspect is quarantined.
func (c *cases) held(k quarantine.Suspect) (held bool) {
	if k.Part {
		_, held = c.guard.PartHoldOf(k.Digest)
		return held
	}
	_, held = c.guard.HoldOf(k.Digest)
	return held
}

// crashesOf returns a text that differs between two cases against one suspect.
func crashesOf(u quarantine.Update) string {
	var out []string
	for _, c := range u.Crashes {
		out = append(out, fmt.Sprint(c.Incarnation, c.Digest, c.Parts))
	}
	return strings.Join(out, " ")
}
