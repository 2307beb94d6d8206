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

	"wigeondale/fakes/bubble"
	"wigeondale/kvlog/kvtest"
)

const (
	routerCount = 3
	keyCount    = 2
	// callTime is the timeout of the callers, in fake time.
	callTime = 5 * time.Second
)

var errLinkCut = errors.New("link cut")

// testFleet is a set of routers that share one store. Calls of the store wait until the
// test releases them. The actions of a test case disconnect the routers from each other
// and make the routers disagree on the owner of the shard.
type testFleet struct {
	mu             sync.Mutex // guards the fields below, except kv and attempts
	kv             *kvtest.Controller
	routers        []*Claims
	cancels        []context.CancelFunc
	owners         []int  // by router: the router that it considers the owner
	linkCut        []bool // by router: its forwarded batches do not reach the owner
	answersLost    []bool // by router: the answers to its forwarded batches are lost
	attempts       int
	granted        map[string][]string // dispatched attempts by key
	reportedNotRun map[string]bool     // attempts whose caller received "not run"
	routerOf       map[string]*Claims  // router by attempt
	problems       []string
}

// testForwarder is one router's Forwarder.
type testForwarder struct {
	f    *testFleet
	self int
}

func (l testForwarder) Owner(int) (string, bool) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	o := l.f.owners[l.self]
	return fmt.Sprint(o), o == l.self
}

func (l testForwarder) Forward(ctx context.Context, node string, b Batch) (BatchResult, error) {
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

func (l testForwarder) receiver(to int) (c *Claims, lost bool) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.linkCut[l.self] {
		return nil, false
	}
	return l.f.routers[to], l.f.answersLost[l.self]
}

func newFleet() *testFleet {
	f := &testFleet{
		kv: kvtest.NewController(), granted: map[string][]string{}, reportedNotRun: map[string]bool{}, routerOf: map[string]*Claims{},
		owners: make([]int, routerCount), linkCut: make([]bool, routerCount), answersLost: make([]bool, routerCount),
	}
	f.routers = make([]*Claims, routerCount)
	f.cancels = make([]context.CancelFunc, routerCount)
	for i := range routerCount {
		f.startRouter(i, "a")
	}
	return f
}

func (f *testFleet) startRouter(i int, incarnation string) {
	c := New(Config{
		Node: fmt.Sprint(i), Incarnation: incarnation, KV: f.kv.Client(), Prefix: "c/", Shards: 1,
		SettleTries: 2, SettleDelay: time.Millisecond, CompactEvery: 4, Cooldown: 20 * time.Millisecond, RetryAfter: 50 * time.Millisecond,
	}, testForwarder{f, i})
	ctx, cancel := context.WithCancel(context.Background())
	f.update(func() { f.routers[i], f.cancels[i] = c, cancel })
	go func() { _ = c.Run(ctx) }()
}

// request sends one caller's attempt to a router, which claims the key, checks the
// deadline, and dispatches the attempt.
func (f *testFleet) request(router int, key string, body byte, abandon bool) {
	f.attempts++
	attempt := fmt.Sprint("attempt", f.attempts)
	c := f.routers[router]
	f.update(func() { f.routerOf[attempt] = c })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		v, err := c.Claim(ctx, "acme", key, [16]byte{body}, attempt)
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case err != nil:
			f.reportedNotRun[attempt] = true
		case !v.Granted:
			if v.Attempt == attempt {
				f.problems = append(f.problems, attempt+" refused for itself")
			}
		case CheckDeadline(ctx) != nil || abandon:
			f.reportedNotRun[attempt] = true
			_ = c.VoidAsync("acme", key, attempt)
		default:
			f.dispatch(key, attempt)
		}
	}()
}

func (f *testFleet) dispatch(key, attempt string) {
	if f.reportedNotRun[attempt] {
		f.problems = append(f.problems, attempt+" dispatched after not-run")
	}
	f.granted[key] = append(f.granted[key], attempt)
	if len(f.granted[key]) > 1 {
		f.problems = append(f.problems, fmt.Sprintf("key %s ran as %v", key, f.granted[key]))
	}
}

func (f *testFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

type action struct{ Kind, A, B int }

func (f *testFleet) step(m action) {
	r := m.A % routerCount
	switch m.Kind {
	case 0, 1, 2:
		f.request(r, fmt.Sprint("key", m.B%keyCount), 0, m.B == 5)
	case 3:
		f.update(func() { f.owners[r] = m.B % routerCount })
	case 4:
		f.update(func() { f.linkCut[r] = !f.linkCut[r] })
	case 5:
		f.update(func() { f.answersLost[r] = !f.answersLost[r] })
	case 6:
		f.kv.ApplyDelayed(m.A)
	case 7:
		time.Sleep(time.Duration(m.B*m.B) * 100 * time.Millisecond)
	case 8:
		f.cancels[r]() // the router crashes; the restarted one has none of its state
		f.startRouter(r, fmt.Sprint("b", f.attempts, m.B, f.kv.Blocked(), time.Now().UnixNano()))
	case 9, 10:
		f.kv.Release(m.A, kvtest.Fault(m.B%int(kvtest.FaultCount)))
	default:
		f.kv.Release(m.A, kvtest.OK)
	}
	time.Sleep(3 * time.Millisecond)
	synctest.Wait()
}

// finish completes all calls and waits for the voids of the running routers. Then
// it checks that no key is held by an attempt of a running router that never ran,
// and that all routers read the same state.
func (f *testFleet) finish() {
	for f.kv.DelayedWrites() > 0 {
		f.kv.ApplyDelayed(0)
	}
	for range 4000 {
		if f.kv.Blocked() > 0 {
			f.kv.Release(0, kvtest.OK)
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		synctest.Wait()
	}
	var states []string
	for i, c := range f.routers {
		states = append(states, f.readState(i, c))
	}
	for _, state := range states {
		if state != states[0] {
			f.problems = append(f.problems, fmt.Sprintf("routers disagree: %v", states))
		}
	}
	for _, cancel := range f.cancels {
		cancel()
	}
	synctest.Wait()
}

// readState returns the attempt and state of each key. For router 0 it reads them in
// the view that the router has; for the other routers it builds a new view, so that the
// check also compares a kept view with rebuilt ones.
func (f *testFleet) readState(i int, c *Claims) string {
	s := &shard{cfg: &Config{Node: "x", KV: f.kv.Store, Prefix: "c/"}}
	if shards := c.loadedShards(); i == 0 && len(shards) > 0 {
		s = shards[0]
	}
	var v *view
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		if v, err = s.openView(context.Background()); err == nil {
			_, err = v.log.Head(context.Background())
		}
	}()
	for synctest.Wait(); f.kv.Blocked() > 0; synctest.Wait() {
		f.kv.Release(0, kvtest.OK)
	}
	<-done
	if err != nil {
		f.problems = append(f.problems, err.Error())
		return ""
	}
	text := ""
	for k := range keyCount {
		r, _ := v.table.result(NewKeyID("acme", fmt.Sprint("key", k)))
		if router := f.routerOf[r.Attempt]; r.State == Claimed && f.reportedNotRun[r.Attempt] && slices.Contains(f.routers, router) {
			f.problems = append(f.problems, fmt.Sprintf("key %d stays held by %s, which never ran", k, r.Attempt))
		}
		text += fmt.Sprint(r.Attempt, r.State, " ")
	}
	return text
}

// TestAtMostOneGrant guards against a request marked non-idempotent that runs twice, or
// that runs although its caller received "not run". The failure occurs if anything but
// the first claim in the log grants a key, if an attempt continues after its claim
// failed, or if a void frees a key in use. The test retries requests at other routers
// while two routers act as the owner, answers from the key-value service and between
// routers are lost, writes take effect late, and routers pause past the deadline or
// crash.
func TestAtMostOneGrant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gen := rapid.Custom(func(rt *rapid.T) action {
			return action{rapid.IntRange(0, 17).Draw(rt, "kind"), rapid.IntRange(0, 8).Draw(rt, "a"), rapid.IntRange(0, 9).Draw(rt, "b")}
		})
		moves := rapid.SliceOfN(gen, 10, 120).Draw(rt, "moves")
		var problems []string
		bubble.Test(t, func(*testing.T) {
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
