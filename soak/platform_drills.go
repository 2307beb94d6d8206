package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// copyInterval is how often the store's contents are copied, and maxCopies how many copies
	// are kept; the store goes back to one of these.
	copyInterval = 700 * time.Millisecond
	maxCopies    = 4
	// maxRewriteDelay bounds the time after which the operator and the replicas write again what
	// the store has lost. A router may use what it knew for longer than that.
	maxRewriteDelay = 1200 * time.Millisecond
)

// drillFaults returns faults of a store that comes back from a copy of its data.
func (r *platformRun) drillFaults() []fault {
	if !r.cfg.Drills {
		return nil
	}
	goBack := func() func() { r.storeGoesBack(); return nil }
	return []fault{
		{"store goes back", goBack},
		{"store is down and goes back", func() func() {
			r.store.SetFailing(true)
			return func() {
				r.storeGoesBack()
				r.store.SetFailing(false)
			}
		}},
		{"store goes back twice", func() func() { r.storeGoesBack(); return r.storeGoesBack }},
	}
}

// keepCopies copies the contents of the store at intervals until ctx ends.
func (r *platformRun) keepCopies(ctx context.Context) {
	tick := time.NewTicker(copyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c := r.store.Copy()
		r.mu.Lock()
		r.copies = append(r.copies, c)
		if len(r.copies) > maxCopies {
			r.copies = r.copies[1:]
		}
		r.mu.Unlock()
	}
}

// storeGoesBack makes the store go back to a copy. The operator and the replicas write again later
// what the store has lost.
func (r *platformRun) storeGoesBack() {
	r.mu.Lock()
	copies := r.copies
	r.mu.Unlock()
	if len(copies) == 0 {
		return
	}
	before := r.store.Copy()
	r.store.GoBack(copies[r.rng.IntN(len(copies))])
	delay := time.Duration(r.rng.Int64N(int64(maxRewriteDelay)))
	r.watchers.Go(func() {
		time.Sleep(delay)
		r.store.Rewrite(before)
	})
}

const (
	// lostWrites are made before the store goes back for the last time, so that the revisions of what
	// is written next are below those known. Routers read them within readTime.
	lostWrites = 30
	readTime   = 1500 * time.Millisecond
)

// checkDrills takes a key away just after the store has gone back once more, and checks that all
// routers come to accept the keys of the operator and no others, although nothing else is written.
func (r *platformRun) checkDrills() {
	if !r.cfg.Drills {
		return
	}
	earlier := r.store.Copy()
	for i := range lostWrites {
		r.store.Put(fmt.Sprint("op/lost-", i), []byte("lost"))
	}
	time.Sleep(readTime)
	r.store.GoBack(earlier)
	r.revokeKey()
	r.mu.Lock()
	first := r.keys[0]
	r.mu.Unlock()
	var number int
	if _, err := fmt.Sscanf(first, "key-%d", &number); err != nil || number == 0 {
		return // no key has been taken away
	}
	revoked := fmt.Sprint("key-", number-1)
	for _, n := range r.nodes {
		if !r.awaitKey(n, revoked, false) || !r.awaitKey(n, first, true) {
			r.checks.violated("a change of the configuration is in force at last", "", fmt.Sprintf("%s is taken away, %s is not, at %s", revoked, first, n.id))
		}
	}
}

// awaitKey waits until a router accepts a key, or doesn't, and reports false if that takes longer than
// settleTime.
func (r *platformRun) awaitKey(n *node, key string, accepted bool) bool {
	t := newTransport()
	defer t.CloseIdleConnections()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		req, err := fakes.ClientRequest{Addr: n.front, Path: "/look/x", ID: "final-" + key, Key: key, Budget: budget, Prompt: "aa:40"}.HTTPRequest()
		if err != nil {
			return false
		}
		resp, err := t.RoundTrip(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if (resp.StatusCode != http.StatusUnauthorized) == accepted {
			return true
		}
	}
	return false
}
