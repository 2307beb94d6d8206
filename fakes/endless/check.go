package endless

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// checkSlack is how much later than its deadline a call may end, on a busy machine.
const checkSlack = 2 * time.Second

// Dial returns a function that opens connections for the clients of a server, for which the kernel holds about space
// bytes at most that the client hasn't read. The server counts these as sent.
func Dial(space int) func(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		return errors.Join(conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, space)
		}), err)
	}}
	return dialer.DialContext
}

// Check starts a server of answer, and makes a call to it that has the given time. It returns an
// error if the call doesn't end by its deadline, leaves its connection open, or has the client take
// in more than most bytes.
func Check(answer Answer, limit time.Duration, most int64, call func(ctx context.Context, addr string)) error {
	return CheckFunc(func(*http.Request) Answer { return answer }, limit, most, call)
}

// CheckFunc does the same for a server whose answer depends on the request.
func CheckFunc(answer func(*http.Request) Answer, limit time.Duration, most int64, call func(ctx context.Context, addr string)) error {
	s, err := NewServer(answer)
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		call(ctx, s.Addr())
	}()
	var late, open, long error
	select {
	case <-done:
	case <-time.After(limit + checkSlack):
		late = errors.New("the call outlasts its deadline")
		s.Close()
		<-done
	}
	for until := time.Now().Add(checkSlack); s.Open() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if s.Open() > 0 {
		open = errors.New("the connection stays open")
	}
	if n := s.Sent(); n > most {
		long = fmt.Errorf("%d bytes were taken in, want at most %d", n, most)
	}
	return errors.Join(late, open, long)
}
