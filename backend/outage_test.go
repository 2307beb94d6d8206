package backend

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a connection that the kernel closes although its peer was unreachable for less than the outage that is
// to be borne. Once the user timeout has passed, the kernel closes it at the next probe after one without an answer.
func TestConnectionOutlivesAnOutage(t *testing.T) {
	const outage = 2 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := DialConfig{Timeout: time.Second, Outage: outage}.dialer().DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	idle, interval := option(t, conn, unix.TCP_KEEPIDLE, time.Second), option(t, conn, unix.TCP_KEEPINTVL, time.Second)
	userTimeout := option(t, conn, unix.TCP_USER_TIMEOUT, time.Millisecond)
	lastProbe := idle
	for lastProbe+interval < userTimeout {
		lastProbe += interval
	}
	if lastProbe-idle < outage || userTimeout < outage {
		t.Errorf("the first probe after %v, the last after %v, user timeout %v", idle, lastProbe, userTimeout)
	}
}

// option returns an option of a connection whose unit is given.
func option(t *testing.T, c net.Conn, name int, unit time.Duration) time.Duration {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var v int
	var errGet error
	if err := raw.Control(func(fd uintptr) { v, errGet = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil || errGet != nil {
		t.Fatal(err, errGet)
	}
	return time.Duration(v) * unit
}
