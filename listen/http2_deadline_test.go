package listen

import (
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
