package backend

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/endless"
	"wigeondale/fleet"
)

const (
	endlessDeadline = 400 * time.Millisecond
	// mostTaken bounds the bytes taken in of what is no answer, with the buffers of both sides.
	mostTaken = 700 << 10
)

// checkEnds makes a call to a server that answers without end.
func checkEnds(t *testing.T, a endless.Answer, call func(ctx context.Context, b fleet.Backend)) {
	t.Helper()
	if err := endless.Check(a, endlessDeadline, mostTaken, func(ctx context.Context, addr string) {
		call(ctx, fleet.Backend{ID: "e1", Addr: addr})
	}); err != nil {
		t.Errorf("%s: %v", a.Kind, err)
	}
}

// engineCalls are the calls of an engine, by name.
var engineCalls = map[string]func(c *Client, ctx context.Context, b fleet.Backend) error{
	"open": func(c *Client, ctx context.Context, b fleet.Backend) error {
		return readAll(c.Open(ctx, b, StartRequest{ID: "q", Attempt: 1, MaxTokens: 5}))
	},
	"attach": func(c *Client, ctx context.Context, b fleet.Backend) error {
		return readAll(c.Attach(ctx, b, StreamID{Request: "q", Attempt: 1}, 0))
	},
	"load": func(c *Client, ctx context.Context, b fleet.Backend) error { _, err := c.Load(ctx, b); return err },
	"events": func(c *Client, ctx context.Context, b fleet.Backend) error {
		_, err := c.CacheEvents(ctx, b, 0)
		return err
	},
	"cancel": func(c *Client, ctx context.Context, b fleet.Backend) error {
		_, err := c.Cancel(ctx, b, "q", 1)
		return err
	},
	"order": func(c *Client, ctx context.Context, b fleet.Backend) error {
		_, err := c.Order(ctx, b, OrderRequest{})
		return err
	},
}

// Guards against an engine that sends bytes without end in answer to any call: memory grows with
// them, or a health check never returns. On 8472d66 it fails at heads and comments at full speed, at
// a switched protocol of every call, and at bodies of 1 MB.
func TestEnginesWithoutEnd(t *testing.T) {
	for name, call := range engineCalls {
		for _, kind := range endless.All {
			for _, a := range []endless.Answer{{Kind: kind}, {Kind: kind, Gap: time.Millisecond}, {Kind: kind, Status: 503}} {
				t.Run(name+" "+string(kind), func(t *testing.T) {
					t.Parallel()
					checkEnds(t, a, func(ctx context.Context, b fleet.Backend) {
						err := call(NewClient(), ctx, b)
						if !errors.Is(err, ErrBroken) && !errors.Is(err, ErrMismatch) {
							t.Errorf("got %v", err)
						}
						if _, refused := errors.AsType[*Refused](err); refused || errors.Is(err, ErrNotSent) {
							t.Errorf("the request may have run, got %v", err)
						}
					})
				})
			}
		}
	}
}

// readAll reads a stream to its end. The end mark counts as an error of the test.
func readAll(s *Stream, err error) error {
	for err == nil {
		_, err = s.Next()
	}
	if s != nil {
		s.Close()
	}
	return err
}

// Guards against a plain service whose head never ends, or that switches the protocol, which leaves
// a connection that no deadline closes. On 8472d66 it fails: 10 MB are read, and a switched protocol
// is returned as an answer.
func TestServiceHeadsWithoutEnd(t *testing.T) {
	for _, kind := range append([]endless.Kind{endless.Switched}, endless.Heads...) {
		for _, gap := range []time.Duration{0, time.Millisecond} {
			checkEnds(t, endless.Answer{Kind: kind, Gap: gap}, func(ctx context.Context, b fleet.Backend) {
				resp, err := NewServiceClient().Do(ctx, b, Call{Method: http.MethodGet, Path: "/"})
				if err == nil {
					resp.Body.Close()
				}
				if !errors.Is(err, ErrBroken) {
					t.Errorf("%s: got %v", kind, err)
				}
			})
		}
	}
}

// Guards against a head that comes a byte at a time and lasts until the caller's deadline, although
// another server could answer: it must end well before the time for the first chunk (4 s), as a fault
// of the server. A server that is late with its head, and one that sends an interim answer first, are
// sound. On 8472d66 it fails: the slow head lasts until the deadline.
func TestSlowHeadEndsBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	for _, kind := range endless.Heads {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			err := endless.Check(endless.Answer{Kind: kind, Gap: 5 * time.Millisecond}, 20*time.Second, mostTaken, func(ctx context.Context, addr string) {
				began := time.Now()
				_, err := NewServiceClient().Do(ctx, fleet.Backend{Addr: addr}, Call{Method: http.MethodGet, Path: "/"})
				took := time.Since(began)
				if kind == endless.Interim { // ends by its number, since each of them may be a heartbeat
					if !errors.Is(err, ErrMismatch) || errors.Is(err, context.DeadlineExceeded) {
						t.Errorf("got %v after %v", err, took)
					}
					return
				}
				if took > maxHeadTime+time.Second || !errors.Is(err, ErrBroken) || !errors.Is(err, ErrUnfinished) {
					t.Errorf("got %v after %v", err, took)
				}
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	late := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(maxHeadTime * 3 / 4)
		w.WriteHeader(http.StatusEarlyHints)
		time.Sleep(maxHeadTime + time.Second) // more than 3 s
		w.WriteHeader(http.StatusOK)
	}))
	defer late.Close()
	resp, err := NewServiceClient().Do(t.Context(), fleet.Backend{Addr: late.Listener.Addr().String()}, Call{Method: http.MethodGet, Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against a heartbeat of one interim answer each second that ends a sound answer, and against
// an endless series that lasts.
func TestInterimHeartbeat(t *testing.T) {
	w := &headWatch{cancel: func(error) {}}
	w.firstByte()
	for i := range 26 {
		if err := w.gotInterim(http.StatusProcessing, nil); err != nil {
			t.Fatalf("interim answer %d: %v", i+1, err)
		}
	}
	if err := w.failure(context.DeadlineExceeded); errors.Is(err, ErrUnfinished) || w.timer.Stop() {
		t.Errorf("the wait after an interim answer counts as a head: %v", err)
	}
	large := http.Header{"Link": {strings.Repeat("x", 40<<10)}}
	w = &headWatch{}
	if err := w.gotInterim(103, textproto.MIMEHeader(large)); err != nil {
		t.Error(err)
	}
	if err := w.gotInterim(103, textproto.MIMEHeader(large)); !errors.Is(err, ErrMismatch) {
		t.Errorf("interim answers of 80 KB: got %v", err)
	}
	began := time.Now()
	err := endless.Check(endless.Answer{Kind: endless.Interim}, 20*time.Second, mostTaken, func(ctx context.Context, addr string) {
		if _, err := NewServiceClient().Do(ctx, fleet.Backend{Addr: addr}, Call{Method: http.MethodGet, Path: "/"}); !errors.Is(err, ErrMismatch) {
			t.Errorf("got %v", err)
		}
	})
	if err != nil || time.Since(began) > time.Second {
		t.Errorf("after %v: %v", time.Since(began), err)
	}
}

// Guards against a server that is not held responsible because the caller's deadline came first, and
// against one that is although nothing but the deadline speaks against it. On 8472d66 it fails: the
// two can't be distinguished.
func TestUnfinishedHeadAtTheDeadline(t *testing.T) {
	t.Parallel()
	for limit, want := range map[time.Duration]bool{unfinishedTime / 4: false, 2 * unfinishedTime: true} {
		err := endless.Check(endless.Answer{Kind: endless.HeaderLine, Gap: 5 * time.Millisecond}, limit, mostTaken, func(ctx context.Context, addr string) {
			_, err := NewServiceClient().Do(ctx, fleet.Backend{Addr: addr}, Call{Method: http.MethodGet, Path: "/"})
			if errors.Is(err, ErrUnfinished) != want || !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("after %v: got %v", limit, err)
			}
		})
		if err != nil {
			t.Error(err)
		}
	}
}
