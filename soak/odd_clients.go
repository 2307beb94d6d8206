package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// One in oddEvery requests of a client is one that speaks HTTP/1.0, or states a Last-Event-Id that names no piece.
const oddEvery = 4

// oddLastEvents are values of Last-Event-Id that name no piece. Several values are several headers.
var oddLastEvents = [][]string{
	{"12x"}, {"-1"}, {"+3"}, {"03"}, {"1e1"}, {"0x0c"}, {"12,30"}, {`"12"`}, {"99999999999999999999"}, {"9223372036854775807"}, {"3", "5"}, {"", "3"},
}

// oddClient states what is odd about a request.
type oddClient struct {
	protocol  string
	keepAlive bool
	lastEvent []string
}

// sendOdd sends an odd request, and checks that it is not run if it can't be served, and that its answer doesn't look whole unless it is.
func (c *platformClient) sendOdd() {
	c.sent++
	n := c.run.entryNode(c.rng)
	odd := oddClient{protocol: "HTTP/1.0", keepAlive: c.rng.IntN(2) == 0}
	res := c.newResult([]string{"draft", "book", "look"}[c.rng.IntN(3)], fmt.Sprintf("%s-%d", c.name, c.sent))
	if res.kind == "draft" && c.rng.IntN(2) == 0 {
		odd = oddClient{protocol: "HTTP/1.1", lastEvent: oddLastEvents[c.rng.IntN(len(oddLastEvents))]}
	}
	res.status, res.body, res.err = odd.send(n.front, &res)
	res.duration = time.Since(res.startedAt)
	if res.kind != "draft" {
		c.run.checks.checkResult(res)
		return
	}
	c.run.checks.countOutcome("odd draft", res.outcome())
	c.run.checks.addOdd(&res, fmt.Sprintf("%+v", odd))
}

// send sends a request on a connection of its own. The error is nil if the answer looks whole.
func (o oddClient) send(addr string, res *result) (status int, body string, err error) {
	request := fakes.ClientRequest{Addr: addr, Path: "/" + res.kind + "/x", ID: res.id, Key: res.key, Budget: res.budget, Prompt: "aa:40," + res.id + ":60"}
	req, err := request.HTTPRequest()
	if err != nil {
		return 0, "", err
	}
	req.Header["Last-Event-Id"] = o.lastEvent
	if o.keepAlive {
		req.Header.Set("Connection", "keep-alive")
	}
	ctx, stop := context.WithTimeout(context.Background(), maxAnswerTime)
	defer stop()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(maxAnswerTime)); err != nil {
		return 0, "", err
	}
	var head strings.Builder
	if err := req.Header.Write(&head); err != nil {
		return 0, "", err
	}
	if _, err := fmt.Fprintf(conn, "POST %s %s\r\nHost: %s\r\nContent-Length: 1\r\n%s\r\nq", req.URL.Path, o.protocol, req.Host, head.String()); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// addOdd records a draft that no router may run.
func (c *checks) addOdd(r *result, odd string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unservable == nil {
		c.unservable = map[string]string{}
	}
	c.unservable[r.id] = odd
	if r.status == http.StatusOK {
		c.violations = append(c.violations, Violation{"a request that can't be served is refused", r.id, fmt.Sprintf("%s: %.80q", odd, r.body)})
	}
}

// checkOdd records a violation for each draft that was run although no router may run it.
func (c *checks) checkOdd(ran map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, odd := range c.unservable {
		if ran[id] > 0 {
			c.violations = append(c.violations, Violation{"a request that can't be served is not run", id, odd})
		}
	}
}
