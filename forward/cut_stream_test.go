package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/generation"
	"wigeondale/peer"
)

// cutProxy passes the bytes of one connection at a time on, and ends it after a number of bytes in one direction.
type cutProxy struct {
	ln       net.Listener
	to       string
	after    int  // bytes that pass
	requests bool // they are those of the request, not those of the answer
	reset    bool
	passed   [2]int // bytes of the latest connection: of the request, of the answer
	served   chan struct{}
}

func newCutProxy(t *testing.T, to string) *cutProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &cutProxy{ln: ln, to: to}
}

// serve passes on the next connection, and closes served when it has ended.
func (p *cutProxy) serve() {
	p.served = make(chan struct{})
	go func() {
		defer close(p.served)
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		server, err := net.Dial("tcp", p.to)
		if err != nil {
			return
		}
		defer server.Close()
		limits := [2]int{1 << 30, 1 << 30}
		limits[0] = p.limit(p.requests)
		limits[1] = p.limit(!p.requests)
		ended := make(chan struct{}, 2)
		pass := func(i int, dst, src net.Conn) {
			n, _ := io.CopyN(dst, src, int64(limits[i])) // the end of either side ends both
			p.passed[i] = int(n)
			ended <- struct{}{}
		}
		go pass(0, server, conn)
		go pass(1, conn, server)
		<-ended
		if p.reset {
			_ = errors.Join(conn.(*net.TCPConn).SetLinger(0), server.(*net.TCPConn).SetLinger(0)) // they are closed otherwise
		}
		conn.Close()
		server.Close()
		<-ended
	}()
}

func (p *cutProxy) limit(cut bool) int {
	if cut {
		return p.after
	}
	return 1 << 30
}

// startMesh starts a node that runs the streams of others with fn.
func startMesh(t *testing.T, id string, fn func(ctx context.Context, s *peer.Stream)) (*peer.Mesh, string) {
	t.Helper()
	key := []byte(strings.Repeat("k", 32))
	m, err := peer.New(peer.Config{ID: id, Addr: "127.0.0.1:1", FailureDomain: "d"}, key, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	m.HandleStreams(fn)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = m.Run(ctx)
	}()
	srv := httptest.NewServer(m)
	t.Cleanup(func() { stop(); srv.CloseClientConnections(); srv.Close(); <-ended })
	return m, strings.TrimPrefix(srv.URL, "http://")
}

// Guards against an answer through a second router that counts as whole although that router ended within its head or body, and
// against a request that counts as not run although the second router has run it.
func TestStreamCutAtAnyByteIsNotWhole(t *testing.T) {
	const chunks = 2
	var runs atomic.Int64
	_, addr := startMesh(t, "n2", func(ctx context.Context, s *peer.Stream) {
		New(Config{}).Serve(ctx, s.Node, s, runnerFunc(func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
			runs.Add(1)
			return answers(chunks)(ctx, req, sink)
		}))
	})
	n1, _ := startMesh(t, "n1", func(context.Context, *peer.Stream) {})
	proxy := newCutProxy(t, addr)
	proxyAddr := proxy.ln.Addr().String()
	f := New(Config{
		Routers: func(string) ([]Router, int) { return []Router{{ID: "n2"}}, 1 },
		Open:    func(ctx context.Context, to Router) (Conn, error) { return n1.OpenStream(ctx, to.ID, proxyAddr) },
	})
	// play passes one request on. It returns the chunks and the error at their end.
	play := func() (text string, err error) {
		proxy.serve()
		f.chooser = newChooser("d") // the router is not avoided after a cut
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		s, err := f.Forward(ctx, request(true))
		for err == nil {
			var tok backend.Token
			if tok, err = s.Next(); err == nil {
				text += string(tok.Text)
			}
		}
		if s != nil {
			if err == io.EOF && (s.Head() == nil || s.Head().Header.Get("X-Response-Seal") != "s") {
				t.Errorf("a whole answer has the head %+v", s.Head())
			}
			s.Close()
		}
		<-proxy.served
		return text, err
	}
	for { // a node that has not started yet opens no stream
		s, err := n1.OpenStream(t.Context(), "n2", addr)
		if err == nil {
			s.Close()
			break
		}
		time.Sleep(time.Millisecond)
	}
	proxy.after = 1 << 30
	if text, err := play(); text != "t3t4" || err != io.EOF {
		t.Fatalf("without a cut: %q, %v", text, err)
	}
	whole := proxy.passed
	for _, requests := range []bool{true, false} {
		bytes := whole[1]
		if requests {
			bytes = whole[0]
		}
		lost := 0
		for cut := range bytes {
			proxy.requests, proxy.after, proxy.reset = requests, cut, cut%2 == 0
			runs.Store(0)
			text, err := play()
			switch {
			case err == io.EOF && text != "t3t4":
				t.Errorf("requests %v, cut at byte %d of %d: %q counts as whole", requests, cut, bytes, text)
			case err != io.EOF:
				lost++
			}
			if errors.Is(err, backend.ErrNotSent) {
				time.Sleep(5 * time.Millisecond) // the second router may still begin
			}
			if errors.Is(err, backend.ErrNotSent) && runs.Load() > 0 {
				t.Errorf("requests %v, cut at byte %d of %d: the request has run and counts as not run: %v", requests, cut, bytes, err)
			}
		}
		if !requests && lost < bytes/2 {
			t.Errorf("%d of %d cut answers were lost", lost, bytes)
		}
		t.Logf("requests %v: %d of %d were lost", requests, lost, bytes)
	}
}
