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
	crashingStream = 7
	// meanCrashingGap is the mean pause between two crashing requests. crashedReplicaDelay is how long
	// after a crash a replacement of the replica starts.
	meanCrashingGap     = 400 * time.Millisecond
	crashedReplicaDelay = 1500 * time.Millisecond
	// linkPoll is the interval of checks whether the routers have registered. linkSetupTime is how long
	// they may then take to connect to each other.
	linkPoll      = 20 * time.Millisecond
	linkSetupTime = time.Second
	// quarantinedBody is the body of the router's response to a quarantined request.
	quarantinedBody = "Internal Server Error\n"
	// quarantineTime is how long after the third crash all routers must know that a request
	// crashes replicas. maxArrivalsAfter is how often such a request may reach replicas
	// after that time.
	quarantineTime   = 3 * time.Second
	maxArrivalsAfter = 3
)

// awaitLinks waits until the routers have registered and had time to connect to each other. Before
// that, when all of them have just started, they can't exchange which requests crash replicas.
func (r *platformRun) awaitLinks(ctx context.Context) error {
	for _, n := range r.nodes {
		for {
			if _, ok := r.store.Get("wigeondale/nodes/" + n.id); ok {
				break
			}
			if !clock.Sleep(ctx, linkPoll) {
				return Error.New("%s has not registered", n.id)
			}
		}
	}
	if !clock.Sleep(ctx, linkSetupTime) {
		return Error.Wrap(ctx.Err())
	}
	return nil
}

// crashingClient repeatedly sends the same two crashing requests through random routers.
type crashingClient struct {
	run  *platformRun
	rng  *rand.Rand
	sent int
}

func (c *crashingClient) loop(ctx context.Context) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sent++
		c.sendOne(transport, []string{"draft", "look"}[c.rng.IntN(2)])
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * meanCrashingGap))))
	}
}

// sendOne sends one crashing request. Of the response only the time is checked, since no replica
// that runs the request responds.
func (c *crashingClient) sendOne(transport http.RoundTripper, kind string) {
	ctx, stop := context.WithTimeout(context.Background(), maxAnswerTime)
	defer stop()
	id := fmt.Sprintf("crash-%d", c.sent)
	n := c.run.nodes[c.rng.IntN(len(c.run.nodes))]
	req, err := fakes.ClientRequest{
		Addr: n.front, Path: "/" + kind + "/x", ID: id, Key: fmt.Sprintf("key-%d", firstKeys-1), Budget: budget,
		Prompt: "aa:40," + id + ":60", Body: kind + " " + fakes.CrashMark,
	}.HTTPRequest()
	if err != nil {
		c.run.checks.violated("the soak's own requests can be made", id, err.Error())
		return
	}
	startedAt := time.Now()
	status := "no answer"
	if resp, err := transport.RoundTrip(req.WithContext(ctx)); err == nil {
		resp.Body.Close()
		status = fmt.Sprint(resp.StatusCode)
	}
	c.run.checks.countOutcome("crasher", status)
	c.run.checks.checkDuration(id, time.Since(startedAt), maxAnswerTime)
}

// replaceLater replaces a replica that a request crashed, after crashedReplicaDelay. Until
// then the crashed replica stays in the list from which faults draw replicas, since the
// service may have no other replica.
func (r *platformRun) replaceLater(rep *fakes.Replica) {
	if r.stopped.Load() {
		return
	}
	r.watchers.Go(func() {
		time.Sleep(crashedReplicaDelay)
		if !r.stopped.Load() && r.remove(rep) {
			r.replace(rep)
		}
	})
}

// crashingArrivals returns the arrivals of crashing requests at all replicas, by body.
func crashingArrivals(all []*fakes.Replica) map[string][]fakes.Arrival {
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

// checkCrashing counts, for each crashing request, the arrivals at replicas later than
// quarantineTime after the third crash that the request caused. It records a violation if
// there are more than maxArrivalsAfter such arrivals.
func (c *checks) checkCrashing(arrivals map[string][]fakes.Arrival) {
	for body, list := range arrivals {
		slices.SortFunc(list, func(a, b fakes.Arrival) int { return a.At.Compare(b.At) })
		var crashes, after int
		var third time.Time
		for _, a := range list {
			if crashes >= 3 && a.At.After(third.Add(quarantineTime)) {
				after++
			}
			if a.Ran {
				if crashes++; crashes == 3 {
					third = a.At
				}
			}
		}
		if after > maxArrivalsAfter {
			c.violated("a request that crashes its replicas is not sent on", body, fmt.Sprintf("%d times after the third crash, %d crashes", after, crashes))
		}
	}
}
