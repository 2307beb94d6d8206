package hosted

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

var cutSeeds = flag.Int("cut-seeds", 1, "seeds of TestRoutersAreCutInTurn")

// Guards against lost, doubled or untrue answers while routers are cut from replicas in any number, way and
// order: some, nearly all and all of them, for milliseconds and for seconds, while requests and streams run.
func TestRoutersAreCutInTurn(t *testing.T) {
	for seed := range *cutSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t)
			replicas := f.startEngines(6, 30, 15*time.Millisecond)
			for i := range 3 {
				replicas = append(replicas, f.startReplica(&fakes.Replica{
					ID: fmt.Sprint("a", i), Service: "app", Domain: fmt.Sprint("d", i%2), Work: 20 * time.Millisecond,
				}))
			}
			nodes := f.startServingNodes(5)
			c := &cutClients{t: t, nodes: nodes, replicas: replicas, answers: map[string]int{}}
			stop := c.start(8, uint64(seed))
			rng := rand.New(rand.NewPCG(uint64(seed), 3))
			for range 6 {
				mode := []fault.CutMode{fault.Hanging, fault.Resetting, fault.RefusingOnly}[rng.IntN(3)]
				cut := rng.Perm(len(nodes))[:1+rng.IntN(len(nodes))]
				for _, i := range cut {
					nodes[i].replicaLinks.Set(mode)
				}
				time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
				for _, i := range cut {
					nodes[i].replicaLinks.Set(fault.Connected)
				}
				time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
			}
			c.checkShare(nodes[:3], nodes[3:])
			stop()
			c.check()
		})
	}
}

// cutClients send requests to random nodes until they are stopped.
type cutClients struct {
	t        *testing.T
	nodes    []*testNode
	replicas []*fakes.Replica
	counting atomic.Bool // requests that start now count for checkShare

	mu           sync.Mutex
	answers      map[string]int // status by request
	sent, served map[*testNode]int
}

func (c *cutClients) start(clients int, seed uint64) (stop func()) {
	var stopped atomic.Bool
	var running sync.WaitGroup
	for i := range clients {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		running.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				path := []string{"draft", "look", "book"}[rng.IntN(3)]
				c.request(c.nodes[rng.IntN(len(c.nodes))], path, fmt.Sprintf("%s-%d-%d", path, i, n))
			}
		})
	}
	return func() {
		stopped.Store(true)
		running.Wait()
	}
}

func (c *cutClients) request(n *testNode, path, id string) {
	counted := c.counting.Load()
	status, body := n.get("/"+path+"/x", id, key)
	want := fakes.CompleteResponse(id)
	if path == "draft" {
		want = generationText(id, 30)
	}
	if status == http.StatusOK && body != want {
		c.t.Errorf("%s: status 200 with %q", id, body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = status
	if counted {
		c.sent[n]++
		if status == http.StatusOK {
			c.served[n]++
		}
	}
}

// checkShare cuts some nodes for longer than a cut may go unnoticed, and checks that they serve at least two thirds
// as large a share of their requests as the others.
func (c *cutClients) checkShare(cut, others []*testNode) {
	for _, n := range cut {
		n.replicaLinks.Set(fault.Hanging)
	}
	time.Sleep(cutNoticed)
	c.mu.Lock()
	c.sent, c.served = map[*testNode]int{}, map[*testNode]int{}
	c.mu.Unlock()
	c.counting.Store(true)
	time.Sleep(1500 * time.Millisecond)
	c.counting.Store(false)
	for _, n := range cut {
		n.replicaLinks.Set(fault.Connected)
	}
	time.Sleep(time.Second) // the counted requests end
	c.mu.Lock()
	defer c.mu.Unlock()
	share := func(nodes []*testNode) float64 {
		sent, served := 0, 0
		for _, n := range nodes {
			sent, served = sent+c.sent[n], served+c.served[n]
		}
		return float64(served) / float64(max(sent, 1))
	}
	if at, elsewhere := share(cut), share(others); at < elsewhere*2/3 {
		c.t.Errorf("cut routers serve %.2f of their requests, the others %.2f", at, elsewhere)
	}
}

// check compares the answers with what ran.
func (c *cutClients) check() {
	runs := map[string]int{}
	for _, r := range c.replicas {
		for _, a := range r.Arrivals() {
			if a.Ran {
				runs[a.ID]++
			}
		}
	}
	served := 0
	for id, status := range c.answers {
		if status == http.StatusOK {
			served++
		}
		if !strings.HasPrefix(id, "book") {
			continue
		}
		if runs[id] > 1 {
			c.t.Errorf("%s ran %d times", id, runs[id])
		}
		if status == http.StatusServiceUnavailable && runs[id] > 0 {
			c.t.Errorf("%s was refused and has run", id)
		}
	}
	if served == 0 {
		c.t.Error("no request was served")
	}
}
