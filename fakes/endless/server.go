package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// sendSpace limits the bytes that the kernel holds for the other side, so that the bytes sent are
// about those received.
const sendSpace = 16 << 10

// Server answers each request with an answer without end.
type Server struct {
	ln     net.Listener
	answer func(req *http.Request) Answer
	stop   chan struct{}
	sent   atomic.Int64
	open   atomic.Int64
	seen   atomic.Int64
	wg     sync.WaitGroup

	closeOnce sync.Once
}

// NewServer starts a server on a port of its own.
func NewServer(answer func(req *http.Request) Answer) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, answer: answer, stop: make(chan struct{})}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Sent returns the number of bytes that were sent on all connections.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Open returns the number of connections on which the other side still reads, and Requests that of
// the requests received.
func (s *Server) Open() int64     { return s.open.Load() }
func (s *Server) Requests() int64 { return s.seen.Load() }

// Close ends the server and its connections. It may be called twice.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	s.ln.Close()
	s.wg.Wait()
}

// Respond writes the answer in place of what w would send, until the other side closes the connection
// or stop is closed.
func (a Answer) Respond(w http.ResponseWriter, stop <-chan struct{}) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	defer closeAfter(conn, stop)()
	var sent atomic.Int64
	a.Write(conn, &sent, stop)
}

// closeAfter closes conn when stop is closed, so that a write that waits for space ends, until the
// returned function is called.
func closeAfter(conn net.Conn, stop <-chan struct{}) (done func()) {
	ended := make(chan struct{})
	go func() {
		select {
		case <-stop:
			conn.Close()
		case <-ended:
		}
	}()
	return func() { close(ended) }
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.open.Add(1)
		s.wg.Go(func() {
			defer s.open.Add(-1)
			defer conn.Close()
			s.serve(conn)
		})
	}
}

func (s *Server) serve(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendSpace) // a smaller buffer makes Sent exact, and nothing depends on it
	}
	defer closeAfter(conn, s.stop)()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	s.seen.Add(1)
	s.answer(req).Write(conn, &s.sent, s.stop)
}
