package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// budget is how long a client waits, and answerBound when it must have its
	// final answer at the latest; the routes' time is 8 s.
	budget      = 9 * time.Second
	answerBound = 14 * time.Second
	// leaveShare of the clients go away in the middle of a draft, one in so many.
	leaveShare = 12
)

// maxIdle bounds the connections that a client keeps, since hundreds of clients and
// routers share the descriptors of one process.
const maxIdle = 16

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2, MaxIdleConns: maxIdle}
}

// caller sends one request after the other, over connections that it keeps.
type caller struct {
	run  *platformRun
	rng  *rand.Rand
	name string
	sent int
}

// result is what a client saw of one request.
type result struct {
	id, kind, key string
	lifetime      string // of the node that it was sent to
	status        int
	body          string
	cut           error // the connection ended before the answer did
	left          bool  // the client went away
	began         time.Time
	took          time.Duration
}

func (c *caller) loop(ctx context.Context) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.run.checks.take(c.one(transport))
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) one(transport *http.Transport) result {
	c.sent++
	n := c.run.nodes[c.rng.IntN(len(c.run.nodes))]
	res := result{
		id:   fmt.Sprintf("%s-%d", c.name, c.sent),
		kind: []string{"draft", "book", "look"}[c.rng.IntN(3)],
		key:  fmt.Sprintf("key-%d", c.rng.IntN(firstKeys)),
	}
	res.lifetime = n.lifetime()
	ctx, stop := context.WithTimeout(context.Background(), answerBound)
	defer stop()
	res.began = time.Now()
	res.status, res.body, res.left, res.cut = c.send(ctx, transport, n, &res)
	res.took = time.Since(res.began)
	if n.lifetime() != res.lifetime {
		res.lifetime = "" // another process may have answered
	}
	return res
}

func (c *caller) send(ctx context.Context, t *http.Transport, n *node, res *result) (status int, body string, left bool, err error) {
	ask := fakes.ClientRequest{Addr: n.front, Path: "/" + res.kind + "/x", ID: res.id, Key: res.key, Budget: budget, Prompt: "aa:40," + res.id + ":60"}
	req, err := ask.HTTPRequest()
	if err != nil {
		return 0, "", false, err
	}
	req = req.WithContext(ctx)
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	if res.kind == "draft" && resp.StatusCode == http.StatusOK && c.rng.IntN(leaveShare) == 0 {
		part, err := io.ReadAll(io.LimitReader(resp.Body, int64(len(fakes.Chunk(res.id, 1)))))
		return resp.StatusCode, string(part), true, err
	}
	var got bytes.Buffer
	_, err = io.Copy(&got, resp.Body)
	return resp.StatusCode, got.String(), false, err
}
