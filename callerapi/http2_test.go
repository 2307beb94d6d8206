package callerapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/generation"
)

// pipeListener is a listener with in-memory connections, so that the fake clock of
// synctest advances while both ends wait.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	p.conns <- serverEnd
	return clientEnd, nil
}

// TestSilentStreamOutlivesWriteDeadline guards against an HTTP/2 stream being reset in the
// middle of its answer. Some tokens are flushed, then the engine, or the engine that
// resumes its stream, is silent for longer than the write timeout. In HTTP/2 a passed write
// deadline resets the stream even if nothing is being written; in HTTP/1.1 it only fails
// the next write.
func TestSilentStreamOutlivesWriteDeadline(t *testing.T) {
	for _, http2 := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
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
			ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
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
