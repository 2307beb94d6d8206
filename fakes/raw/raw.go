// Package raw is a fake server that answers with given bytes and ends its connections in the middle of them.
package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

// Server answers the requests of each connection with given bytes, in order, and then ends the connection.
type Server struct {
	// Answers are the answers on one connection. "{id}" in them stands for the value of the request's header IDHeader.
	Answers  []string
	IDHeader string
	// Later are the answers on each connection after the first, if there are any.
	Later []string
	// Reset makes the server reset its connections; otherwise it closes them.
	Reset bool

	ln net.Listener
}

// Start listens on loopback and returns the address.
func (s *Server) Start() (addr string, err error) {
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	go func() {
		answers := s.Answers
		for {
			conn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn), answers)
			if len(s.Later) > 0 {
				answers = s.Later
			}
		}
	}()
	return s.ln.Addr().String(), nil
}

// Close ends the listener.
func (s *Server) Close() { s.ln.Close() }

func (s *Server) serve(conn *net.TCPConn, answers []string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, answer := range answers {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil { // bytes that were not read would reset the connection
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(answer, "{id}", req.Header.Get(s.IDHeader))); err != nil {
			return
		}
	}
	if s.Reset {
		// An error leaves a close, which the test shows.
		_ = conn.SetLinger(0)
	}
}
