package fault

import (
	"net"
	"strconv"
	"testing"
	"time"

	"wigeondale/fakes/ports"
)

func listen(t *testing.T, l *Listener) net.Listener {
	t.Helper()
	ln, err := l.Start()
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// An HTTP server closes its listener when it notices a kill, which may be after the next
// Start. This late close must not close the new socket: otherwise a fake that was killed
// and started again refuses connections.
func TestLateCloseSparesTheNextStart(t *testing.T) {
	l := NewListener("127.0.0.1:0")
	defer l.Kill()
	first := listen(t, l)
	l.Kill()
	listen(t, l)
	first.Close()
	dial(t, l)
}

// A cut must act like a network partition: the connection stays open and bytes from either
// side don't arrive until Heal.
func TestCutHoldsBothDirections(t *testing.T) {
	l := NewListener("127.0.0.1:0")
	defer l.Kill()
	ln := listen(t, l)
	client := dial(t, l)
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.Cut()
	arrived := make(chan string, 2)
	pass := func(name string, from, to net.Conn) {
		go from.Write([]byte("x"))
		go func() {
			if _, err := to.Read(make([]byte, 1)); err == nil {
				arrived <- name
			}
		}()
	}
	pass("to the server", client, server)
	pass("to the client", server, client)
	select {
	case name := <-arrived:
		t.Fatalf("a byte passed the cut %s", name)
	case <-time.After(50 * time.Millisecond):
	}
	l.Heal()
	<-arrived
	<-arrived
}

// A listener must not use a port from the kernel's range for outgoing connections: while
// the listener is killed, an outgoing connection of any process can get the port. The next
// Start then fails with "address already in use", and the router that uses the fake is
// never ready.
func TestPortIsKeptOverAKill(t *testing.T) {
	l := NewListener("127.0.0.1:0")
	if _, err := l.Start(); err != nil {
		t.Fatal(err)
	}
	first := l.Address()
	_, text, err := net.SplitHostPort(first)
	if err != nil {
		t.Fatal(err)
	}
	if port, err := strconv.Atoi(text); err != nil || !ports.InRange(port) {
		t.Errorf("listens on %s, which the kernel may assign to an outgoing connection", first)
	}
	l.Kill()
	if _, err := l.Start(); err != nil || l.Address() != first {
		t.Errorf("started again on %s with %v, want %s", l.Address(), err, first)
	}
	l.Kill()
}
