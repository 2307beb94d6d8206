package peer

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/fault"
)

const testWait = 10 * time.Second // bound of a wait; no result depends on it

// streamMesh starts a mesh whose streams echo one message.
func streamMesh(t *testing.T, id string, key []byte) (*Mesh, string) {
	t.Helper()
	m, err := New(Config{ID: id, Addr: "127.0.0.1:1", FailureDomain: "d", MaxStreams: 1}, key, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	m.HandleStreams(func(ctx context.Context, s *Stream) {
		var v string
		if s.Receive(ctx, time.Second, &v) == nil {
			_ = s.Send(ctx, s.Node+" "+v)
		}
		_, _ = s.ReceiveBytes(ctx, 0) // until the other side closes
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.Run(ctx)
	}()
	srv := httptest.NewServer(m)
	t.Cleanup(func() { stop(); srv.CloseClientConnections(); srv.Close(); <-ended })
	for m.start(func() {}) == false {
		time.Sleep(time.Millisecond)
	}
	return m, strings.TrimPrefix(srv.URL, "http://")
}

// Guards against streams of processes that don't have the key, that reach another node than the one
// meant, or that are more than the node serves.
func TestStreamsAreAuthenticatedAndBounded(t *testing.T) {
	key, other := []byte(strings.Repeat("k", 32)), []byte(strings.Repeat("x", 32))
	_, addr := streamMesh(t, "n2", key)
	n1, _ := streamMesh(t, "n1", key)
	stranger, _ := streamMesh(t, "n3", other)
	if _, err := stranger.OpenStream(t.Context(), "n2", addr); !errors.Is(err, ErrNoRoute) {
		t.Errorf("a stream with another key: %v", err)
	}
	if _, err := n1.OpenStream(t.Context(), "n4", addr); !errors.Is(err, ErrNoRoute) {
		t.Errorf("a stream to another node: %v", err)
	}
	s, err := n1.OpenStream(t.Context(), "n2", addr)
	for end := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(end); {
		s, err = n1.OpenStream(t.Context(), "n2", addr) // the refused streams may not have ended yet
	}
	if err != nil {
		t.Fatal(err)
	}
	var v string
	if err := errors.Join(s.Send(t.Context(), "hello"), s.Receive(t.Context(), time.Second, &v)); err != nil || v != "n1 hello" {
		t.Errorf("got %q, %v", v, err)
	}
	if _, err := n1.OpenStream(t.Context(), "n2", addr); !errors.Is(err, ErrNoRoute) {
		t.Errorf("a stream too many: %v", err)
	}
	s.Close()
}

// Guards against a request that reaches another router after the stream that carried it was given up, since the kernel
// delivers it when the link between the two is back.
func TestMessageOfAClosedStreamIsNotDelivered(t *testing.T) {
	key := []byte(strings.Repeat("k", 32))
	n2, addr := streamMesh(t, "n2", key)
	received := make(chan error, 1)
	n2.HandleStreams(func(ctx context.Context, s *Stream) {
		_, err := s.ReceiveBytes(ctx, testWait)
		received <- err
	})
	n1, _ := streamMesh(t, "n1", key)
	links := fault.NewDialer()
	n1.cfg.Dial = links.DialContext
	s, err := n1.OpenStream(t.Context(), "n2", addr)
	if err != nil {
		t.Fatal(err)
	}
	links.Set(fault.Hanging)
	if err := s.Send(t.Context(), "request"); err != nil {
		t.Fatal(err)
	}
	s.Close()
	links.Set(fault.Connected)
	if err := <-received; err == nil {
		t.Error("the message was delivered")
	}
}
