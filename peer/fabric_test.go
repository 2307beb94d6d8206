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

// node is a mesh that runs behind a listener.
type node struct {
	*Mesh
	set    *metrics.Set
	cancel context.CancelFunc
	srv    *http.Server
	done   chan struct{}
	floods chan string
	links  chan string
}

// startNode builds a node, registers the kinds of the tests and runs it.
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
	HandleFlood(m, "panic", func(string, string) { panic("as asked") })
	HandleCall(m, "echo", func(_ context.Context, from, text string) (string, error) {
		if text == "panic" {
			panic("as asked")
		}
		if text == "fail" {
			return "", &RemoteError{CodeUser, "as asked"}
		}
		return from + ">" + m.cfg.ID + ":" + text, nil
	})
	HandleCall(m, "hang", func(ctx context.Context, _, _ string) (string, error) {
		n.floods <- "hang begun"
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

// forgetSeeds leaves a node only the members that it knows.
func (n *node) forgetSeeds() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = nil
}

// member returns what n believes of a node.
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
