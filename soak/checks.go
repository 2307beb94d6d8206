package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// checks holds what was seen, and the promises that were broken.
type checks struct {
	timed bool // when answers come is judged too

	mu       sync.Mutex
	requests int
	outcomes map[string]int
	refused  map[string]int    // status of a refusal, by request that may run once
	denied   map[string]denial // the first, by key and lifetime
	broke    []Violation
	bookings bookings
}

// denial is an answer that a key is not known.
type denial struct {
	request string
	at      time.Time
}

func newChecks(timed bool) *checks {
	return &checks{timed: timed, outcomes: map[string]int{}, refused: map[string]int{}, denied: map[string]denial{}, bookings: bookings{told: map[string]toldBooking{}}}
}

func (c *checks) broken(promise, request, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke = append(c.broke, Violation{promise, request, detail})
}

// take judges one answer by itself.
func (c *checks) take(r result) {
	c.count(r.kind, r.outcome())
	c.mu.Lock()
	if r.kind == "book" && promisesNotRun(r.status) {
		c.refused[r.id] = r.status
	}
	c.mu.Unlock()
	if r.status == http.StatusInternalServerError && r.body == heldBack {
		c.broken("no other request is held back as one that crashes its replicas", r.id, r.kind)
	}
	if v := r.judge(); v != "" {
		c.broken(v, r.id, fmt.Sprintf("%s: status %d, cut %v, body %.80q", r.kind, r.status, r.cut, r.body))
	}
	c.judgeTime(r.id, r.took, answerBound)
	c.judgeKey(r)
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *result) outcome() string {
	switch {
	case r.left:
		return "left"
	case r.cut != nil && r.status == 0:
		return "no answer"
	case r.cut != nil:
		return "cut"
	}
	return strconv.Itoa(r.status)
}

// judge names the promise that an answer breaks, if any.
func (r *result) judge() string {
	if r.status != http.StatusOK {
		return ""
	}
	want := fakes.CompleteResponse(r.id)
	if r.kind == "draft" {
		var b strings.Builder
		for n := 1; n <= pieces; n++ {
			b.WriteString(fakes.Chunk(r.id, n))
		}
		want = b.String()
	}
	if !strings.HasPrefix(want, r.body) {
		return "no piece is missing, repeated, or another answer's"
	}
	if r.cut == nil && !r.left && r.body != want {
		return "an answer that ends early does not look whole"
	}
	return ""
}

// judgeKey finds a process that goes back to an older configuration: keys are only
// ever taken away.
func (c *checks) judgeKey(r result) {
	if r.lifetime == "" || r.cut != nil {
		return
	}
	at := r.lifetime + " " + r.key
	switch r.status {
	case http.StatusUnauthorized:
		c.deny(at, r.id)
	case http.StatusOK:
		c.accept(at, r.id, r.began)
	}
}

// judgeTime finds a request that was held beyond its time.
func (c *checks) judgeTime(request string, took, bound time.Duration) {
	if c.timed && took >= bound {
		c.broken("every request has its final answer soon after its time is over", request, took.String())
	}
}

// deny notes that a key was denied by one lifetime of a router.
func (c *checks) deny(at, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, was := c.denied[at]; !was {
		c.denied[at] = denial{request, time.Now()}
	}
}

// accept finds a lifetime that denied the key before. A request that began earlier
// may end well: it is served by what was in force then.
func (c *checks) accept(at, request string, began time.Time) {
	c.mu.Lock()
	first, was := c.denied[at]
	c.mu.Unlock()
	if was && began.After(first.at) {
		c.broken("no process goes back to an older configuration", request, fmt.Sprintf("%s was denied by %s", at, first.request))
	}
}

// count notes the outcome of one request.
func (c *checks) count(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.outcomes[kind+" "+outcome]++
}

// workEnds is how long replicas may take to notice that nobody waits any more.
const workEnds = 5 * time.Second

// finalChecks compare the replicas' own record with what clients were told.
func (r *platformRun) finalChecks() {
	r.mu.Lock()
	all := append([]*fakes.Replica(nil), r.gone...)
	for _, reps := range r.services {
		all = append(all, reps...)
	}
	r.mu.Unlock()
	ran := map[string]int{}
	for _, rep := range all {
		for _, a := range rep.Arrivals() {
			if !a.Ran {
				continue
			}
			ran[a.ID]++
			if name, gotKey := a.Account(); gotKey || name != account {
				r.checks.broken("keys stay here and accounts are named", a.ID, "replica "+rep.ID)
			}
			if strings.HasPrefix(a.Target, "/book/") && ran[a.ID] > 1 {
				r.checks.broken("a request that may run once runs at most once", a.ID, "last at "+rep.ID)
			}
		}
	}
	r.checks.mu.Lock()
	refused := r.checks.refused
	r.checks.mu.Unlock()
	for id, status := range refused {
		if ran[id] > 0 {
			r.checks.broken("a refusal that says that nothing ran is true", id, fmt.Sprintf("status %d", status))
		}
	}
	r.checks.judgeCrashers(crasherArrivals(all))
	r.checkIdle(all)
}

// checkIdle finds work that goes on for nobody.
func (r *platformRun) checkIdle(all []*fakes.Replica) {
	end := time.Now().Add(workEnds)
	for _, rep := range all {
		for rep.OpenRequests() > 0 && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
		}
		if n := rep.OpenRequests(); n > 0 {
			r.checks.broken("work ends when nobody waits for it", "", fmt.Sprintf("%d requests at %s", n, rep.ID))
		}
	}
}

func (c *checks) report(seed uint64, faults []string) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Report{Seed: seed, Requests: c.requests, Outcomes: c.outcomes, Faults: faults, Violations: c.broke}
}
