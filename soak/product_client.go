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
	ownTokens = 60 // of a draft; 0.3 s
	// ownBudget is how long a client waits, ownBound when it must have its final
	// answer at the latest.
	ownBudget = 8 * time.Second
	ownBound  = 13 * time.Second
	ownIdle   = 2 * time.Second
)

// productClient sends one request after the other through any router, and goes on
// at another one as package client does.
type productClient struct {
	run  *productRun
	rng  *rand.Rand
	name string
	sent int
	http *http.Client
	// lives are the lifetimes of the routers, by endpoint, when the latest request
	// began.
	lives map[string]string
	began time.Time
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
		ask := []func(string) string{c.draft, c.draft, c.book, c.look}[c.rng.IntN(4)]
		request := ask(id)
		c.run.checks.judgeTime(request, time.Since(c.began), ownBound)
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

// through returns a client of all routers, beginning with any, the account, and the
// name that the routers' logs give to the request with a key.
func (c *productClient) through(key string) (cl *client.Client, account int, request string) {
	c.began, c.lives = time.Now(), map[string]string{}
	for _, one := range c.run.routers {
		c.lives["http://"+one.caller] = one.lifetime()
	}
	var endpoints []string
	first := c.rng.IntN(len(c.run.routers))
	for i := range c.run.routers {
		endpoints = append(endpoints, "http://"+c.run.routers[(first+i)%len(c.run.routers)].caller)
	}
	account = c.rng.IntN(ownAccounts)
	name, apiKey := accountOf(account)
	cl = client.New(endpoints, apiKey, client.Options{HTTP: c.http, IdleTimeout: ownIdle})
	return cl, account, load.RequestID(name, key)
}

// draft, book and look send one request each and return its name in the logs.
func (c *productClient) draft(id string) string {
	cl, account, request := c.through(id)
	prompt := "Summarise the release notes of " + id
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	leaves := c.rng.IntN(leaveShare) == 0
	res, err := cl.Generate(ctx, client.Request{Model: ownModel, Prompt: prompt, MaxTokens: ownTokens, Key: id, Timeout: ownBudget}, func(string) {
		if leaves {
			stop()
		}
	})
	c.run.checks.count("draft", outcomeOf(res.Outcome, err))
	if report := load.Check(prompt, ownTokens, res); !report.OK {
		c.run.checks.broken("no piece is missing, repeated, or another answer's, and a whole answer is whole", request, fmt.Sprintf("%+v, outcome %s", report, res.Outcome))
	}
	c.judgeKey(request, account, res.Endpoint, err)
	return request
}

func (c *productClient) book(id string) string {
	cl, account, request := c.through(id)
	body := []byte("book " + id)
	res, err := cl.Call(context.Background(), client.CallRequest{Service: ownService, Method: http.MethodPost, Path: "/book", Body: body, Key: id, Timeout: ownBudget})
	c.run.checks.count("book", outcomeOf(res.Outcome, err))
	c.run.checks.booked(service.Digest(body), request, res.Outcome)
	var a service.Answer
	if err == nil && (json.Unmarshal(res.Body, &a) != nil || a.Body != service.Digest(body)) {
		c.run.checks.broken("every caller gets its own answer", request, string(res.Body))
	}
	c.judgeKey(request, account, res.Endpoint, err)
	return request
}

func (c *productClient) look(id string) string {
	cl, account, request := c.through(id)
	res, err := cl.Call(context.Background(), client.CallRequest{Service: ownService, Path: "/lookup/" + id, Key: id, Timeout: ownBudget})
	c.run.checks.count("look", outcomeOf(res.Outcome, err))
	var a service.Answer
	if err == nil && (json.Unmarshal(res.Body, &a) != nil || a.Key != id || a.Value != service.Digest([]byte(id))) {
		c.run.checks.broken("every caller gets its own answer", request, string(res.Body))
	}
	c.judgeKey(request, account, res.Endpoint, err)
	return request
}

func outcomeOf(o fleet.Outcome, err error) string {
	if ref, ok := errors.AsType[*client.Refusal](err); ok {
		return fmt.Sprintf("%s (%s)", o, ref.Code)
	}
	return string(o)
}

// judgeKey finds a router that goes back to an older configuration: accounts are
// only ever taken away.
func (c *productClient) judgeKey(request string, account int, endpoint string, err error) {
	life := c.lives[endpoint]
	for _, one := range c.run.routers {
		if endpoint == "http://"+one.caller && one.lifetime() != life {
			return // another process may have answered
		}
	}
	at := fmt.Sprintf("%s account %d", life, account)
	ref, refused := errors.AsType[*client.Refusal](err)
	switch {
	case refused && ref.Status == http.StatusUnauthorized:
		c.run.checks.deny(at, request)
	case err == nil:
		c.run.checks.accept(at, request, c.began)
	}
}
