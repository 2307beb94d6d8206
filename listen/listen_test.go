package listen_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/listen"
	"wigeondale/settings"
)

func startServer(t *testing.T, h http.HandlerFunc) (*listen.Server, string, chan error) {
	t.Helper()
	cfg := listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, HeaderBytes: 4096, BodyBytes: 10}
	s, err := listen.New(cfg, h)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() { s.Close() })
	return s, s.Addr().String(), ended
}

// TestShutdownCutsNothing guards against callers getting a connection reset at a shutdown,
// after which they can't know whether their request ran. One request is running, and
// another is sent on an idle connection, when the shutdown starts. The server must close
// each connection after its next answer and not immediately.
func TestShutdownCutsNothing(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, addr, ended := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-release
		}
		io.WriteString(w, "whole")
	})
	slow, idle := dial(t, addr), dial(t, addr)
	slow.send(t, "/slow")
	<-entered
	idle.send(t, "/")
	idle.readAnswer(t)

	s.Drain()
	idle.send(t, "/")
	if resp := idle.readAnswer(t); !resp.Close {
		t.Error("the answer during the drain does not close its connection")
	}
	shut := make(chan error, 1)
	ctx := &doneSpy{Context: t.Context(), called: make(chan struct{})}
	go func() { shut <- s.Shutdown(ctx, time.Millisecond) }()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	// A Shutdown that returns before the request has ended did not wait for the request,
	// whether or not the request's connection is closed by now. A Shutdown that waits calls
	// ctx.Done in each round of its loop.
	ctx.armed.Store(true)
	select {
	case <-ctx.called:
	case err := <-shut:
		t.Fatalf("Shutdown returned while a request was running: %v", err)
	}
	close(release)
	slow.readAnswer(t)
	if err := <-shut; err != nil {
		t.Fatal(err)
	}
}

// doneSpy is a context that reports calls of Done, so that a test can see that Shutdown is
// still waiting: its loop calls Done in each iteration.
type doneSpy struct {
	context.Context
	armed  atomic.Bool
	once   sync.Once
	called chan struct{} // closed by the first call of Done after armed was set
}

func (a *doneSpy) Done() <-chan struct{} {
	if a.armed.Load() {
		a.once.Do(func() { close(a.called) })
	}
	return a.Context.Done()
}

type testClient struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testClient{c, bufio.NewReader(c)}
}

func (c *testClient) send(t *testing.T, path string) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func (c *testClient) readAnswer(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		t.Fatalf("got %q, %v", body, err)
	}
	return resp
}

// TestLimits checks that a header or body that is too large fails only its own request, not
// the listener.
func TestLimits(t *testing.T) {
	_, addr, _ := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	for body, want := range map[string]int{"ten bytes.": 200, "eleven bytes": 413} {
		resp, err := http.Post("http://"+addr, "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%q: got %d, want %d", body, resp.StatusCode, want)
		}
	}
	c := dial(t, addr)
	io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("long header: got %v, %v", resp, err)
	}
}
