package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/endless"
	fakes "wigeondale/fakes/hosted"
)

// Guards against a stream that ends, or waits for its deadline, because a replica sends bytes without
// end in place of its answer or in the middle of it, at full speed or slowly: another replica must
// continue it. The requests must not be held back as ones that crash their replicas. On 8472d66
// a run of this file did not end within 8 minutes, and was ended by hand.
func TestStreamsOutliveAnswersWithoutEnd(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			const chunks = 20
			engines := f.startEngines(6, chunks, 5*time.Millisecond)
			n := f.startServingNode()
			for i, kind := range endless.All {
				bad := engines[i%len(engines)]
				bad.SetFaults(fakes.Faults{Endless: endless.Answer{Kind: kind, Gap: gap}})
				began := time.Now()
				var wg sync.WaitGroup
				for j := range 6 {
					wg.Go(func() { checkWholeStream(t, n, fmt.Sprint("q", i, "-", j), chunks) })
				}
				wg.Wait()
				if took := time.Since(began); took > 8*time.Second { // of 15 s that the client gives
					t.Errorf("%s: the streams took %v", kind, took)
				}
				bad.SetFaults(fakes.Faults{})
			}
			if held := n.guard.List(); len(held) > 0 {
				t.Errorf("held back: %v", held)
			}
		})
	}
}

// Guards against another answer than those promised for a request that runs at most once, whose replica
// answers without end: it may have run, so it gets a 502, or a 504 at its deadline, and a head that comes
// slowly ends before that. The loss must be found to be no crash. With the watch of heads (backend/head.go)
// taken out, the slow head gets a 504 at its deadline.
func TestBookingWithoutEndMayHaveRun(t *testing.T) {
	const slow = 5 * time.Millisecond
	for _, a := range []endless.Answer{
		{Kind: endless.StatusLine}, {Kind: endless.Interim}, {Kind: endless.Switched}, {Kind: endless.Length}, {Kind: endless.Chunks},
		{Kind: endless.HeaderLine, Gap: slow}, {Kind: endless.Switched, Gap: slow}, {Kind: endless.Chunks, Gap: slow},
	} {
		t.Run(fmt.Sprint(a.Kind, " ", a.Gap), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.startApp("a0", "d0").SetFaults(fakes.Faults{Endless: a})
			n := f.startServingNode()
			began := time.Now()
			status, body := n.get("/book/x", "q", key)
			if a.Kind == endless.Chunks && a.Gap > 0 {
				if status != http.StatusGatewayTimeout || time.Since(began) > 5*time.Second {
					t.Errorf("got %d %.60q after %v", status, body, time.Since(began))
				}
				return
			}
			if status != http.StatusBadGateway {
				t.Errorf("got %d %.60q", status, body)
			}
			await(t, "the examination", func() bool { return strings.Contains(n.metrics(), `wigeon_attempt_losses_total{found="working"} 1`) })
			if !strings.Contains(n.metrics(), `wigeon_attempt_losses_total{found="crash"} 0`) {
				t.Error("the loss counts as a crash")
			}
		})
	}
}

// metrics returns the page of metrics.
func (n *testNode) metrics() string {
	n.t.Helper()
	resp, err := http.Get("http://" + n.stats.Addr().String() + "/metrics")
	if err != nil {
		n.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	return string(data)
}
