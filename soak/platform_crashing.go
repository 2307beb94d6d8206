package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// crashesOfRequest and crashesOfPart are the numbers of crashes after which quarantineTime begins.
	crashesOfRequest = 3
	crashesOfPart    = 5
	// sharedParts is how many different parts sound and crashing requests share.
	sharedParts = 4
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

// crashingClient repeatedly sends the same two crashing requests through random routers, or ever new requests
// with a prompt part that crashes replicas.
type crashingClient struct {
	run   *platformRun
	rng   *rand.Rand
	parts bool
	sent  int
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
	request := fakes.ClientRequest{
		Addr: n.front, Path: "/" + kind + "/x", ID: id, Key: fmt.Sprintf("key-%d", firstKeys-1), Budget: budget,
		Prompt: "aa:40," + id + ":60", Body: kind + " " + fakes.CrashMark,
	}
	if c.parts {
		request.Path, request.Body = "/draft/x", "new body "+id
		request.Prompt = "aa:40," + fakes.CrashPart + ":10," + fmt.Sprintf("d%d:20,", c.rng.IntN(sharedParts)) + id + ":60"
	}
	req, err := request.HTTPRequest()
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
	c.run.checks.countOutcome(c.name(), status)
	c.run.checks.checkDuration(id, time.Since(startedAt), maxAnswerTime)
}

func (c *crashingClient) name() string {
	if c.parts {
		return "part"
	}
	return "crasher"
}

// replaceLater replaces a replica that a request crashed, after crashedReplicaDelay. Until
// then the crashed replica stays in the list from which faults draw replicas, since the
// service may have no other replica.
func (r *platformRun) replaceLater(rep *fakes.Replica) {
	r.checks.ends.trouble.begin(rep) // never ends
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

// crashingArrivals returns the arrivals at all replicas of requests that crash them, by their cause: the body or
// the part.
func crashingArrivals(all []*fakes.Replica) map[string][]fakes.Arrival {
	out := map[string][]fakes.Arrival{}
	for _, rep := range all {
		for _, a := range rep.Arrivals() {
			switch {
			case a.HasCrashPart():
				out[fakes.CrashPart] = append(out[fakes.CrashPart], a)
			case a.CrashesReplica():
				out[a.Body] = append(out[a.Body], a)
			}
		}
	}
	return out
}

// checkCrashing counts, for each cause of crashes, the arrivals at replicas later than quarantineTime after the last
// crash that is allowed for. It records a violation if there are more than maxArrivalsAfter such arrivals.
func (c *checks) checkCrashing(arrivals map[string][]fakes.Arrival) {
	for cause, list := range arrivals {
		allowed := crashesOfRequest
		if cause == fakes.CrashPart {
			allowed = crashesOfPart
		}
		crashes, after := arrivalsAfter(list, allowed)
		if after > maxArrivalsAfter {
			c.violated("a request that crashes its replicas is not sent on", cause, fmt.Sprintf("%d times after crash %d, %d crashes", after, allowed, crashes))
		}
	}
}

// arrivalsAfter counts the crashes, and the arrivals later than quarantineTime after the crash with the number allowed.
func arrivalsAfter(list []fakes.Arrival, allowed int) (crashes, after int) {
	slices.SortFunc(list, func(a, b fakes.Arrival) int { return a.At.Compare(b.At) })
	var last time.Time
	for _, a := range list {
		if crashes >= allowed && a.At.After(last.Add(quarantineTime)) {
			after++
		}
		if a.Ran {
			if crashes++; crashes == allowed {
				last = a.At
			}
		}
	}
	return crashes, after
}
