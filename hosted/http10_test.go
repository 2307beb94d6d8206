package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// Guards against any end of an answer, at this node or at the one that runs it, that looks whole to a client of HTTP/1.0.
func TestNoEndOfAnHTTP10AnswerLooksWhole(t *testing.T) {
	const large = 6 << 20 // more than the buffers of a connection hold
	for _, hops := range []int{1, 2} {
		t.Run(fmt.Sprint(hops, " hops"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			engines := f.startEngines(2, 400, 10*time.Millisecond)
			startApp := func(id string) *fakes.Replica {
				return f.startReplica(&fakes.Replica{ID: id, Service: "app", Domain: "d0", LargeAnswer: large})
			}
			app := startApp("a0")
			n := f.startServingNodes(2)[0]
			served := func() bool { status, _ := n.get("/look/x", "warm", key); return status == http.StatusOK }
			if hops == 2 {
				n.replicaLinks.Set(fault.Resetting)
				await(t, "an answer through the other node", served)
			}
			for _, path := range []string{"/draft/x", "/look" + fakes.LargePath} {
				checkHTTP10End(t, n, "no end", path, large, func() {})
				checkHTTP10End(t, n, "deadline", path, large, func() { time.Sleep(2 * time.Second) })
				checkHTTP10End(t, n, "client that doesn't read", path, large, func() { time.Sleep(12 * time.Second) })
				checkHTTP10End(t, n, "replicas lost", path, large, func() {
					for _, e := range append(engines, app) {
						e.Crash()
					}
				})
				app = startApp("a1")
				await(t, "the other replica", served)
			}
		})
	}
}

// checkHTTP10End requests an answer, has it end when its head has arrived, and checks that it is whole if it looks so.
func checkHTTP10End(t *testing.T, n *testNode, name, path string, large int, end func()) {
	t.Helper()
	conn, err := net.Dial("tcp", n.front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: 1\r\nX-Attempt-Id: q\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 1500\r\nX-Token-Usage: 100,900\r\n\r\nq", path, fakes.Host, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // no answer looks like none
	}
	if resp.StatusCode == http.StatusOK {
		end()
	}
	body, err := io.ReadAll(resp.Body)
	want := fakes.CompleteResponse("q") + strings.Repeat("x", large)
	t.Logf("%s, %s: status %d, %d bytes, %v", name, path, resp.StatusCode, len(body), err)
	if resp.StatusCode == http.StatusOK && err == nil && string(body) != want {
		t.Errorf("%s, %s: %d of %d bytes look whole", name, path, len(body), len(want))
	}
	if stream := strings.HasPrefix(path, "/draft/"); stream && resp.StatusCode == http.StatusOK {
		t.Errorf("%s: a stream is served", name)
	}
}
