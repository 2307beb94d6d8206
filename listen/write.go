package listen

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// unsentSince returns since when a write that began at a time has made no progress, or 0 if that is not long. A blocked write continues
// only when much of the send buffer is free, so that the bytes in the buffer show the progress.
func (n *conn) unsentSince(began int64, now time.Time) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if size := n.unsentBytes(); size != n.unsent || n.unsentAt < began {
		n.unsent, n.unsentAt = size, now.UnixNano()
	}
	if n.unsentAt > now.Add(-unreadTime).UnixNano() {
		return 0
	}
	return n.unsentAt
}

// unsentBytes returns the bytes in the send buffer that the client's system has not acknowledged, or 0 if they aren't known.
func (n *conn) unsentBytes() int {
	tcp, ok := n.raw.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	size := 0
	err = raw.Control(func(fd uintptr) { size, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return size
}
