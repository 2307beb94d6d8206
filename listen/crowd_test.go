package listen_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

// serve starts a server whose handler answers "whole" when it has read the body.
func serve(t *testing.T, cfg listen.Config) string {
	t.Helper()
	cfg.Listener = settings.Listener{Address: "127.0.0.1:0"}
	s, err := listen.New(cfg, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := bounded.ReadHeld(r.Context(), r.Body, r.ContentLength, 4<<20, listen.Hold(r)); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "whole")
	}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s.Addr().String()
}

// write sends text on a new connection, which stays open.
func write(t *testing.T, addr, text string) *testClient {
	t.Helper()
	c := dial(t, addr)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitUsage waits until a pool is in use by at least n bytes.
func awaitUsage(t *testing.T, p *bounded.Pool, n int64) {
	t.Helper()
	for range 10_000 {
		if used, _ := p.Usage(); used >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the pool is not in use")
}

// awaitFree waits until the pool is not in use.
func awaitFree(t *testing.T, p *bounded.Pool) {
	t.Helper()
	for range 10_000 {
		if used, _ := p.Usage(); used == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the pool stays in use")
}

// awaitEnd reads until the other side closes the connection.
func (c *testClient) awaitEnd(t *testing.T) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, err := io.ReadAll(c.r)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatal("the connection stays open")
	}
	return string(text)
}

const smallRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"

// Guards against idle connections that keep new ones out.
func TestIdleConnectionEndsForANewOne(t *testing.T) {
	pool := bounded.NewPool(16<<20, "test", nil)
	addr := serve(t, listen.Config{MaxConns: 4, Requests: pool})
	first := write(t, addr, smallRequest)
	first.readAnswer(t)
	awaitFree(t, pool) // its request has ended, so that it is idle for longer than all that follow
	for range 6 {
		write(t, addr, smallRequest).readAnswer(t)
	}
	first.awaitEnd(t)
}

// Guards against unfinished heads and bodies that keep new connections out.
func TestUnfinishedRequestEndsForANewConnection(t *testing.T) {
	pool := bounded.NewPool(16<<20, "test", nil)
	for name, text := range map[string]string{"head": "POST / HTTP/1.1\r\nHost: x\r\n", "body": strings.TrimSuffix(smallRequest, "y")} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, listen.Config{MaxConns: 4, Requests: pool})
			for range 4 {
				write(t, addr, text)
			}
			awaitUsage(t, pool, 1)
			for range 6 {
				write(t, addr, smallRequest).readAnswer(t)
			}
		})
	}
}

// Guards against an answer that is cut since its connection is closed for a new one.
func TestOpenAnswerIsNotCutForANewConnection(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s, err := listen.New(listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, MaxConns: 1}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		io.WriteString(w, "whole")
	}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	open := write(t, s.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	write(t, s.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n").awaitEnd(t)
	close(release)
	open.readAnswer(t)
}

// Guards against unfinished heads of many lines, whose parsed form takes many times their bytes, that keep the memory from other requests.
func TestHeadsOfManyLinesShareTheMemory(t *testing.T) {
	const memory = 4 << 20
	pool := bounded.NewPool(memory, "test", nil)
	addr := serve(t, listen.Config{HeaderBytes: 32 << 10, Requests: pool})
	lines := "GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", 4000)
	for range 40 {
		c := write(t, addr, lines)
		go io.Copy(io.Discard, c)
	}
	awaitUsage(t, pool, memory/2)
	for range 3 {
		write(t, addr, smallRequest).readAnswer(t)
	}
	if used, _ := pool.Usage(); used > 2*memory {
		t.Errorf("%d bytes are in use, want at most %d", used, 2*memory)
	}
}

// Guards against heads within the limits that are refused in calm, the largest ones and those that arrive together with the request before.
func TestLargestHeadsAreServed(t *testing.T) {
	addr := serve(t, listen.Config{HeaderBytes: 32 << 10, Requests: bounded.NewPool(4<<20, "test", nil)})
	many := "Host: x\r\n" + strings.Repeat("a:b\r\n", 6000)
	for name, fields := range map[string]string{
		"one line": "Host: x\r\nA: " + strings.Repeat("b", 31<<10) + "\r\n", "many lines": many,
		"many names": "Host: x\r\n" + names(3000),
	} {
		t.Run(name, func(t *testing.T) {
			c := write(t, addr, "GET / HTTP/1.1\r\n"+fields+"\r\n")
			c.readAnswer(t)
		})
	}
	c := write(t, addr, smallRequest+smallRequest+"GET / HTTP/1.1\r\n"+many+"\r\n"+smallRequest)
	for range 4 {
		c.readAnswer(t)
	}
}

func names(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "h%d:\r\n", i)
	}
	return b.String()
}

// Guards against clients within the limits of the configuration that meet smaller ones of the listener.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	limits := listen.ClientLimits{}
	cfg := listen.Config{HeaderBytes: 4096, Requests: bounded.NewPool(16<<20, "test", nil), ClientLimits: func() listen.ClientLimits { return limits }}
	long := "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	refused := write(t, serve(t, cfg), long)
	resp, err := http.ReadResponse(bufio.NewReader(refused.r), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %v, %v", resp, err)
	}
	limits.HeaderBytes = 32 << 10
	write(t, serve(t, cfg), long).readAnswer(t)
}
