package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
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
		began := time.Now()
		switch c.rng.IntN(4) {
		case 0, 1:
			c.draft(id)
		case 2:
			c.book(id)
		default:
			c.look(id)
		}
		c.run.checks.judgeTime(id, time.Since(began), ownBound)
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
}

// through returns a client of all routers, beginning with any, and the account.
func (c *productClient) through() (cl *client.Client, account int) {
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
	_, key := accountOf(account)
	return client.New(endpoints, key, client.Options{HTTP: c.http, IdleTimeout: ownIdle}), account
}

func (c *productClient) draft(id string) {
	cl, account := c.through()
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
		c.run.checks.broken("no piece is missing, repeated, or another answer's, and a whole answer is whole", id, fmt.Sprintf("%+v, outcome %s", report, res.Outcome))
	}
	c.judgeKey(id, account, res.Endpoint, err)
}

func (c *productClient) book(id string) {
	cl, account := c.through()
	body := []byte("book " + id)
	res, err := cl.Call(context.Background(), client.CallRequest{Service: ownService, Method: http.MethodPost, Path: "/book", Body: body, Key: id, Timeout: ownBudget})
	c.run.checks.count("book", outcomeOf(res.Outcome, err))
	c.run.checks.booked(service.Digest(body), id, res.Outcome)
	var a service.Answer
	if err == nil && (json.Unmarshal(res.Body, &a) != nil || a.Body != service.Digest(body)) {
		c.run.checks.broken("every caller gets its own answer", id, string(res.Body))
	}
	c.judgeKey(id, account, res.Endpoint, err)
}

func (c *productClient) look(id string) {
	cl, account := c.through()
	res, err := cl.Call(context.Background(), client.CallRequest{Service: ownService, Path: "/lookup/" + id, Key: id, Timeout: ownBudget})
	c.run.checks.count("look", outcomeOf(res.Outcome, err))
	var a service.Answer
	if err == nil && (json.Unmarshal(res.Body, &a) != nil || a.Key != id || a.Value != service.Digest([]byte(id))) {
		c.run.checks.broken("every caller gets its own answer", id, string(res.Body))
	}
	c.judgeKey(id, account, res.Endpoint, err)
}

func outcomeOf(o fleet.Outcome, err error) string {
	if ref, ok := errors.AsType[*client.Refusal](err); ok {
		return fmt.Sprintf("%s (%s)", o, ref.Code)
	}
	return string(o)
}

// judgeKey finds a router that goes back to an older configuration: accounts are
// only ever taken away.
func (c *productClient) judgeKey(id string, account int, endpoint string, err error) {
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
		c.run.checks.deny(at, id)
	case err == nil:
		c.run.checks.accept(at, id, c.began)
	}
}

// bookings are what callers were told of requests that run at most once.
type bookings struct {
	mu   sync.Mutex
	told map[string]toldBooking // by digest of the body
}

type toldBooking struct {
	id      string
	outcome fleet.Outcome
}

func (c *checks) booked(digest, id string, o fleet.Outcome) {
	c.bookings.mu.Lock()
	defer c.bookings.mu.Unlock()
	c.bookings.told[digest] = toldBooking{id, o}
}

// judgeBookings compares what ran, by digest of the body, with what callers were told.
func (c *checks) judgeBookings(ran map[string]int) {
	c.bookings.mu.Lock()
	defer c.bookings.mu.Unlock()
	for digest, told := range c.bookings.told {
		n := ran[digest]
		switch {
		case n > 1:
			c.broken("a request that may run once runs at most once", told.id, fmt.Sprintf("%d times", n))
		case n > 0 && told.outcome == fleet.NotRun:
			c.broken("not-run is true", told.id, "it ran")
		case n == 0 && told.outcome == fleet.Complete:
			c.broken("an answer is a back end's", told.id, "it did not run")
		}
	}
}

// finalChecks compare the back ends' own record with what callers were told.
func (r *productRun) finalChecks() {
	ran := map[string]int{}
	for _, s := range r.set.Record().Services {
		for digest, n := range s.ByBody {
			ran[digest] += n
		}
	}
	r.checks.judgeBookings(ran)
	for end := time.Now().Add(workEnds); r.working() != "" && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	if request := r.working(); request != "" {
		r.checks.broken("work ends when nobody waits for it", request, "an engine still generates")
	}
}

// working is a request for which some engine still generates, or "".
func (r *productRun) working() string {
	for _, e := range r.set.Record().Engines {
		for _, s := range e.Streams {
			if !s.Finished && s.Cancelled == "" {
				return s.Request
			}
		}
	}
	return ""
}
