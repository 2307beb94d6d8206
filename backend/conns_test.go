package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// connCounter counts the connections of a server.
type connCounter struct {
	mu           sync.Mutex
	opened, open int
}

// await waits until total connections have been opened, of which the given number is open.
func (c *connCounter) await(t *testing.T, total, open int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		gotTotal, gotOpen := c.opened, c.open
		c.mu.Unlock()
		if gotTotal == total && gotOpen == open {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections opened, %d open; want %d, %d", gotTotal, gotOpen, total, open)
		}
	}
}

// startCounted starts a server that answers with the request's path.
func startCounted(t *testing.T) (url string, counter *connCounter) {
	counter = &connCounter{}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { io.WriteString(w, req.URL.Path) }))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		counter.mu.Lock()
		defer counter.mu.Unlock()
		switch s {
		case http.StateNew:
			counter.opened++
			counter.open++
		case http.StateClosed:
			counter.open--
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.URL, counter
}

func exchange(t *testing.T, p *Conns, url, key string, verdict error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := p.RoundTrip(Exchange{Request: req, Key: key, Check: func(*http.Response) error { return verdict }})
	if !errors.Is(err, verdict) {
		t.Fatalf("got %v, want %v", err, verdict)
	}
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// Guards against a connection on which a key has been sent carrying it again, and against connections that pile up when
// they are opened only for that reason, or carry a great many requests.
func TestConnectionsAreChosenByKey(t *testing.T) {
	errOther := errors.New("answer to another request")
	for _, c := range []struct {
		name         string
		keys         []string
		last         error // verdict on the last answer
		opened, open int
	}{
		{"other keys share one", []string{"a", "b", "c"}, nil, 1, 1},
		{"no keys share one", []string{"", "", ""}, nil, 1, 1},
		{"a key comes back", []string{"a", "b", "a"}, nil, 2, 1},
		{"a key comes back often", []string{"a", "b", "a", "a", "a"}, nil, 4, 1},
		{"after an answer to another request", []string{"a", "b"}, errOther, 1, 0},
		{"after many requests", manyKeys(maxCarried + 1), nil, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			url, counter := startCounted(t)
			p := NewConns(DialConfig{Timeout: time.Second})
			defer p.CloseIdleConnections()
			for i, key := range c.keys {
				var verdict error
				if i == len(c.keys)-1 {
					verdict = c.last
				}
				exchange(t, p, url, key, verdict)
			}
			counter.await(t, c.opened, c.open)
		})
	}
}

func manyKeys(n int) (keys []string) {
	for i := range n {
		keys = append(keys, fmt.Sprint("k", i))
	}
	return keys
}
