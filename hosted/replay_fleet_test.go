package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/replay"
	"wigeondale/settings"
)

// The routers of these tests are the program's own: they choose engines, count their open
// requests and broadcast their loads as in production. Only the engines and the delay of
// messages between routers are simulated.
const (
	replayRouters = 6
	replayPrompt  = 5000
	replayAnswer  = 300
	replayTarget  = 4500 * time.Millisecond
	clientTimeout = 25 * time.Second // timeout of a client
	messageDelay  = time.Millisecond // delay of a message to another router
)

var replayEngine = replay.Config{
	PrefillPerSecond: 5000, Chunk: 125, Step: 6 * time.Millisecond, StepPerRun: 45 * time.Microsecond, Memory: 55000,
}

// replaySize is the size of a simulated fleet.
type replaySize struct {
	routers, engines, domains int
	// linked is the number of other routers that receive a router's messages; 0 means all
	// other routers.
	linked int
	// seeds is the number of runs, one after the other.
	seeds int
	// work sets the size of requests and the speed of engines; the zero value means
	// typicalWork.
	work replayWork
	// modify changes the picker of each router for a comparison; nil means that nothing is
	// changed.
	modify func(*picker)
}

// replayWork is the size of the requests and the speed of the engines.
type replayWork struct {
	prompt, answer int
	engine         replay.Config
}

var typicalWork = replayWork{replayPrompt, replayAnswer, replayEngine}

func (s replaySize) workOf() replayWork {
	if s.work == (replayWork{}) {
		return typicalWork
	}
	return s.work
}

// fewRouters is a fleet whose routers are all linked to each other. The results of a seed are
// partly random, since routers that choose at the same moment choose at random. With fewer
// seeds, the sums of the results would meet their bounds in some runs and not in others.
var fewRouters = replaySize{routers: replayRouters, engines: 12, domains: 4, seeds: 12}

// replayFleet is a simulated fleet under load.
type replayFleet struct {
	size    replaySize
	engines map[string]*replay.Engine
	list    []fleet.Backend
	routers []*replayRouter

	mu        sync.Mutex
	served    []time.Duration // time to the first chunk, of served requests
	arrivedAt []time.Duration // arrival of the served requests, from the start of the replay
	refused   []time.Duration // time to the refusal, of refused requests
	lost      int
}

type replayRouter struct {
	id    string
	index int
	pick  *picker
	peers *peers
}

func newReplayFleet(t *testing.T, ctx context.Context, size replaySize) *replayFleet {
	f := &replayFleet{size: size, engines: map[string]*replay.Engine{}, list: engineList(size.engines, size.domains)}
	for _, b := range f.list {
		f.engines[b.ID] = replay.NewEngine(size.workOf().engine)
		go f.engines[b.ID].Serve(ctx)
	}
	for i := range size.routers {
		f.routers = append(f.routers, f.router(t, fmt.Sprint("r", i)))
	}
	for _, r := range f.routers {
		go r.peers.broadcastLoop(ctx, func(m loadsMessage) { f.deliver(r, m) }, func(time.Time) {})
	}
	return f
}

func (f *replayFleet) router(t *testing.T, id string) *replayRouter {
	pick := pickerOf(t, f.list, f.size.workOf().engine.Memory)
	if f.size.modify != nil {
		f.size.modify(pick)
	}
	set := &settings.Settings{Hosted: &settings.Hosted{}}
	r := &replayRouter{id: id, index: len(f.routers), pick: pick, peers: newPeers(set, nil, pick.dir, pick.mon, newStoreSync(id, "d0", nil), nil)}
	pick.broadcastSoon = r.peers.broadcastSoon
	pick.loadQuerier.states = f
	r.peers.fullyLinked = func() bool { return f.size.linked == 0 }
	return r
}

// deliver passes a router's message to the routers linked to it.
func (f *replayFleet) deliver(from *replayRouter, m loadsMessage) {
	time.AfterFunc(messageDelay, func() {
		for _, other := range f.routers {
			if other != from && f.isLinked(from, other) {
				other.peers.handleLoads(from.id, m)
			}
		}
	})
}

// State implements stateReader.
func (f *replayFleet) State(_ context.Context, b fleet.Backend) (fleet.EngineState, error) {
	time.Sleep(2 * messageDelay)
	return f.engines[b.ID].Report(), nil
}

// isLinked reports whether two routers are linked: the routers form a ring, and each router is
// linked to the next and the previous size.linked/2 routers, or to all routers if size.linked
// is 0.
func (f *replayFleet) isLinked(from, to *replayRouter) bool {
	n := len(f.routers)
	after := (to.index - from.index + n) % n
	return f.size.linked == 0 || min(after, n-after) <= f.size.linked/2
}

// request runs one request at a router until its end.
func (f *replayFleet) request(ctx context.Context, r *replayRouter, id string, start time.Time) {
	work := f.size.workOf()
	f.run(ctx, r, generation.PickRequest{RequestID: id, Service: "llm", PromptTokens: work.prompt, MaxAnswerTokens: work.answer, FirstChunkTarget: replayTarget}, start)
}

// run runs one request at a router until its end. It returns the time to its first chunk, or 0 if it was refused.
func (f *replayFleet) run(ctx context.Context, r *replayRouter, ask generation.PickRequest, start time.Time) (first time.Duration) {
	began := time.Now()
	work := f.size.workOf()
	for ctx.Err() == nil {
		ask.TimeLeft = max(clientTimeout-time.Since(began), 1)
		b, share, err := r.pick.Pick(ctx, ask)
		if err != nil {
			u, ok := errors.AsType[*generation.Unavailable](err)
			if !ok || !u.Retryable || (!ask.Resume && time.Since(began)+u.RetryAfter > r.pick.refusal.MaxWait(ask.FirstChunkTarget)) {
				f.record(&f.refused, time.Since(began))
				return 0
			}
			time.Sleep(max(u.RetryAfter, 20*time.Millisecond))
			continue
		}
		cached := 0
		if ask.Prefer == b.ID {
			cached = work.prompt * 19 / 20
		}
		run := replay.NewRun(work.prompt, cached, work.answer)
		f.engines[b.ID].Start(run)
		standby, copied, hasCopy := r.pick.Standby(ask, b)
		if hasCopy {
			f.engines[standby.ID].AdjustCopies(work.prompt + work.answer)
		}
		lost := false
		for s := range run.Signals {
			if s == replay.FirstToken {
				share.PrefillDone()
				if first == 0 {
					first = time.Since(began)
				}
				continue
			}
			lost = s == replay.Lost
			break
		}
		if c, ok := share.(generation.CostShare); ok {
			c.SetCost(work.answer / chunkTokens)
		}
		share.End()
		if hasCopy {
			copied.End()
			f.engines[standby.ID].AdjustCopies(-work.prompt - work.answer)
		}
		if !lost {
			f.mu.Lock()
			f.arrivedAt = append(f.arrivedAt, began.Sub(start))
			f.mu.Unlock()
			f.record(&f.served, first)
			return first
		}
		f.mu.Lock()
		f.lost++
		f.mu.Unlock()
		ask.Resume, ask.LostDomain, ask.Prefer = true, b.FailureDomain, ""
		if hasCopy {
			ask.Prefer = standby.ID
		}
	}
	return first
}

func (f *replayFleet) record(to *[]time.Duration, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*to = append(*to, d)
}

// crash makes the engines of a failure domain crash, and lets them return after the time down.
// All routers are notified at once, both of the crash and of the return.
func (f *replayFleet) crash(domain string, down time.Duration) {
	crashed := map[string]bool{}
	for _, b := range f.list {
		if b.FailureDomain == domain {
			crashed[b.VM] = true
		}
	}
	for _, r := range f.routers {
		r.pick.dir.SetIntent(crashed)
	}
	for id := range crashed {
		f.engines[id].Crash()
	}
	time.Sleep(down)
	for _, r := range f.routers {
		r.pick.dir.SetIntent(nil)
	}
}

// play sends the arrivals to the routers in turn, and makes domains crash at the given times.
func (f *replayFleet) play(ctx context.Context, arrivals []time.Duration, crashes map[time.Duration]string) {
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

// figures are the results of a replay.
type figures struct{ inTime, late, refused, lost, reread, longestQueue int } // longestQueue: largest number of prompts that waited at one engine

func (f *replayFleet) figures() figures {
	out := figures{refused: len(f.refused), lost: f.lost}
	for _, first := range f.served {
		if first <= replayTarget {
			out.inTime++
		} else {
			out.late++
		}
	}
	for _, e := range f.engines {
		out.reread += e.RecomputedTokens()
		out.longestQueue = max(out.longestQueue, e.MaxWaiting())
	}
	return out
}

// load is a pattern of arrivals and crashes that is replayed with several seeds.
type load struct {
	end     time.Duration
	rates   []replay.Rate
	crashes map[time.Duration]string
}

// play replays the load once for each seed. It returns the sum of the results and the number
// of all requests.
func (l load) play(t *testing.T, size replaySize, each func(f *replayFleet)) (sum figures, all int) {
	for seed := range size.seeds {
		arrivals := replay.Arrivals(uint64(seed+1), l.end, l.rates...)
		all += len(arrivals)
		bubble.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			f := newReplayFleet(t, ctx, size)
			f.play(ctx, arrivals, l.crashes)
			sum.add(f.figures())
			each(f)
			stop()
			time.Sleep(time.Second) // sleeping goroutines see the end
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
	f.reread += o.reread
	f.longestQueue += o.longestQueue
}
