package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"wigeondale/clock"
	fakes "wigeondale/fakes/hosted"
)

const (
	// From minStopClients to maxStopClients clients send requests to a router in its stop beside the others. Each takes a stream up
	// maxRests times before.
	minStopClients = 16
	maxStopClients = 80
	maxRests       = 3
	// maxRestChunks is the length of a short rest of a stream.
	maxRestChunks = 3
	// uploadStep is the time between two bytes of a slow upload.
	uploadStep = 50 * time.Millisecond
	// stopPause is the longest time between two requests of such a client.
	stopPause = 300 * time.Millisecond
)

// startStopClients opens connections to a router, and lets clients use them until the process is gone. It returns when each has used its
// connection once.
func (r *platformRun) startStopClients(ctx context.Context, rng *rand.Rand, n *node) *sync.WaitGroup {
	var opened, running sync.WaitGroup
	allOpened, name := make(chan struct{}), fmt.Sprintf("stop%x", rng.Uint32())
	for i := range minStopClients + rng.IntN(maxStopClients-minStopClients+1) {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		c := &platformClient{run: r, rng: own, name: fmt.Sprintf("%s-%d", name, i)}
		opened.Add(1)
		running.Go(func() { c.useUntilGone(ctx, n, i == 0, func() { opened.Done(); <-allOpened }) })
	}
	opened.Wait()
	close(allOpened)
	return &running
}

// useUntilGone opens a connection to a router, and sends requests on it and on the next ones that it accepts, until it accepts none.
func (c *platformClient) useUntilGone(ctx context.Context, n *node, upload bool, opened func()) {
	transport := c.run.newTransport()
	transport.MaxConnsPerHost = 1
	defer transport.CloseIdleConnections()
	var whole softwareStream
	c.follow(transport, &whole, c.name+"-whole", n)
	for i := range 1 + c.rng.IntN(maxRests) {
		c.rest(transport, n, whole, fmt.Sprintf("%s-rest%d", c.name, i))
	}
	if upload {
		c.upload(transport, n, opened)
		return
	}
	opened()
	clock.Sleep(ctx, time.Duration(c.rng.Int64N(int64(stopGrace))))
	for ctx.Err() == nil {
		kind := []string{"draft", "draft", "book", "look"}[c.rng.IntN(4)]
		if c.run.cfg.Software {
			kind = []string{"book", "look"}[c.rng.IntN(2)]
		}
		res := c.sendTo(transport, n, kind)
		c.run.checks.asks.addResult(&res)
		c.run.checks.checkResult(res)
		if errors.Is(res.err, syscall.ECONNREFUSED) {
			return
		}
		clock.Sleep(ctx, time.Duration(c.rng.Int64N(int64(stopPause))))
	}
}

// rest asks for few pieces of a stream once more.
func (c *platformClient) rest(transport *http.Transport, n *node, s softwareStream, id string) {
	s = s.without(1 + c.rng.IntN(maxRestChunks))
	res := c.newResult("draft", id)
	ctx, stop := context.WithTimeout(context.Background(), maxAnswerTime)
	defer stop()
	c.streamOnce(ctx, transport, n, &s, &res)
	res.duration = time.Since(res.startedAt)
	c.run.checks.stops.add(res)
	c.run.checks.countOutcome("rest", res.outcome())
	c.run.checks.ends.add(res)
}

// upload sends a request whose body takes half of the grace or more. It calls begun when the router has a part of it.
func (c *platformClient) upload(transport *http.Transport, n *node, begun func()) {
	begun = sync.OnceFunc(begun)
	defer begun()
	most := int(stopGrace / uploadStep)
	steps := most - c.rng.IntN(most/2)
	res := c.newResult("look", c.name+"-upload")
	res.budget = budget
	request := fakes.ClientRequest{Addr: n.front, Path: "/look/x", ID: res.id, Key: res.key, Budget: res.budget, Prompt: "aa:40," + res.id + ":60", Body: strings.Repeat("u", steps)}
	req, err := request.HTTPRequest()
	if err != nil {
		c.run.checks.violated("the soak's own request is sound", res.id, err.Error())
		return
	}
	req.ContentLength, req.Body = -1, io.NopCloser(&slowBody{rest: req.Body, begun: begun})
	res.incarnation = n.incarnation()
	sending, stop := context.WithTimeout(context.Background(), maxAnswerTime)
	defer stop()
	resp, err := transport.RoundTrip(req.WithContext(connectionOf(sending, &res.connection)))
	if res.err = err; err == nil {
		defer resp.Body.Close()
		var body []byte
		body, res.err = io.ReadAll(resp.Body)
		res.status, res.body = resp.StatusCode, string(body)
	}
	res.duration = time.Since(res.startedAt)
	c.run.checks.stops.add(res)
	c.run.checks.countOutcome("upload", res.outcome())
	if promise := res.brokenPromise(); promise != "" {
		c.run.checks.violated(promise, res.id, fmt.Sprintf("upload: status %d, cut %v, body %.80q", res.status, res.err, res.body))
	}
}

// slowBody reads a body one byte after the other, with pauses, and calls begun when bytes have been read and sent.
type slowBody struct {
	rest  io.Reader
	read  int
	begun func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(uploadStep)
	if b.read++; b.read > 2 {
		b.begun()
	}
	return b.rest.Read(p[:min(len(p), 1)])
}
