package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// budget is the time limit that a client states in its request. maxAnswerTime is how
	// long after the start of the request the client must have its final response at the
	// latest. Routes have a timeout of 8 s.
	budget        = 9 * time.Second
	maxAnswerTime = 14 * time.Second
	// minBudget is the shortest budget of a request that may run once, with Config.Cuts.
	minBudget = 600 * time.Millisecond
	// One in abandonEvery generations is abandoned: its client disconnects before the end.
	abandonEvery = 12
)

// maxIdle bounds the idle connections of a client, since hundreds of clients share the file
// descriptors of one process with their connections to the routers.
const maxIdle = 16

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2, MaxIdleConns: maxIdle}
}

// newTransport returns the transport of one client.
func (r *platformRun) newTransport() *http.Transport {
	t := newTransport()
	t.DisableKeepAlives = r.cfg.Herd
	t.DialContext = r.dialRouter
	return t
}

// routerConn is a connection to a process of a router.
type routerConn struct {
	net.Conn
	incarnation string // when it was dialled
}

func (r *platformRun) dialRouter(ctx context.Context, network, addr string) (net.Conn, error) {
	incarnation := ""
	for _, n := range r.nodes {
		if n.front == addr {
			incarnation = n.incarnation()
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &routerConn{conn, incarnation}, nil
}

// connectionOf records in used which process of a router the connection leads to that carries a request.
func connectionOf(ctx context.Context, used *string) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*routerConn); ok {
			*used = c.incarnation
		}
	}})
}

// platformClient sends one request after the other, over keep-alive connections.
type platformClient struct {
	run  *platformRun
	rng  *rand.Rand
	name string
	sent int
	kind string // of its streams in the counts; "draft" if empty
}

// result holds what a client observed of one request.
type result struct {
	id, kind, key string
	incarnation   string // of the router to which the request was sent; empty if the router restarted during the request
	connection    string // incarnation of the router to which the request's connection was opened
	through       string // the same for a part of a stream that its client takes up
	chunks        int    // of the stream that answers it; 0 for chunkCount
	status        int
	body          string
	err           error // the connection failed before the response was complete
	abandoned     bool  // the client disconnected before the end
	startedAt     time.Time
	duration      time.Duration
	budget        time.Duration // the time limit that the client stated
}

func (c *platformClient) loop(ctx context.Context) {
	transport := c.run.newTransport()
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		if c.run.cfg.OddClients && c.rng.IntN(oddEvery) == 0 {
			c.sendOdd()
			continue
		}
		if c.run.cfg.TakeUps && c.rng.IntN(takeUpsEvery) == 0 {
			c.sent++
			c.takeUps(transport)
			continue
		}
		if (c.run.cfg.Software || c.run.cfg.Unfit) && c.rng.IntN(2) == 0 {
			c.sent++
			c.stream(transport)
			continue
		}
		res := c.sendOne(transport)
		c.run.checks.asks.addResult(&res)
		c.run.checks.checkResult(res)
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

func (c *platformClient) sendOne(transport *http.Transport) result {
	n := c.run.entryNode(c.rng)
	kinds := []string{"draft", "book", "look"}
	if c.run.cfg.Software {
		kinds = kinds[1:] // clients take drafts up
	}
	return c.sendTo(transport, n, kinds[c.rng.IntN(len(kinds))])
}

// sendTo sends one request to a router.
func (c *platformClient) sendTo(transport *http.Transport, n *node, kind string) result {
	c.sent++
	res := c.newResult(kind, fmt.Sprintf("%s-%d", c.name, c.sent))
	if c.run.cfg.Cuts && res.kind == "book" && c.rng.IntN(2) == 0 {
		res.budget = minBudget + time.Duration(c.rng.Int64N(int64(maxCut-minBudget))) // may end within a cut
	}
	res.incarnation = n.incarnation()
	ctx, stop := context.WithTimeout(context.Background(), maxAnswerTime)
	defer stop()
	res.status, res.body, res.abandoned, res.err = c.send(ctx, transport, n, &res)
	res.duration = time.Since(res.startedAt)
	c.run.checks.stops.add(res)
	if n.incarnation() != res.incarnation {
		res.incarnation = "" // the router has restarted: another process may have responded
	}
	return res
}

// newResult returns the record of a request that is about to be sent.
func (c *platformClient) newResult(kind, id string) result {
	res := result{id: id, kind: kind, chunks: c.run.cfg.chunks(), key: fmt.Sprintf("key-%d", c.rng.IntN(firstKeys)), startedAt: time.Now(), budget: budget}
	if c.run.cfg.Stops {
		res.budget = drawStopBudget(c.rng)
	}
	return res
}

func (c *platformClient) send(ctx context.Context, t *http.Transport, n *node, res *result) (status int, body string, abandoned bool, err error) {
	request := fakes.ClientRequest{Addr: n.front, Path: "/" + res.kind + "/x", ID: res.id, Key: res.key, Budget: res.budget, Prompt: "aa:40," + res.id + ":60"}
	if c.run.cfg.CrashingParts {
		request.Prompt = fmt.Sprintf("aa:40,d%d:20,%s:60", c.rng.IntN(sharedParts), res.id)
	}
	if c.run.cfg.Malformed && res.kind != "draft" {
		request.Body = c.drawBody()
	}
	req, err := request.HTTPRequest()
	if err != nil {
		return 0, "", false, err
	}
	resp, err := t.RoundTrip(req.WithContext(connectionOf(ctx, &res.connection)))
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	if res.kind == "draft" && resp.StatusCode == http.StatusOK && c.rng.IntN(abandonEvery) == 0 {
		part, err := io.ReadAll(io.LimitReader(resp.Body, int64(len(fakes.Chunk(res.id, 1)))))
		return resp.StatusCode, string(part), true, err
	}
	var received bytes.Buffer
	_, err = io.Copy(&received, resp.Body)
	return resp.StatusCode, received.String(), false, err
}
