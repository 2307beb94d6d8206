package linger

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"wigeondale/bounded"
)

// Guards against bytes that are delivered after their connection was closed, and against a reset, which may be lost, of a
// connection that holds nothing.
func TestOnlyConnectionsThatHoldBytesAreReset(t *testing.T) {
	for name, c := range map[string]struct {
		held, wrapped bool
		want          error
	}{
		"holds bytes": {true, false, syscall.ECONNRESET}, "holds none": {false, false, io.EOF},
		"wrapped, holds bytes": {true, true, syscall.ECONNRESET}, "wrapped, holds none": {false, true, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			client, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if c.wrapped {
				client = &bounded.Conn{Conn: client}
			}
			server, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			if c.held {
				fill(t, client)
			}
			if err := (Conn{client}).Close(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, server); c.want == io.EOF && err != nil || c.want != io.EOF && !errors.Is(err, c.want) {
				t.Errorf("the other side got %v, want %v", err, c.want)
			}
		})
	}
}

// fill writes until the other side, which doesn't read, takes no more.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for chunk := make([]byte, 1<<20); ; {
		if _, err := c.Write(chunk); err != nil {
			return
		}
	}
}
