package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/endless"
	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// Guards against answers without end that take all of a router's memory together, at the router that runs the requests and at the one
// that passed them on.
func TestAnswersWithoutEndShareTheMemoryOfTwoRouters(t *testing.T) {
	const requests = 60
	f := newFleet(t)
	app := f.startApp("a0", "d0")
	nodes := f.startServingNodes(2)
	nodes[0].replicaLinks.Set(fault.Resetting)
	time.Sleep(cutNoticed)
	app.SetFaults(fakes.Faults{Endless: endless.Answer{Kind: endless.Chunks}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				path := []string{"/book/x", "/look/x"}[i%2]
				if status, _ := nodes[0].get(path, fmt.Sprint("q", i), key); status == 0 || status == http.StatusOK {
					t.Errorf("%s: status %d", path, status)
				}
			})
		}
		all.Wait()
	}()
	most := nodes[0].set.Limits.AnswersBytes() + 16<<20 + requests*(16<<10)
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(time.Millisecond):
		}
		for _, n := range nodes {
			if used, _ := n.answers.Usage(); used > most {
				t.Fatalf("%s holds %d bytes, want at most %d", n.set.Node.ID, used, most)
			}
		}
	}
	for _, n := range nodes {
		await(t, "free memory", func() bool { used, waiting := n.answers.Usage(); return used == 0 && waiting == 0 })
	}
}
