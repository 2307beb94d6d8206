package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/proxy"
)

// received is what a connection received until its end, and that end.
type received struct {
	data string
	err  error
}

func startServer(t *testing.T) (addr string, got <-chan received) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ended := make(chan received, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				data, err := io.ReadAll(c)
				ended <- received{string(data), err}
			}()
		}
	}()
	return ln.Addr().String(), ended
}

func start(t *testing.T) (*proxy.Proxy, backend.DialFunc) {
	p, err := proxy.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, backend.ProxyDial(p.Addr())
}

func dial(t *testing.T, d backend.DialFunc, addr string) net.Conn {
	c, err := d(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against a stand-in that delivers nothing, or what no kernel would deliver, after a cut.
func TestWhatIsDeliveredAfterACut(t *testing.T) {
	for _, resets := range []bool{false, true} {
		addr, got := startServer(t)
		p, d := start(t)
		c := dial(t, d, addr)
		end := p.Cut(proxy.Hanging, func(a string) bool { return a == addr })
		if _, err := c.Write([]byte("held")); err != nil {
			t.Fatal(err)
		}
		if resets {
			c.(interface{ SetLinger(int) error }).SetLinger(0)
		}
		c.Close()
		select {
		case r := <-got:
			t.Errorf("resets %v: delivered within the cut: %+v", resets, r)
		case <-time.After(100 * time.Millisecond):
		}
		end()
		r := <-got
		if !resets && (r.data != "held" || r.err != nil) {
			t.Errorf("closed: got %+v", r)
		}
		if resets && (r.data != "" || !errors.Is(r.err, syscall.ECONNRESET)) {
			t.Errorf("reset: got %+v", r)
		}
	}
}

// Guards against a cut that concerns other servers, or that answers a CONNECT.
func TestCutConcernsItsServersOnly(t *testing.T) {
	cutAddr, _ := startServer(t)
	addr, _ := startServer(t)
	p, d := start(t)
	p.Cut(proxy.Hanging, func(a string) bool { return a == cutAddr })
	dial(t, d, addr).Close()
	ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if _, err := d(ctx, "tcp", cutAddr); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("cut server: %v", err)
	}
}

// Guards against a refusal by a server that looks like an unreachable one, and the reverse.
func TestRefusedConnections(t *testing.T) {
	addr, _ := startServer(t)
	p, d := start(t)
	c := dial(t, d, addr)
	defer p.Cut(proxy.Resetting, func(string) bool { return true })()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection: %v", err)
	}
	if _, err := d(t.Context(), "tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection: %v", err)
	}
	p.Close()
	if _, err := d(t.Context(), "tcp", addr); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("without a proxy: %v", err)
	}
}
