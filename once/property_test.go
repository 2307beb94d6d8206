package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/kvlog/kvtest"
)

const (
	routerCount = 3
	keyCount    = 2
	// callTime is the callers' deadline, in fake time.
	callTime = 5 * time.Second
)

var errLinkCut = errors.New("link cut")

// fleetOf is a few routers over one bench, with links that the schedule cuts
// and with routers that may disagree on who the owner is.
type fleetOf struct {
	mu       sync.Mutex // of all below but bench and attempts
	bench    *kvtest.Controller
	routers  []*Claims
	cancels  []context.CancelFunc
	owner    []int // per router, whom it takes for the owner
	cut      []bool
	lose     []bool // answers over the link are lost
	attempts int
	granted  map[string][]string // key -> dispatched attempts
	gaveUp   map[string]bool     // attempts whose caller was told "not run"
	madeBy   map[string]*Claims
	problems []string
}

// links is one router's Forwarder.
type links struct {
	f    *fleetOf
	self int
}

func (l links) Owner(int) (string, bool) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	o := l.f.owner[l.self]
	return fmt.Sprint(o), o == l.self
}

func (l links) Forward(ctx context.Context, node string, b Batch) (BatchResult, error) {
	to := int(node[0] - '0')
	receiver, lost := l.receiver(to)
	if receiver == nil {
		return BatchResult{}, errLinkCut
	}
	out, err := receiver.HandleBatch(ctx, b)
	if lost {
		return BatchResult{}, errLinkCut
	}
	return out, err
}

func (l links) receiver(to int) (c *Claims, lost bool) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.cut[l.self] {
		return nil, false
	}
	return l.f.routers[to], l.f.lose[l.self]
}

func newFleet() *fleetOf {
	f := &fleetOf{
		bench: kvtest.NewController(), granted: map[string][]string{}, gaveUp: map[string]bool{}, madeBy: map[string]*Claims{},
		owner: make([]int, routerCount), cut: make([]bool, routerCount), lose: make([]bool, routerCount),
	}
	f.routers = make([]*Claims, routerCount)
	f.cancels = make([]context.CancelFunc, routerCount)
	for i := range routerCount {
		f.startRouter(i, "a")
	}
	return f
}

func (f *fleetOf) startRouter(i int, incarnation string) {
	c := New(Config{
		Node: fmt.Sprint(i), Incarnation: incarnation, KV: f.bench.Client(), Prefix: "c/", Shards: 1,
		SettleTries: 2, SettleDelay: time.Millisecond, CompactEvery: 4, Cooldown: 20 * time.Millisecond, RetryAfter: 50 * time.Millisecond,
	}, links{f, i})
	ctx, cancel := context.WithCancel(context.Background())
	f.set(func() { f.routers[i], f.cancels[i] = c, cancel })
	go func() { _ = c.Run(ctx) }()
}

// request is one caller's try at a router: claim, check the deadline, dispatch.
func (f *fleetOf) request(router int, key string, body byte, abandon bool) {
	f.attempts++
	attempt := fmt.Sprint("attempt", f.attempts)
	c := f.routers[router]
	f.set(func() { f.madeBy[attempt] = c })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		v, err := c.Claim(ctx, "acme", key, [16]byte{body}, attempt)
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case err != nil:
			f.gaveUp[attempt] = true
		case !v.Granted:
			if v.Attempt == attempt {
				f.problems = append(f.problems, attempt+" refused for itself")
			}
		case CheckDeadline(ctx) != nil || abandon:
			f.gaveUp[attempt] = true
			_ = c.VoidAsync("acme", key, attempt)
		default:
			f.dispatch(key, attempt)
		}
	}()
}

func (f *fleetOf) dispatch(key, attempt string) {
	if f.gaveUp[attempt] {
		f.problems = append(f.problems, attempt+" dispatched after not-run")
	}
	f.granted[key] = append(f.granted[key], attempt)
	if len(f.granted[key]) > 1 {
		f.problems = append(f.problems, fmt.Sprintf("key %s ran as %v", key, f.granted[key]))
	}
}

func (f *fleetOf) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

type move struct{ Kind, A, B int }

func (f *fleetOf) step(m move) {
	r := m.A % routerCount
	switch m.Kind {
	case 0, 1, 2:
		f.request(r, fmt.Sprint("key", m.B%keyCount), 0, m.B == 5)
	case 3:
		f.set(func() { f.owner[r] = m.B % routerCount })
	case 4:
		f.set(func() { f.cut[r] = !f.cut[r] })
	case 5:
		f.set(func() { f.lose[r] = !f.lose[r] })
	case 6:
		f.bench.ApplyDelayed(m.A)
	case 7:
		time.Sleep(time.Duration(m.B*m.B) * 100 * time.Millisecond)
	case 8:
		f.cancels[r]() // the router dies; its successor knows nothing of it
		f.startRouter(r, fmt.Sprint("b", f.attempts, m.B, f.bench.Blocked(), time.Now().UnixNano()))
	case 9, 10:
		f.bench.Release(m.A, kvtest.Fault(m.B%int(kvtest.FaultCount)))
	default:
		f.bench.Release(m.A, kvtest.OK)
	}
	time.Sleep(3 * time.Millisecond)
	synctest.Wait()
}

// finish ends all calls, then proves that each key that did not run is free
// once the voids of living routers are done, and reads the same everywhere.
func (f *fleetOf) finish() {
	for f.bench.DelayedWrites() > 0 {
		f.bench.ApplyDelayed(0)
	}
	for range 4000 {
		if f.bench.Blocked() > 0 {
			f.bench.Release(0, kvtest.OK)
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		synctest.Wait()
	}
	var first []string
	for i, c := range f.routers {
		first = append(first, f.ask(i, c))
	}
	for _, held := range first {
		if held != first[0] {
			f.problems = append(f.problems, fmt.Sprintf("routers disagree: %v", first))
		}
	}
	for _, cancel := range f.cancels {
		cancel()
	}
	synctest.Wait()
}

// ask reads who holds each key in a view built anew by router i.
func (f *fleetOf) ask(i int, c *Claims) string {
	fresh := &shard{cfg: &Config{Node: "x", KV: f.bench.Store, Prefix: "c/"}}
	if shards := c.known(); i == 0 && len(shards) > 0 {
		fresh = shards[0]
	}
	var v *view
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		if v, err = fresh.open(context.Background()); err == nil {
			_, err = v.log.Head(context.Background())
		}
	}()
	for synctest.Wait(); f.bench.Blocked() > 0; synctest.Wait() {
		f.bench.Release(0, kvtest.OK)
	}
	<-done
	if err != nil {
		f.problems = append(f.problems, err.Error())
		return ""
	}
	text := ""
	for k := range keyCount {
		r, _ := v.table.result(NewKeyID("acme", fmt.Sprint("key", k)))
		if made := f.madeBy[r.Attempt]; r.State == Claimed && f.gaveUp[r.Attempt] && slices.Contains(f.routers, made) {
			f.problems = append(f.problems, fmt.Sprintf("key %d stays held by %s, which never ran", k, r.Attempt))
		}
		text += fmt.Sprint(r.Attempt, r.State, " ")
	}
	return text
}

// Symptom: a request marked non-idempotent runs twice, or runs although its
// caller was told that it did not.
// Sequence: the caller asks again at other routers; two routers take themselves
// for the owner; answers are lost on the way from the key-value service and
// between routers; writes land late; routers pause past the deadline or die.
// Cause: a claim is granted by something else than the first claim in the log,
// an attempt goes on after its claim failed, or a void frees a key in use.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gen := rapid.Custom(func(rt *rapid.T) move {
			return move{rapid.IntRange(0, 17).Draw(rt, "kind"), rapid.IntRange(0, 8).Draw(rt, "a"), rapid.IntRange(0, 9).Draw(rt, "b")}
		})
		moves := rapid.SliceOfN(gen, 10, 120).Draw(rt, "moves")
		var problems []string
		synctest.Test(t, func(*testing.T) {
			f := newFleet()
			for _, m := range moves {
				f.step(m)
			}
			f.finish()
			problems = f.problems
		})
		if len(problems) > 0 {
			rt.Fatalf("%s", strings.Join(problems, "\n"))
		}
	})
}
