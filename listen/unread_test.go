package listen_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

// unreadServer starts a server with a bound of connections. Its answers are longer than what the kernel takes for a client that
// doesn't read; that to /short is not.
func unreadServer(t *testing.T, conns int, pool *bounded.Pool) string {
	t.Helper()
	long := []byte(strings.Repeat("x", 16<<20))
	s, err := listen.New(listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, MaxConns: conns, Requests: pool}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			io.WriteString(w, "whole")
			return
		}
		listen.WriteHeld(w, r, long)
	}))
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return s.Addr().String()
}

// Guards against clients that don't read their answers and keep new connections out for as long as they like.
func TestUnreadAnswersEndForANewConnection(t *testing.T) {
	pool := bounded.NewPool(64<<20, "test", nil)
	addr := unreadServer(t, 2, pool)
	for range 2 {
		write(t, addr, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	awaitUsage(t, pool, 32<<20)
	for range 1000 {
		if resp, err := http.Get("http://" + addr + "/short"); err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no new connection is served")
}

// Guards against answers that a handler makes as a whole and that no memory accounts for while their clients don't read.
func TestWholeAnswersShareTheMemory(t *testing.T) {
	const memory, answer = 64 << 20, 16 << 20
	pool := bounded.NewPool(memory, "test", nil)
	addr := unreadServer(t, 8, pool)
	for range 8 {
		go func() {
			if resp, err := http.Get("http://" + addr); err == nil {
				<-t.Context().Done()
				resp.Body.Close()
			}
		}()
	}
	awaitUsage(t, pool, memory/2)
	if used, _ := pool.Usage(); used > memory+answer {
		t.Errorf("%d bytes are in use", used)
	}
}
