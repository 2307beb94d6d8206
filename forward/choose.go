package forward

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Router is another router that may take requests.
type Router struct {
	ID, Addr, FailureDomain string
}

const (
	// notTakenFor is how long a router that did not take a request gets no other of the service.
	notTakenFor = 500 * time.Millisecond
	// unreachableFor is how long a router to which no stream could be opened gets no request.
	unreachableFor = 2 * time.Second
)

// chooser chooses routers to pass requests on to. It is safe for concurrent use.
type chooser struct {
	domain string // this router's failure domain

	mu      sync.Mutex
	open    map[string]int         // requests passed on and not ended, by router
	avoided map[avoidKey]time.Time // until when a router is avoided
}

// avoidKey is a router and a service, or a router alone.
type avoidKey struct{ router, service string }

func newChooser(domain string) *chooser {
	return &chooser{domain: domain, open: map[string]int{}, avoided: map[avoidKey]time.Time{}}
}

// choose returns the router to which to pass a request on, and counts the request there until the
// caller calls release. reaching holds the routers that aren't known to be cut off from the service,
// and cutOffInDomain is the number of routers of this failure domain that are.
//
// Routers of the same failure domain are preferred, since they are near. If most of the domain's
// routers are cut off, the few others would get the requests of all, so that all domains
// are used then.
func (c *chooser) choose(service string, reaching []Router, cutOffInDomain int, tried map[string]bool, now time.Time) (r Router, release func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, all []Router
	for _, r := range reaching {
		if tried[r.ID] || c.isAvoided(r.ID, service, now) {
			continue
		}
		all = append(all, r)
		if r.FailureDomain == c.domain {
			near = append(near, r)
		}
	}
	from := all
	if len(near) > 0 && len(near) >= cutOffInDomain {
		from = near
	}
	if len(from) == 0 {
		return Router{}, nil, false
	}
	r = c.lessLoaded(from)
	c.open[r.ID]++
	return r, func() { c.release(r.ID) }, true
}

// lessLoaded draws two routers at random and returns the one to which fewer requests are passed on.
func (c *chooser) lessLoaded(from []Router) Router {
	a, b := from[rand.IntN(len(from))], from[rand.IntN(len(from))]
	if c.open[b.ID] < c.open[a.ID] {
		return b
	}
	return a
}

func (c *chooser) isAvoided(router, service string, now time.Time) bool {
	return now.Before(c.avoided[avoidKey{router, ""}]) || now.Before(c.avoided[avoidKey{router, service}])
}

// avoid makes choose pass over a router, for one service or, if service is empty, for all.
func (c *chooser) avoid(router, service string, until, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, t := range c.avoided {
		if !now.Before(t) {
			delete(c.avoided, k)
		}
	}
	c.avoided[avoidKey{router, service}] = until
}

func (c *chooser) release(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[router]--; c.open[router] <= 0 {
		delete(c.open, router)
	}
}

// counts returns the requests that are passed on and not ended, by router.
func (c *chooser) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(c.open))
	for id, n := range c.open {
		out[id] = n
	}
	return out
}
