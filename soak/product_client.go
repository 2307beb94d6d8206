package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"wigeondale/client"
	"wigeondale/fakes/service"
	"wigeondale/fleet"
	"wigeondale/load"
)

const (
	productTokens = 60 // length of a generation, which takes 0.3 s
	// productBudget is the time limit that a client sets for a request.
	// productMaxAnswerTime is how long after the start of the request the client must have
	// its final response at the latest.
	productBudget        = 8 * time.Second
	productMaxAnswerTime = 13 * time.Second
	productIdleTimeout   = 2 * time.Second
)

// productClient sends one request after the other through a random router. Package client
// continues a request at another router if one fails.
type productClient struct {
	run  *productRun
	rng  *rand.Rand
	name string
	sent int
	http *http.Client
	// incarnations maps the endpoint of each router to the router's incarnation at the
	// start of the latest request.
	incarnations map[string]string
	startedAt    time.Time
}

func newProductClient(r *productRun, i int) *productClient {
	return &productClient{
		run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+i))), name: fmt.Sprintf("c%d", i),
		http: &http.Client{Transport: newTransport()},
	}
}

func (c *productClient) loop(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.sent++
		id := fmt.Sprintf("%s-%d", c.name, c.sent)
		send := []func(string) string{c.generate, c.generate, c.book, c.lookUp}[c.rng.IntN(4)]
		if c.run.cfg.OddClients && c.rng.IntN(oddEvery) == 0 {
			send = c.generateOverHTTP10
		}
		request := send(id)
		c.run.checks.checkDuration(request, time.Since(c.startedAt), productMaxAnswerTime)
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

// prepare returns a client that starts with a random router, the number of a random account, and
// the id that the routers' logs give to the request with this idempotency key.
func (c *productClient) prepare(key string) (cl *client.Client, account int, request string) {
	c.startedAt, c.incarnations = time.Now(), map[string]string{}
	for _, rt := range c.run.routers {
		c.incarnations["http://"+rt.caller] = rt.incarnation()
	}
	var endpoints []string
	first := c.rng.IntN(len(c.run.routers))
	for i := range c.run.routers {
		endpoints = append(endpoints, "http://"+c.run.routers[(first+i)%len(c.run.routers)].caller)
	}
	account = c.rng.IntN(productAccounts)
	name, apiKey := accountOf(account)
	cl = client.New(endpoints, apiKey, client.Options{HTTP: c.http, IdleTimeout: productIdleTimeout})
	return cl, account, load.RequestID(name, key)
}

// generate, book and lookUp send one request each and return its id in the logs.
func (c *productClient) generate(id string) string {
	cl, account, request := c.prepare(id)
	prompt := "Summarise the release notes of " + id
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	abandons := c.rng.IntN(abandonEvery) == 0
	res, err := cl.Generate(ctx, client.Request{Model: productModel, Prompt: prompt, MaxTokens: productTokens, Key: id, Timeout: productBudget}, func(string) {
		if abandons {
			stop()
		}
	})
	c.run.checks.countOutcome("draft", outcomeOf(res.Outcome, err))
	if report := load.Check(prompt, productTokens, res); !report.OK {
		c.run.checks.violated("no piece is missing, repeated, or another answer's, and a whole answer is whole", request, fmt.Sprintf("%+v, outcome %s", report, res.Outcome))
	}
	c.checkKey(request, account, res.Endpoint, err)
	return request
}

func (c *productClient) book(id string) string {
	cl, account, request := c.prepare(id)
	body := []byte("book " + id)
	res, err := cl.Call(context.Background(), client.CallRequest{Service: productService, Method: http.MethodPost, Path: "/book", Body: body, Key: id, Timeout: productBudget})
	c.run.checks.countOutcome("book", outcomeOf(res.Outcome, err))
	c.run.checks.recordBooking(service.Digest(body), request, res.Outcome)
	var a service.Answer
	if err == nil && (json.Unmarshal(res.Body, &a) != nil || a.Body != service.Digest(body)) {
		c.run.checks.violated("every caller gets its own answer", request, string(res.Body))
	}
	c.checkKey(request, account, res.Endpoint, err)
	return request
}

func (c *productClient) lookUp(id string) string {
	cl, account, request := c.prepare(id)
	res, err := cl.Call(context.Background(), client.CallRequest{Service: productService, Path: "/lookup/" + id, Key: id, Timeout: productBudget})
	c.run.checks.countOutcome("look", outcomeOf(res.Outcome, err))
	var a service.Answer
	if err == nil && (json.Unmarshal(res.Body, &a) != nil || a.Key != id || a.Value != service.Digest([]byte(id))) {
		c.run.checks.violated("every caller gets its own answer", request, string(res.Body))
	}
	c.checkKey(request, account, res.Endpoint, err)
	return request
}

func outcomeOf(o fleet.Outcome, err error) string {
	if ref, ok := errors.AsType[*client.Refusal](err); ok {
		return fmt.Sprintf("%s (%s)", o, ref.Code)
	}
	return string(o)
}

// checkKey records a violation if a router returns to an older configuration. During a run
// accounts are only removed, so a router that has rejected an account must not accept that
// account again.
func (c *productClient) checkKey(request string, account int, endpoint string, err error) {
	incarnation := c.incarnations[endpoint]
	for _, rt := range c.run.routers {
		if endpoint == "http://"+rt.caller && rt.incarnation() != incarnation {
			return // the router has restarted: another process may have responded
		}
	}
	at := fmt.Sprintf("%s account %d", incarnation, account)
	ref, rejected := errors.AsType[*client.Refusal](err)
	switch {
	case rejected && ref.Status == http.StatusUnauthorized:
		c.run.checks.recordDenied(at, request)
	case err == nil:
		c.run.checks.checkAccepted(at, request, c.startedAt)
	}
}
