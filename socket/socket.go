// Package socket asks the operating system about a connection.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// holder is a connection that knows itself how many bytes it holds.
type holder interface{ Unacknowledged() (int, error) }

// Unacknowledged returns how many of the bytes written to c the other side has not acknowledged.
func Unacknowledged(c net.Conn) (n int, err error) {
	if h, ok := c.(holder); ok {
		return h.Unacknowledged()
	}
	ctl := control(c, func(fd int) { n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n, errors.Join(ctl, err)
}

// Failure returns the error that the operating system has for c and that no call has got yet, such as a reset; nil if there is none or it
// isn't known. It is returned once.
func Failure(c net.Conn) error {
	var pending int
	var err error
	ctl := control(c, func(fd int) { pending, err = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR) })
	if ctl != nil || err != nil || pending == 0 {
		return nil
	}
	return syscall.Errno(pending)
}

func control(c net.Conn, f func(fd int)) error {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
