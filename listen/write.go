package listen

import (
	"errors"
	"time"
)

// Write implements net.Conn.
func (n *conn) Write(p []byte) (int, error) {
	n.turn.end()
	for written := 0; ; {
		n.writingSince.Store(time.Now().UnixNano())
		k, err := n.Conn.Write(p[written:min(len(p), written+writePiece)])
		n.writingSince.Store(0)
		if written += k; err != nil || written >= len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the sending side. http.Server calls it before it closes a connection whose client may still be sending.
func (n *conn) CloseWrite() error {
	if tcp, ok := n.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}
