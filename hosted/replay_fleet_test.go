package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/replay"
	"wigeondale/settings"
)

// The routers of these tests are the program's own: they choose, count what is under way
// and tell each other as it does. Only engines and the time that a word takes to another
// router are modelled.
const (
	replayRouters = 6
	replayPrompt  = 5000
	replayAnswer  = 300
	replayTarget  = 4500 * time.Millisecond
	replayTime    = 25 * time.Second // of a client
	wordDelay     = time.Millisecond // to another router
)

var replayEngine = replay.Config{
	ReadPerSecond: 5000, Chunk: 125, Step: 6 * time.Millisecond, StepPerRun: 45 * time.Microsecond, Memory: 55000,
}

// replaySize is how many take part.
type replaySize struct {
	routers, engines, domains int
	// hear is how many of the others hear what a router tells; 0 for all.
	hear int
	// seeds are played one after the other.
	seeds int
	// work is what requests and engines are; the zero value stands for usualWork.
	work replayWork
	// change sets what a test compares.
	change func(*picker)
}

// replayWork is the size of the requests and the speed of the engines.
type replayWork struct {
	prompt, answer int
	engine         replay.Config
}

var usualWork = replayWork{replayPrompt, replayAnswer, replayEngine}

func (s replaySize) workOf() replayWork {
	if s.work == (replayWork{}) {
		return usualWork
	}
	return s.work
}

// fewRouters all hear each other. Routers that choose at the same moment choose at
// random, and bounds on the sum of fewer seeds were passed and failed by turns.
var fewRouters = replaySize{routers: replayRouters, engines: 12, domains: 4, seeds: 12}

// replayed is a fleet under load.
type replayed struct {
	size    replaySize
	engines map[string]*replay.Engine
	list    []fleet.Backend
	routers []*replayRouter

	mu      sync.Mutex
	served  []time.Duration // until the first piece
	began   []time.Duration // of those, from the start
	refused []time.Duration // until the refusal
	lost    int
}

type replayRouter struct {
	id    string
	index int
	pick  *picker
	peers *peers
}

func newReplay(t *testing.T, ctx context.Context, size replaySize) *replayed {
	f := &replayed{size: size, engines: map[string]*replay.Engine{}, list: engineList(size.engines, size.domains)}
	for _, b := range f.list {
		f.engines[b.ID] = replay.NewEngine(size.workOf().engine)
		go f.engines[b.ID].Serve(ctx)
	}
	for i := range size.routers {
		f.routers = append(f.routers, f.router(t, fmt.Sprint("r", i)))
	}
	for _, r := range f.routers {
		go r.peers.tellAlways(ctx, func(m loadsMessage) { f.tell(r, m) }, func(time.Time) {})
	}
	return f
}

func (f *replayed) router(t *testing.T, id string) *replayRouter {
	pick := pickerOf(t, f.list, f.size.workOf().engine.Memory)
	if f.size.change != nil {
		f.size.change(pick)
	}
	set := &settings.Settings{Hosted: &settings.Hosted{}}
	r := &replayRouter{id: id, index: len(f.routers), pick: pick, peers: newPeers(set, nil, pick.dir, pick.mon, newNews(id, "d0", nil), nil)}
	pick.tellSoon = r.peers.tellSoon
	pick.survey.states = f
	r.peers.full = func() bool { return f.size.hear == 0 }
	return r
}

// tell passes a router's word on to those who hear it.
func (f *replayed) tell(from *replayRouter, m loadsMessage) {
	time.AfterFunc(wordDelay, func() {
		for _, other := range f.routers {
			if other != from && f.hears(from, other) {
				other.peers.takeLoads(from.id, m)
			}
		}
	})
}

// State implements stateAsker.
func (f *replayed) State(_ context.Context, b fleet.Backend) (fleet.EngineState, error) {
	time.Sleep(2 * wordDelay)
	return f.engines[b.ID].Report(), nil
}

// hears tells whether two routers are linked: each to those that follow it and those that
// it follows.
func (f *replayed) hears(from, to *replayRouter) bool {
	n := len(f.routers)
	after := (to.index - from.index + n) % n
	return f.size.hear == 0 || min(after, n-after) <= f.size.hear/2
}

// request carries one request to its end at a router.
func (f *replayed) request(ctx context.Context, r *replayRouter, id string, since time.Time) {
	began := time.Now()
	work := f.size.workOf()
	ask := generation.PickRequest{RequestID: id, Service: "llm", PromptTokens: work.prompt, MaxAnswerTokens: work.answer, FirstChunkTarget: replayTarget}
	first := time.Duration(0)
	for ctx.Err() == nil {
		ask.TimeLeft = max(replayTime-time.Since(began), 1)
		b, share, err := r.pick.Pick(ctx, ask)
		if err != nil {
			u, ok := errors.AsType[*generation.Unavailable](err)
			if !ok || !u.Retryable || (!ask.Resume && time.Since(began)+u.RetryAfter > r.pick.refusal.MaxWait(replayTarget)) {
				f.note(&f.refused, time.Since(began))
				return
			}
			time.Sleep(max(u.RetryAfter, 20*time.Millisecond))
			continue
		}
		kept := 0
		if ask.Prefer == b.ID {
			kept = work.prompt * 19 / 20
		}
		run := replay.NewRun(work.prompt, kept, work.answer)
		f.engines[b.ID].Begin(run)
		standby, copied, hasCopy := r.pick.Standby(ask, b)
		if hasCopy {
			f.engines[standby.ID].Keep(work.prompt + work.answer)
		}
		lost := false
		for s := range run.Signals {
			if s == replay.First {
				share.PrefillDone()
				if first == 0 {
					first = time.Since(began)
				}
				continue
			}
			lost = s == replay.Lost
			break
		}
		share.End()
		if hasCopy {
			copied.End()
			f.engines[standby.ID].Keep(-work.prompt - work.answer)
		}
		if !lost {
			f.mu.Lock()
			f.began = append(f.began, began.Sub(since))
			f.mu.Unlock()
			f.note(&f.served, first)
			return
		}
		f.mu.Lock()
		f.lost++
		f.mu.Unlock()
		ask.Resume, ask.LostDomain, ask.Prefer = true, b.FailureDomain, ""
		if hasCopy {
			ask.Prefer = standby.ID
		}
	}
}

func (f *replayed) note(to *[]time.Duration, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*to = append(*to, d)
}

// crash loses a domain's engines. All routers hear of it, and at one moment that they
// are back.
func (f *replayed) crash(domain string, down time.Duration) {
	gone := map[string]bool{}
	for _, b := range f.list {
		if b.FailureDomain == domain {
			gone[b.VM] = true
		}
	}
	for _, r := range f.routers {
		r.pick.dir.SetIntent(gone)
	}
	for id := range gone {
		f.engines[id].Crash()
	}
	time.Sleep(down)
	for _, r := range f.routers {
		r.pick.dir.SetIntent(nil)
	}
}

// play runs arrivals over the routers in turn, and crashes of domains at their moments.
func (f *replayed) play(ctx context.Context, arrivals []time.Duration, crashes map[time.Duration]string) {
	var group sync.WaitGroup
	start := time.Now()
	for at, domain := range crashes {
		group.Go(func() {
			time.Sleep(at)
			f.crash(domain, 1200*time.Millisecond)
		})
	}
	for i, at := range arrivals {
		group.Go(func() {
			time.Sleep(at)
			f.request(ctx, f.routers[i%len(f.routers)], fmt.Sprint("q", i), start)
		})
	}
	group.Wait()
}

// figures of a replay.
type figures struct{ inTime, late, refused, lost, vain, longest int } // longest: most prompts that waited at one engine

func (f *replayed) figures() figures {
	out := figures{refused: len(f.refused), lost: f.lost}
	for _, first := range f.served {
		if first <= replayTarget {
			out.inTime++
		} else {
			out.late++
		}
	}
	for _, e := range f.engines {
		out.vain += e.Vain()
		out.longest = max(out.longest, e.Longest())
	}
	return out
}

// load is a pattern that is played with several seeds.
type load struct {
	end     time.Duration
	rates   []replay.Rate
	crashes map[time.Duration]string
}

// play returns the sum over the seeds.
func (l load) play(t *testing.T, size replaySize, each func(f *replayed)) (sum figures, all int) {
	for seed := range size.seeds {
		arrivals := replay.Arrivals(uint64(seed+1), l.end, l.rates...)
		all += len(arrivals)
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			f := newReplay(t, ctx, size)
			f.play(ctx, arrivals, l.crashes)
			sum.add(f.figures())
			each(f)
			stop()
			time.Sleep(time.Second) // all that sleep see the end
		})
	}
	t.Logf("of %d: %+v", all, sum)
	return sum, all
}

func (f *figures) add(o figures) {
	f.inTime += o.inTime
	f.late += o.late
	f.refused += o.refused
	f.lost += o.lost
	f.vain += o.vain
	f.longest += o.longest
}
