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

// Symptom: a stand-in that was killed and started refuses connections.
// Sequence: kill, start, and only then does the server of the first start
// close its listener.
// Cause: an HTTP server closes its listener whenever it notices the kill.
func TestLateCloseSparesTheNextStart(t *testing.T) {
	l := NewListener("127.0.0.1:0")
	defer l.Kill()
	first := listen(t, l)
	l.Kill()
	listen(t, l)
	first.Close()
	dial(t, l)
}

// Symptom: neither side of a connection hears the other, and it stays open.
// Sequence: cut; bytes sent from either side do not arrive; heal; they do.
// Cause: a network partition.
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

// Symptom: a stand-in that was killed can't be started again, "address already in
// use", and the router behind it is never ready. Sequence: it listens on a port that
// the kernel chose; it is killed; an outgoing connection of any process gets the
// port. Cause: the port was from the range of outgoing connections.
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
		t.Errorf("listens on %s, which the kernel may give to a connection", first)
	}
	l.Kill()
	if _, err := l.Start(); err != nil || l.Address() != first {
		t.Errorf("started again on %s with %v, want %s", l.Address(), err, first)
	}
	l.Kill()
}
