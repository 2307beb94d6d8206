package listen

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"time"

	"wigeondale/bounded"
)

// encrypted is the connection below TLS. It accounts for a handshake while it arrives.
type encrypted struct {
	net.Conn
	n *conn
}

// Read implements net.Conn.
func (e encrypted) Read(p []byte) (int, error) {
	read, err := e.Conn.Read(p)
	if read == 0 {
		return 0, err
	}
	if accountErr := e.n.accountHandshake(read); accountErr != nil {
		return 0, accountErr
	}
	return read, err
}

// accountHandshake records encrypted bytes of an unfinished handshake. It has the limits of a head.
func (n *conn) accountHandshake(size int) error {
	n.mu.Lock()
	if n.phase != handshake {
		n.mu.Unlock()
		return nil
	}
	if n.received == 0 {
		now := time.Now()
		n.beginHead(now)
		n.phase = handshake
		_ = n.Conn.SetWriteDeadline(now.Add(n.clients.cfg.limits().HeaderTimeout)) // an error shows at the next write
	}
	n.received += size
	hold := n.hold
	n.mu.Unlock()
	hold.Received(int64(size))
	return hold.Grow(context.Background(), int64(size)*bounded.MemoryPerByte)
}

// shake completes the TLS handshake at the first read.
func (n *conn) shake() error {
	if n.tls == nil || n.shaken {
		return nil
	}
	if err := n.tls.Handshake(); err != nil {
		n.answerPlain(err)
		n.logHandshake(err)
		// http.Server closes the connection without an answer of its own after this type of error.
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	n.shaken = true
	_ = n.Conn.SetWriteDeadline(time.Time{}) // an error shows at the next write
	n.endRequest(idle)
	if n.tls.ConnectionState().NegotiatedProtocol == "h2" {
		n.multiplex()
	}
	return nil
}

// logHandshake logs a handshake that has failed, as http.Server does, unless the connection was given up.
func (n *conn) logHandshake(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.stopped {
		log.Printf("http: TLS handshake error from %s: %v", n.raw.RemoteAddr(), err)
	}
}

// answerPlain answers a client that speaks HTTP without TLS, as http.Server does.
func (n *conn) answerPlain(err error) {
	header, ok := errors.AsType[tls.RecordHeaderError](err)
	if !ok || header.Conn == nil {
		return
	}
	switch string(header.RecordHeader[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO":
		// An error means that the client has disconnected.
		_, _ = io.WriteString(n.raw, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
}
