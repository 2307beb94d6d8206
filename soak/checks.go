package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// checks collects the results of requests and the violations found in them.
type checks struct {
	checkTimes bool // Config.CheckTimes

	mu         sync.Mutex
	requests   int
	outcomes   map[string]int
	refused    map[string]int    // status, by id of a non-idempotent request whose refusal means that it did not run
	denied     map[string]denial // the first, by router incarnation and API key or account
	violations []Violation
	bookings   bookings
	asks       *askRecord
	ends       endRecord
	stops      stopRecord
	unfit      unfitRecord
	// unservable are requests that no router may run, with what is odd about them.
	unservable map[string]string
}

// denial is a response in which a router rejects an API key or an account that it does not
// know.
type denial struct {
	request string
	at      time.Time
}

func newChecks(timed bool) *checks {
	return &checks{checkTimes: timed, outcomes: map[string]int{}, refused: map[string]int{}, denied: map[string]denial{}, bookings: bookings{outcomes: map[string]bookingOutcome{}}, asks: newAskRecord()}
}

func (c *checks) violated(promise, request, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{promise, request, detail})
}

// checkResult counts one response and records a violation for each promise that the
// response breaks.
func (c *checks) checkResult(r result) {
	c.countOutcome(r.kind, r.outcome())
	c.ends.add(r)
	c.mu.Lock()
	if r.kind == "book" && meansNotRun(r.status) {
		c.refused[r.id] = r.status
	}
	c.mu.Unlock()
	if r.status == http.StatusInternalServerError && r.body == quarantinedBody {
		c.violated("no other request is held back as one that crashes its replicas", r.id, r.kind)
	}
	if promise := r.brokenPromise(); promise != "" {
		c.violated(promise, r.id, fmt.Sprintf("%s: status %d, cut %v, body %.80q", r.kind, r.status, r.err, r.body))
	}
	if r.err == nil && !r.abandoned && (r.status < http.StatusOK || r.status > maxStatus) {
		c.violated("an answer has a status that HTTP knows", r.id, fmt.Sprintf("%s: status %d", r.kind, r.status))
	}
	c.checkDuration(r.id, r.duration, maxAnswerTime)
	c.checkKey(r)
}

// maxStatus is the last final status of HTTP.
const maxStatus = 599

func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *result) outcome() string {
	switch {
	case r.abandoned:
		return "left"
	case r.err != nil && r.status == 0:
		return "no answer"
	case r.err != nil:
		return "cut"
	}
	return strconv.Itoa(r.status)
}

// brokenPromise returns the promise that the body of a successful response breaks, or "" if
// it breaks none. Of other responses it checks that no draft has the text of an answer to a request that continues a stream.
func (r *result) brokenPromise() string {
	if r.kind == "draft" && strings.Contains(r.body, fakes.ErrorText) {
		return "no piece is missing, repeated, or another answer's"
	}
	if r.status != http.StatusOK {
		return ""
	}
	want := fakes.CompleteResponse(r.id)
	if r.kind == "draft" {
		var b strings.Builder
		for n := 1; n <= cmp.Or(r.chunks, chunkCount); n++ {
			b.WriteString(fakes.Chunk(r.id, n))
		}
		want = b.String()
	}
	if !strings.HasPrefix(want, r.body) {
		return "no piece is missing, repeated, or another answer's"
	}
	if r.err == nil && !r.abandoned && r.body != want {
		return "an answer that ends early does not look whole"
	}
	return ""
}

// checkKey records a violation if a router returns to an older configuration. During a run
// API keys are only removed, so a router that has rejected a key must not accept it again.
func (c *checks) checkKey(r result) {
	if r.incarnation == "" || r.err != nil {
		return
	}
	at := r.incarnation + " " + r.key
	switch r.status {
	case http.StatusUnauthorized:
		c.recordDenied(at, r.id)
	case http.StatusOK:
		c.checkAccepted(at, r.id, r.startedAt)
	}
}

// checkDuration records a violation if the response to a request took as long as bound or
// longer. It does nothing unless Config.CheckTimes is set.
func (c *checks) checkDuration(request string, took, bound time.Duration) {
	if c.checkTimes && took >= bound {
		c.violated("every request has its final answer soon after its time is over", request, took.String())
	}
}

// recordDenied records that one incarnation of a router rejected a key or account. at names
// the incarnation together with the key or account.
func (c *checks) recordDenied(at, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.denied[at]; !known {
		c.denied[at] = denial{request, time.Now()}
	}
}

// checkAccepted records a violation if a request was accepted although the same incarnation
// of the router had already rejected its key or account when the request started. A request
// that started before the rejection may succeed: it is served with the configuration that
// was in force when it started.
func (c *checks) checkAccepted(at, request string, startedAt time.Time) {
	c.mu.Lock()
	first, rejected := c.denied[at]
	c.mu.Unlock()
	if rejected && startedAt.After(first.at) {
		c.violated("no process goes back to an older configuration", request, fmt.Sprintf("%s was denied by %s", at, first.request))
	}
}

// countOutcome counts a request under its kind and outcome.
func (c *checks) countOutcome(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.outcomes[kind+" "+outcome]++
}

// workEndTime is how long backend servers may go on with a request after the client of that
// request has disconnected or has received its response.
const workEndTime = 5 * time.Second

// finalChecks compares the replicas' records of the requests that ran with the responses
// that clients got, and records a violation for each contradiction.
func (r *platformRun) finalChecks() {
	r.checkDrills()
	if r.cfg.Software {
		r.checkSoftware()
	}
	r.checkBrittle()
	r.checkServed()
	r.mu.Lock()
	all := append([]*fakes.Replica(nil), r.formerReplicas...)
	for _, reps := range r.services {
		all = append(all, reps...)
	}
	r.mu.Unlock()
	ran, visits := map[string]int{}, map[string][]visit{}
	for _, rep := range all {
		r.checks.checkAsks(rep)
		for _, a := range rep.Arrivals() {
			visits[a.ID] = append(visits[a.ID], visit{rep, a.At, !a.Ran, a.Unfit})
			if !a.Ran {
				continue
			}
			ran[a.ID]++
			if name, gotKey := a.Account(); gotKey || name != account {
				detail := fmt.Sprintf("replica %s, %s %s %v", rep.ID, a.Method, a.Target, a.Header)
				r.checks.violated("keys stay here and accounts are named", a.ID, detail)
			}
			if strings.HasPrefix(a.Target, "/book/") && ran[a.ID] > 1 {
				r.checks.violated("a request that may run once runs at most once", a.ID, "last at "+rep.ID)
			}
		}
	}
	r.checks.mu.Lock()
	refused := r.checks.refused
	r.checks.mu.Unlock()
	for id, status := range refused {
		if ran[id] > 0 {
			r.checks.violated("a refusal that says that nothing ran is true", id, fmt.Sprintf("status %d", status))
		}
	}
	r.checks.checkEnds(visits)
	r.checks.checkStops(visits)
	r.checks.checkUnfit(visits)
	r.checks.checkOdd(ran)
	r.checks.checkCrashing(crashingArrivals(all))
	if r.cfg.Herd && r.cfg.Calm {
		r.checks.checkHerd()
	}
	r.checkIdle(all)
}

// checkIdle records a violation if a replica goes on with a request for longer than
// workEndTime although no client waits for a response any more.
func (r *platformRun) checkIdle(all []*fakes.Replica) {
	deadline := time.Now().Add(workEndTime)
	for _, rep := range all {
		for rep.OpenRequests() > 0 && time.Now().Before(deadline) {
			time.Sleep(20 * time.Millisecond)
		}
		if n := rep.OpenRequests(); n > 0 {
			r.checks.violated("work ends when nobody waits for it", "", fmt.Sprintf("%d requests at %s", n, rep.ID))
		}
	}
}

func (c *checks) report(seed uint64, faults []string) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Report{Seed: seed, Requests: c.requests, Outcomes: c.outcomes, Faults: faults, Violations: c.violations}
}
