package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"wigeondale/clock"
	fakes "wigeondale/fakes/hosted"
)

const (
	crasherStream = 7
	// crasherEvery is the mean pause between two tries, crasherBack how long after its crash
	// a replica is back.
	crasherEvery = 400 * time.Millisecond
	crasherBack  = 1500 * time.Millisecond
	// linkLook is how often it is looked whether routers have registered, linkTime how long
	// they may take then to link to each other.
	linkLook = 20 * time.Millisecond
	linkTime = time.Second
	// heldBack is the router's own answer to a request that it holds back.
	heldBack = "Internal Server Error\n"
	// knownWithin is when all routers must know of a request under which three replicas
	// crashed, and maxAfter how often it may reach replicas after that.
	knownWithin = 3 * time.Second
	maxAfter    = 3
)

// awaitLinks waits until the routers have registered and had time to link to each other. Until
// then, at the first start of all, none can tell another which requests crash replicas.
func (r *platformRun) awaitLinks(ctx context.Context) error {
	for _, n := range r.nodes {
		for {
			if _, ok := r.store.Get("wigeondale/nodes/" + n.id); ok {
				break
			}
			if !clock.Sleep(ctx, linkLook) {
				return Error.New("%s has not registered", n.id)
			}
		}
	}
	if !clock.Sleep(ctx, linkTime) {
		return Error.Wrap(ctx.Err())
	}
	return nil
}

// crasher sends the same two requests again and again, through any router.
type crasher struct {
	run  *platformRun
	rng  *rand.Rand
	sent int
}

func (c *crasher) loop(ctx context.Context) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sent++
		c.one(transport, []string{"draft", "look"}[c.rng.IntN(2)])
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * crasherEvery))))
	}
}

// one makes one try. What it is answered is the business of no check but that of time: its
// replicas never answer.
func (c *crasher) one(transport http.RoundTripper, kind string) {
	ctx, stop := context.WithTimeout(context.Background(), answerBound)
	defer stop()
	id := fmt.Sprintf("crash-%d", c.sent)
	n := c.run.nodes[c.rng.IntN(len(c.run.nodes))]
	req, err := fakes.ClientRequest{
		Addr: n.front, Path: "/" + kind + "/x", ID: id, Key: fmt.Sprintf("key-%d", firstKeys-1), Budget: budget,
		Prompt: "aa:40," + id + ":60", Body: kind + " " + fakes.CrashMark,
	}.HTTPRequest()
	if err != nil {
		c.run.checks.broken("the soak's own requests can be made", id, err.Error())
		return
	}
	began := time.Now()
	status := "no answer"
	if resp, err := transport.RoundTrip(req.WithContext(ctx)); err == nil {
		resp.Body.Close()
		status = fmt.Sprint(resp.StatusCode)
	}
	c.run.checks.count("crasher", status)
	c.run.checks.judgeTime(id, time.Since(began), answerBound)
}

// crashedUnder has a replica that a request made crash come back as another lifetime. It stays
// among those that faults strike until then: a service may have no other.
func (r *platformRun) crashedUnder(rep *fakes.Replica) {
	if r.stopped.Load() {
		return
	}
	r.watchers.Go(func() {
		time.Sleep(crasherBack)
		if !r.stopped.Load() && r.takeAny(rep) {
			r.replace(rep)
		}
	})
}

// crasherArrivals are the arrivals of requests with the mark, by body.
func crasherArrivals(all []*fakes.Replica) map[string][]fakes.Arrival {
	out := map[string][]fakes.Arrival{}
	for _, rep := range all {
		for _, a := range rep.Arrivals() {
			if strings.Contains(a.Body, fakes.CrashMark) {
				out[a.Body] = append(out[a.Body], a)
			}
		}
	}
	return out
}

// judgeCrashers counts how often each such request reached replicas after its third crash was
// to be known.
func (c *checks) judgeCrashers(arrivals map[string][]fakes.Arrival) {
	for body, list := range arrivals {
		slices.SortFunc(list, func(a, b fakes.Arrival) int { return a.At.Compare(b.At) })
		var crashes, after int
		var third time.Time
		for _, a := range list {
			if crashes >= 3 && a.At.After(third.Add(knownWithin)) {
				after++
			}
			if a.Ran {
				if crashes++; crashes == 3 {
					third = a.At
				}
			}
		}
		if after > maxAfter {
			c.broken("a request that crashes its replicas is not sent on", body, fmt.Sprintf("%d times after the third crash, %d crashes", after, crashes))
		}
	}
}
