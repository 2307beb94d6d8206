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

// oddLargeAnswer is added to large answers: more than the buffers of a connection hold.
const oddLargeAnswer = 4 << 20

// oddLastEvents are values of Last-Event-Id that name no piece. Several values are several headers.
var oddLastEvents = [][]string{
	{"12x"}, {"-1"}, {"+3"}, {"03"}, {"1e1"}, {"0x0c"}, {"12,30"}, {`"12"`}, {"99999999999999999999"}, {"9223372036854775807"}, {"3", "5"}, {"", "3"},
}

// oddClient states what is odd about a request.
type oddClient struct {
	protocol  string
	keepAlive bool
	lastEvent []string
	large     bool // the answer is large, and is read slowly
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
	if res.kind == "look" && !c.run.cfg.Crowds && c.rng.IntN(2) == 0 {
		odd.large = true
	}
	res.status, res.body, res.err = odd.send(n.front, &res)
	res.duration = time.Since(res.startedAt)
	if odd.large && res.status == http.StatusOK {
		c.checkLarge(&res)
	}
	if res.kind != "draft" {
		c.run.checks.checkResult(res)
		return
	}
	c.run.checks.countOutcome("odd draft", res.outcome())
	c.run.checks.addOdd(&res, fmt.Sprintf("%+v", odd))
}

// checkLarge checks a large answer, and leaves of its body what a usual one has.
func (c *platformClient) checkLarge(res *result) {
	usual := fakes.CompleteResponse(res.id)
	want := usual + strings.Repeat("x", oddLargeAnswer)
	if !strings.HasPrefix(want, res.body) || res.err == nil && res.body != want {
		c.run.checks.violated("an answer that ends early does not look whole", res.id, fmt.Sprintf("%d of %d bytes, cut %v", len(res.body), len(want), res.err))
	}
	res.body = res.body[:min(len(res.body), len(usual))]
}

// send sends a request on a connection of its own. The error is nil if the answer looks whole.
func (o oddClient) send(addr string, res *result) (status int, body string, err error) {
	request := fakes.ClientRequest{Addr: addr, Path: "/" + res.kind + "/x", ID: res.id, Key: res.key, Budget: res.budget, Prompt: "aa:40," + res.id + ":60"}
	req, err := request.HTTPRequest()
	if err != nil {
		return 0, "", err
	}
	if o.large {
		req.URL.Path += fakes.LargePath
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
	var in io.Reader = resp.Body
	if o.large {
		in = slowReader{in}
	}
	data, err := io.ReadAll(in)
	if err == nil && resp.StatusCode == http.StatusOK && o.protocol == "HTTP/1.0" && resp.ContentLength < 0 {
		return resp.StatusCode, "no length: " + string(data), nil // no answer of a replica
	}
	return resp.StatusCode, string(data), err
}

// slowReader reads a large answer in about a second.
type slowReader struct{ io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return s.Reader.Read(p[:min(len(p), 16<<10)])
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

// generateOverHTTP10 asks a router of the product's own interface for a generation over HTTP/1.0. A stream must be refused, and a whole
// answer must state its length.
func (c *productClient) generateOverHTTP10(id string) string {
	_, account, request := c.prepare(id)
	name, key := accountOf(account)
	stream := c.rng.IntN(2) == 0
	body := fmt.Sprintf(`{"model":%q,"prompt":"Summarise %s","max_tokens":%d,"stream":%t}`, productModel, id, productTokens, stream)
	head := fmt.Sprintf("POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n", key, id, len(body))
	status, length, err := askHTTP10(c.run.routers[c.rng.IntN(len(c.run.routers))].caller, head+body)
	outcome := fmt.Sprint(status)
	if err != nil {
		outcome = "no answer"
	}
	c.run.checks.countOutcome("odd draft", outcome)
	if err == nil && status == http.StatusOK && (stream || length < 0) {
		c.run.checks.violated("an answer that ends early does not look whole", request, fmt.Sprintf("account %s, stream %t, length %d", name, stream, length))
	}
	return request
}

// askHTTP10 returns the status of an answer and its stated length, or -1. The error is nil if the answer looks whole.
func askHTTP10(addr, request string) (status int, length int64, err error) {
	conn, err := net.DialTimeout("tcp", addr, maxAnswerTime)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(productMaxAnswerTime)); err != nil {
		return 0, 0, err
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.ContentLength, err
}
