package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/goleak"
)

var testKey = []byte("0123456789abcdef")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fabric is a network in memory, for bubbles of synctest. A connection that was
// open while its direction was cut stays silent for ever, without being closed.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	cuts      map[[2]string]bool
	conns     []*pipeConn
}

func newFabric() *fabric {
	return &fabric{listeners: make(map[string]*pipeListener), cuts: make(map[[2]string]bool)}
}

// cut stops the bytes that go from one address to another.
func (f *fabric) cut(from, to string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]string{from, to}] = on
	for _, c := range f.conns {
		if on && c.from == from && c.to == to {
			c.mute()
		}
	}
}

// isolate cuts an address from and to all others, or heals that.
func (f *fabric) isolate(addr string, on bool) {
	f.mu.Lock()
	others := make([]string, 0, len(f.listeners))
	for a := range f.listeners {
		others = append(others, a)
	}
	f.mu.Unlock()
	for _, a := range others {
		f.cut(addr, a, on)
		f.cut(a, addr, on)
	}
}

func (f *fabric) dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, hostPort string) (net.Conn, error) {
		to, _, _ := strings.Cut(hostPort, ":")
		f.mu.Lock()
		l := f.listeners[to]
		silent := f.cuts[[2]string{from, to}] || f.cuts[[2]string{to, from}]
		f.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		if silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		a, b := net.Pipe()
		out, in := &pipeConn{Conn: a, from: from, to: to}, &pipeConn{Conn: b, from: to, to: from}
		f.mu.Lock()
		f.conns = append(f.conns, out, in)
		f.mu.Unlock()
		select {
		case l.accepts <- in:
			return out, nil
		case <-l.closed:
			return nil, errors.New("connection refused")
		}
	}
}

// pipeConn swallows what is written once its direction has been cut.
type pipeConn struct {
	net.Conn
	from, to string
	mu       sync.Mutex
	muted    bool
}

func (c *pipeConn) mute() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.muted = true
}

func (c *pipeConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	muted := c.muted
	c.mu.Unlock()
	if muted {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

type pipeListener struct {
	f       *fabric
	addr    string
	accepts chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (f *fabric) listen(addr string) *pipeListener {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &pipeListener{f: f, addr: addr, accepts: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[addr] = l
	return l
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.f.mu.Lock()
		defer l.f.mu.Unlock()
		if l.f.listeners[l.addr] == l {
			delete(l.f.listeners, l.addr)
		}
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

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
	Handle(m, "text", func(from, text string) { n.floods <- from + ":" + text })
	m.OnLink(func(id string) {
		select {
		case n.links <- id:
		default:
		}
	})
	HandleCall(m, "echo", func(_ context.Context, from, text string) (string, error) {
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
