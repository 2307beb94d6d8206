// Command stand runs case 2 of the review: a replica sends a second copy of a refusal at the point where the answer to
// another request is expected.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/review/rig"
)

const (
	host      = "ficu95.example"
	keyOfTest = "xd9dnn2ctnfzs989anu6"
	clients   = 70
	thinkTime = 60 * time.Millisecond // at most, between an answer and the next request
	// runTime is how long the clients send, quietTime how long the replicas are sound at first, and faultTime how
	// long the fault lasts after that.
	runTime   = 12 * time.Second
	quietTime = 3 * time.Second
	faultTime = 5 * time.Second
	// One in spoiledEvery of the answers is spoiled: less than x = 0.03.
	spoiledEvery = 34
	// spoilers of the replicas spoil answers: a share of 0.6.
	replicaCount, spoilers = 5, 3
)

func main() { os.Exit(run()) }

func run() int {
	r, err := rig.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer r.Close()
	replicas, routers, err := start(r)
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	t := &traffic{rig: r, statuses: map[string]int{}}
	t.run(routers)
	return t.check(replicas)
}

func start(r *rig.Rig) ([]*rig.Replica, []*rig.Router, error) {
	r.Store.PutJSON("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "guia", "host": host, "prefix": "/pule252/", "route_type": "non_idempotent", "service": "portal",
			"timeout_ms": 2000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "portal", "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []any{map[string]any{"name": "huka270", "api_keys": []string{keyOfTest}}},
	})
	began := time.Now()
	var replicas []*rig.Replica
	for i := range replicaCount {
		rep := &rig.Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: "portal", Zone: fmt.Sprintf("zone-%d", i%2+1), Slots: 6, Queue: 3, Work: 60 * time.Millisecond,
		}
		if r.Trouble && i < spoilers {
			var answers atomic.Int64
			rep.Spoil = func(bool) bool {
				at := time.Since(began) - quietTime
				return at >= 0 && at < faultTime && answers.Add(1)%spoiledEvery == 0
			}
		}
		if err := r.StartReplica(rep); err != nil {
			return nil, nil, err
		}
		replicas = append(replicas, rep)
	}
	var routers []*rig.Router
	for i := range 2 {
		n, err := r.StartRouter(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("zone-%d", i+1), r.Store.Addr())
		if err != nil {
			return nil, nil, err
		}
		routers = append(routers, n)
	}
	return replicas, routers, nil
}

// traffic is what the clients sent and got.
type traffic struct {
	rig *rig.Rig

	mu       sync.Mutex
	statuses map[string]int // by id; 0 if the connection ended without an answer
}

func (t *traffic) run(routers []*rig.Router) {
	var done sync.WaitGroup
	end := time.Now().Add(runTime)
	for c := range clients {
		done.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for n := 0; time.Now().Before(end); n++ {
				pause := t.send(transport, routers[c%len(routers)], fmt.Sprintf("%02d-%04d", c, n))
				time.Sleep(pause)
			}
		})
	}
	done.Wait()
}

// send sends one request. It returns how long the client waits before its next one.
func (t *traffic) send(transport *http.Transport, router *rig.Router, id string) time.Duration {
	// The body can't be read again, so that net/http never sends it twice.
	req, err := http.NewRequest(http.MethodPost, "http://"+router.Front+"/pule252/2f", io.NopCloser(strings.NewReader("body of "+id)))
	if err != nil {
		panic(err) // a fixed address
	}
	req.Host, req.ContentLength, req.GetBody = host, int64(len("body of "+id)), nil
	req.Header = http.Header{"X-Attempt-Id": {id}, "X-Api-Key": {keyOfTest}, "X-Deadline-Ms": {"4000"}}
	t.rig.Recordf("client sends %s to %s", id, router.Name)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.ended(id, 0, err.Error())
		return 100 * time.Millisecond
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		t.ended(id, 0, err.Error())
		return 100 * time.Millisecond
	}
	t.ended(id, resp.StatusCode, strings.TrimSpace(string(body)))
	if resp.StatusCode == http.StatusServiceUnavailable {
		if after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err == nil {
			return after
		}
	}
	return time.Duration(rand.Int64N(int64(thinkTime)))
}

func (t *traffic) ended(id string, status int, body string) {
	t.rig.Recordf("client gets %d for %s: %s", status, id, body)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[id] = status
}

// check checks TWICE and REFUSED.
func (t *traffic) check(replicas []*rig.Replica) int {
	runs := map[string]int{}
	for _, r := range replicas {
		for id, n := range r.Runs() {
			runs[id] += n
		}
	}
	twice, refused, served := 0, 0, 0
	for id, status := range t.statuses {
		if status == http.StatusOK {
			served++
		}
		if runs[id] > 1 {
			twice++
			t.rig.Recordf("TWICE: %s ran %d times; its client got %d", id, runs[id], status)
		}
		if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			t.rig.Recordf("REFUSED: %s was answered %d and ran %d times", id, status, runs[id])
		}
	}
	summary := fmt.Sprintf("trouble %v: %d requests, %d served, TWICE %d, REFUSED %d", t.rig.Trouble, len(t.statuses), served, twice, refused)
	t.rig.Recordf("%s", summary)
	fmt.Println(summary)
	switch {
	case served == 0:
		return rig.NotRun
	case twice+refused > 0:
		return rig.Broken
	}
	return rig.Held
}
