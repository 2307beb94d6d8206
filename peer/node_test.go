package peer

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
)

var testKey = []byte("0123456789abcdef")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is a running mesh with its listener.
type node struct {
	*Mesh
	set    *metrics.Set
	cancel context.CancelFunc
	srv    *http.Server
	done   chan struct{}
	floods chan string
	links  chan string
}

// startNode creates a node, registers the handlers that the tests use and runs
// the node.
func startNode(t testing.TB, cfg Config, key []byte, l net.Listener) *node {
	t.Helper()
	set := metrics.NewSet()
	m, err := New(cfg, key, nil, set)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Mesh: m, set: set, cancel: cancel, done: make(chan struct{}), floods: make(chan string, 64), links: make(chan string, 64)}
	n.srv = &http.Server{Handler: m, ReadHeaderTimeout: time.Second}
	HandleFlood(m, "text", func(from, text string) { n.floods <- from + ":" + text })
	m.OnLink(func(id string) {
		select {
		case n.links <- id:
		default:
		}
	})
	HandleFlood(m, "panic", func(string, string) { panic("requested by the test") })
	HandleCall(m, "echo", func(_ context.Context, from, text string) (string, error) {
		if text == "panic" {
			panic("requested by the test")
		}
		if text == "fail" {
			return "", &RemoteError{CodeUser, "requested by the test"}
		}
		return from + ">" + m.cfg.ID + ":" + text, nil
	})
	HandleCall(m, "hang", func(ctx context.Context, _, _ string) (string, error) {
		n.floods <- "hang started"
		<-ctx.Done()
		return "", ctx.Err()
	})
	go n.srv.Serve(l)
	go func() {
		defer close(n.done)
		m.Run(ctx)
	}()
	return n
}

func (n *node) stop() {
	n.cancel()
	<-n.done
	n.srv.Close()
}

// clearSeeds removes all seeds, so that the node can only dial known members.
func (n *node) clearSeeds() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = nil
}

// member returns n's view of the node with the given id.
func (n *node) member(id string) Member {
	for _, m := range n.Members() {
		if m.ID == id {
			return m
		}
	}
	return Member{}
}

func (n *node) count(name string) uint64 {
	return n.set.GetOrCreateCounter(name).Get()
}
