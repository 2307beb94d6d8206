package callerapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/generation"
)

// pipes is a listener whose connections are in memory, so that the fake clock
// goes on while both ends wait.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	p.conns <- there
	return here, nil
}

// Symptom: over HTTP/2 a stream is reset in the middle of its answer.
// Sequence: some tokens are flushed; the engine, or the one that goes on after
// it, is silent for longer than a write may wait.
// Cause: in HTTP/2 a passed write deadline resets the stream by itself, though
// nothing waits to be written; in HTTP/1.1 it only fails the next write.
func TestSilentStreamOutlivesWriteDeadline(t *testing.T) {
	for _, http2 := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ended := make(chan struct{})
			s := newServer(t, func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
				defer close(ended)
				tokens(sink, 0, "one ")
				sink.Flush()
				time.Sleep(2 * time.Minute)
				tokens(sink, 1, "two")
				return complete
			})
			var proto http.Protocols
			proto.SetUnencryptedHTTP2(http2)
			proto.SetHTTP1(!http2)
			ln := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
			srv := &http.Server{Handler: s, Protocols: &proto}
			go srv.Serve(ln)
			tr := &http.Transport{DialContext: ln.dial, Protocols: &proto}
			req, _ := http.NewRequest(http.MethodPost, "http://router/v1/completions", strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer sk-acme")
			resp, err := tr.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || !strings.Contains(string(got), `"two"`) {
				t.Errorf("%s: got %q, %v", resp.Proto, got, err)
			}
			resp.Body.Close()
			<-ended
			tr.CloseIdleConnections()
			close(ln.done)
			srv.Close()
		})
	}
}
