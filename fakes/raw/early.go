package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Early is a fake server that answers a request when it has read the request's head, and then ends the connection while
// the body is still being sent.
type Early struct {
	Answer   string // "{id}" in it stands for the value of the request's header IDHeader
	IDHeader string
	Delay    time.Duration // between the answer and the end
	// End ends the connection. in holds what has not been read of the request.
	End func(conn *net.TCPConn, in io.Reader)

	ln net.Listener
}

// ResetConn resets the connection.
func ResetConn(conn *net.TCPConn, _ io.Reader) {
	// An error leaves a close, which the test shows.
	_ = conn.SetLinger(0)
}

// EndAndReset returns a function that ends the answer's direction of the connection, and resets the connection after a time.
func EndAndReset(after time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, in io.Reader) {
		_ = conn.CloseWrite() // fails only if the client has closed the connection
		time.Sleep(after)
		ResetConn(conn, in)
	}
}

// HalfClose ends the answer's direction of the connection and reads on.
func HalfClose(conn *net.TCPConn, in io.Reader) {
	_ = conn.CloseWrite() // fails only if the client has closed the connection
	_, _ = io.Copy(io.Discard, in)
}

// KeepOpen reads on.
func KeepOpen(_ *net.TCPConn, in io.Reader) { _, _ = io.Copy(io.Discard, in) }

// Start listens on loopback and returns the address.
func (s *Early) Start() (addr string, err error) {
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s.ln.Addr().String(), nil
}

// Close ends the listener.
func (s *Early) Close() { s.ln.Close() }

func (s *Early) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	req, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(s.Answer, "{id}", req.Header.Get(s.IDHeader))); err != nil {
		return
	}
	time.Sleep(s.Delay)
	s.End(conn, in)
}
