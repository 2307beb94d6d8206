package listen

import (
	"io"
	"net"
	"testing"
	"time"
)

// deadlines records the last read deadline of a connection.
type deadlines struct {
	net.Conn
	read time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.read = t
	return nil
}

// Guards against a connection over HTTP/2 that ends as an unfinished head, since a frame arrived while no request was open.
func TestFramesOfIdleConnectionSetNoDeadline(t *testing.T) {
	c, _ := net.Pipe()
	raw := &deadlines{Conn: c}
	n := newConn(raw, newClients(Config{}, nil), time.Now())
	n.multiplex()
	_ = n.SetReadDeadline(time.Time{}) // as the HTTP/2 server does
	for range 2 {
		if err := n.account([]byte("\x00\x00\x08\x06\x00\x00\x00\x00\x0012345678")); err != nil {
			t.Fatal(err)
		}
	}
	if !raw.read.IsZero() {
		t.Errorf("the read deadline is %v", raw.read)
	}
	if _, _, isIdle := n.activity(time.Now()); !isIdle {
		t.Error("the connection isn't idle")
	}
}

// Guards against a header block without an end that keeps its connection beyond the time for a header.
func TestOverdueHeaderBlockEndsItsConnection(t *testing.T) {
	c, peer := net.Pipe()
	n := newConn(c, newClients(Config{}, nil), time.Now())
	n.multiplex()
	for _, data := range []string{"\x00\x00\x02\x01\x00\x00\x00\x00\x01\x83", "\x84", "\x00\x00\x02\x09\x00\x00\x00\x00\x01\x83"} {
		if err := n.account([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	if left := time.Until(n.multi.blockBy); left > headerTimeout {
		t.Errorf("the block has %v left", left)
	}
	n.mu.Lock()
	n.multi.blockBy = time.Now()
	n.multi.late.Reset(0)
	n.mu.Unlock()
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

// Guards against a connection that ends as overdue although its header block is complete.
func TestCompleteHeaderBlockIsNotOverdue(t *testing.T) {
	c, _ := net.Pipe()
	n := newConn(c, newClients(Config{}, nil), time.Now())
	n.multiplex()
	for _, data := range []string{"\x00\x00\x02\x01\x00\x00\x00\x00\x01\x83", "\x84", "\x00\x00\x01\x09\x04\x00\x00\x00\x01", "\x87"} {
		if err := n.account([]byte(data)); err != nil {
			t.Fatal(err)
		}
	}
	if n.multi.late != nil || n.hold != nil {
		t.Error("the block is open")
	}
}
