package bounded

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// endedConn is a connection whose reads find a clean end, and whose writes fail when failing is closed, or at their deadline.
type endedConn struct {
	net.Conn
	failing  chan struct{}
	failure  error
	begun    chan struct{} // closed when a write has begun
	deadline chan struct{} // closed when the writes' deadline has passed
	once     sync.Once     // closes deadline
}

func newEndedConn(failure error) *endedConn {
	return &endedConn{failing: make(chan struct{}), failure: failure, begun: make(chan struct{}), deadline: make(chan struct{})}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.begun)
	select {
	case <-c.failing:
		return 0, c.failure
	case <-c.deadline:
	}
	// The kernel's report may have come at the same moment.
	select {
	case <-c.failing:
		return 0, c.failure
	default:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

var connectionLosses = []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

// Guards against the loss of a connection that a failed write reports counting as the end of an answer, whether the write has
// returned before the read or not.
func TestLossThatAWriteReportsIsNoEnd(t *testing.T) {
	for _, failure := range connectionLosses {
		for _, returned := range []bool{false, true} {
			below := newEndedConn(failure)
			c := &Conn{Conn: below}
			written := make(chan error, 1)
			go func() {
				_, err := c.Write([]byte("body"))
				written <- err
			}()
			<-below.begun
			close(below.failing)
			if returned {
				<-written
			}
			if _, err := c.Read(make([]byte, 1)); err == io.EOF || !errors.Is(err, ErrEndUnconfirmed) || !errors.Is(err, failure) {
				t.Errorf("%v, returned %v: the read got %v", failure, returned, err)
			}
		}
	}
}

// Guards against a read that hangs because its peer has ended its answer and takes no more of the request, and against that
// end counting as a loss.
func TestEndDuringAWriteIsAnEnd(t *testing.T) {
	below := newEndedConn(nil)
	c := &Conn{Conn: below}
	go c.Write([]byte("body"))
	<-below.begun
	for range 2 {
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("got %v, want EOF", err)
		}
	}
	if _, err := c.Write([]byte("more")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a write after the end got %v", err)
	}
}

// answerAndReset accepts connections, answers the head of a request with a part of an answer without a length, and resets.
func answerAndReset(ln net.Listener, config *tls.Config) {
	for {
		tcp, err := ln.Accept()
		if err != nil {
			return
		}
		conn := tcp
		if config != nil {
			conn = tls.Server(tcp, config)
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(2 * time.Millisecond)
		}
		tcp.(*net.TCPConn).SetLinger(0)
		tcp.Close()
	}
}

// Guards against a part of an answer that counts as the whole when its connection is reset under an upload, in the clear and
// over TLS, whose end without a close_notify net/http takes for an end.
func TestAnswerResetUnderAnUploadIsNotWhole(t *testing.T) {
	const runs = 20
	tlsServer := httptest.NewUnstartedServer(nil)
	tlsServer.StartTLS()
	defer tlsServer.Close()
	for scheme, config := range map[string]*tls.Config{"http": nil, "https": tlsServer.TLS} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if config != nil {
			config = config.Clone()
			config.NextProtos = nil
		}
		go answerAndReset(ln, config)
		client := http.Client{Timeout: 20 * time.Second, Transport: NewTransport(&http.Transport{
			DisableKeepAlives: true, TLSClientConfig: tlsServer.Client().Transport.(*http.Transport).TLSClientConfig,
		})}
		whole := 0
		for range runs {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, scheme+"://"+ln.Addr().String(), bytes.NewReader(make([]byte, 8<<20)))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := client.Do(req)
			if err != nil {
				continue
			}
			if _, err := ReadAll(resp, 1<<20); err == nil {
				whole++
			}
			resp.Body.Close()
		}
		if whole > 0 {
			t.Errorf("%s: %d of %d count as whole", scheme, whole, runs)
		}
	}
}

// endEarly accepts connections, reads the head of a request, sends a part of an answer without a length, ends its direction, and calls then.
func endEarly(ln net.Listener, readFirst bool, then func(c *net.TCPConn, body io.Reader)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if readFirst {
				io.Copy(io.Discard, req.Body)
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
			conn.(*net.TCPConn).CloseWrite()
			then(conn.(*net.TCPConn), req.Body)
		}()
	}
}

func resetAfter(pause time.Duration) func(*net.TCPConn, io.Reader) {
	return func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(pause)
		c.SetLinger(0)
		c.Close()
	}
}

// Guards against a part of an answer that counts as the whole when its server ends its direction and then resets the connection under
// the upload, and against the loss of the answers of servers that end early and read on, or end after they have read.
func TestEndBeforeTheRequestIsTakenIsNoEnd(t *testing.T) {
	readOn := func(c *net.TCPConn, body io.Reader) {
		io.Copy(io.Discard, body)
		c.Close()
	}
	for name, c := range map[string]struct {
		readFirst bool
		then      func(*net.TCPConn, io.Reader)
		whole     bool
	}{
		"resets at once":      {then: resetAfter(0)},
		"resets soon":         {then: resetAfter(2 * time.Millisecond)},
		"resets late":         {then: resetAfter(150 * time.Millisecond)},
		"reads on":            {then: readOn, whole: true},
		"reads on later":      {then: func(c *net.TCPConn, body io.Reader) { time.Sleep(50 * time.Millisecond); readOn(c, body) }, whole: true},
		"has read":            {readFirst: true, then: func(c *net.TCPConn, _ io.Reader) { c.Close() }, whole: true},
		"has read, and stays": {readFirst: true, then: func(*net.TCPConn, io.Reader) {}, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go endEarly(ln, c.readFirst, c.then)
			client := http.Client{Timeout: 20 * time.Second, Transport: NewTransport(&http.Transport{DisableKeepAlives: true})}
			for range 20 {
				resp, err := client.Post("http://"+ln.Addr().String(), "text/plain", bytes.NewReader(make([]byte, 8<<20)))
				whole := false
				if err == nil {
					_, err = ReadAll(resp, 1<<20)
					whole = err == nil
					resp.Body.Close()
				}
				if whole != c.whole {
					t.Fatalf("whole: %v, want %v; %v", whole, c.whole, err)
				}
			}
		})
	}
}

// Guards against a wait for a server that has ended its answer and takes no more of the request, when the request is given up.
func TestWaitForTheRequestEndsWithIt(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan struct{})
	defer close(ended)
	go endEarly(ln, false, func(c *net.TCPConn, _ io.Reader) { <-ended; c.Close() })
	ctx, giveUp := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ln.Addr().String(), bytes.NewReader(make([]byte, 32<<20)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, giveUp)
	if _, err := ReadAll(resp, 1<<20); err == nil {
		t.Error("the answer counts as whole")
	}
}

// Guards against requests over HTTP/2 that wait for the end of another one's upload when their connection ends.
func TestEndOfAnHTTP2ConnectionIsFoundAtOnce(t *testing.T) {
	begun := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	base := server.Client().Transport.(*http.Transport).Clone()
	dialed := make(chan net.Conn, 1)
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		dialed <- c
		return c, err
	}
	transport := NewTransport(base)
	body, upload := io.Pipe()
	defer upload.Close()
	failed := make(chan error, 1)
	go func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, body)
		if err == nil {
			_, err = transport.RoundTrip(req)
		}
		failed <- err
	}()
	select {
	case <-begun:
	case err := <-failed:
		t.Fatal(err)
	}
	(<-dialed).(*net.TCPConn).CloseRead() // the client finds the end
	select {
	case err := <-failed:
		if err == nil {
			t.Error("answered")
		}
	case <-time.After(10 * time.Second):
		t.Error("the request waits")
	}
}

// Guards against a request that is still sent to a server that has ended the connection without a byte of an answer: it would count as
// one that may have run.
func TestRequestIsNotSentAfterAnEndWithoutAnAnswer(t *testing.T) {
	below := newEndedConn(nil)
	c := &Conn{Conn: below}
	c.track()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v, want EOF", err)
	}
	if _, err := c.Write([]byte("request")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the request is sent: %v", err)
	}
}
