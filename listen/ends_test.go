package listen_test

import (
	"net/http"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

// Guards against requests that hold memory after their end: aborted ones, connections taken for another protocol, bodies that the handler
// doesn't read.
func TestEndedRequestsHoldNoMemory(t *testing.T) {
	pool := bounded.NewPool(16<<20, "test", nil)
	addr, client := encryptedServer(t, listen.Config{Requests: pool, BodyBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		if listen.Hold(r) == nil {
			t.Error("a handler sees no memory of its request")
		}
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/hijack":
			if _, _, err := http.NewResponseController(w).Hijack(); err != nil {
				t.Error(err)
			}
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	const post = "POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
	for name, text := range map[string]string{
		"aborted": "GET /abort HTTP/1.1\r\nHost: x\r\n\r\n", "hijacked": "GET /hijack HTTP/1.1\r\nHost: x\r\n\r\n",
		"unread body": post + "\r\n123456789",
	} {
		writeEncrypted(t, addr, client, text)
		awaitNoUsage(t, name, pool)
	}
	// The path /abort as a literal field.
	c := dialHTTP2(t, addr, client, frame(frameHeaders, endHeaders|endStream, 1, "\x82\x87\x41\x01x\x44\x06/abort"))
	c.readFrame(t, frameReset, 0)
	awaitNoUsage(t, "aborted over HTTP/2", pool)
}

// Guards against a client that awaits an interim answer before it sends a body, and gets no answer from a handler that reads none.
func TestInterimAnswerIsNotAwaited(t *testing.T) {
	s, err := listen.New(listen.Config{Listener: settings.Listener{Address: "127.0.0.1:0"}, BodyBytes: 99, Requests: bounded.NewPool(1<<20, "test", nil)}, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	c := write(t, s.Addr().String(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n")
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("got %v, %v", resp, err)
	}
}

// awaitNoUsage waits until requests have taken memory of a pool and given all back.
func awaitNoUsage(t *testing.T, name string, p *bounded.Pool) {
	t.Helper()
	for range 5000 {
		if used, _ := p.Usage(); used == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%s: memory is held", name)
}
