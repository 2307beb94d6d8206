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

const (
	// checkSlack is how much later than its deadline a call may end, and how much later than the call its connection, in
	// the time of a machine that is not busy. See within.
	checkSlack = 2 * time.Second
	// arrivalLimit bounds the time until the server has a request.
	arrivalLimit = 10 * time.Second
)

// within reports whether a condition becomes true within d, which it counts in turns of this process: on a busy machine
// each turn takes longer, for the call and its server too.
func within(d time.Duration, holds func() bool) bool {
	for range d / time.Millisecond {
		if holds() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return holds()
}

// callContext ends like one whose deadline has passed. Its deadline isn't known before the server has the request, so that
// the call has all of its time for the answer.
type callContext struct{ context.Context }

func (c callContext) Err() error {
	if c.Context.Err() == nil {
		return nil
	}
	return context.DeadlineExceeded
}

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

// Check starts a server of answer, and makes a call to it that has the given time for the answer. It returns an
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
	ctx, pass := context.WithCancelCause(context.Background())
	defer pass(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		call(callContext{ctx}, s.Addr())
	}()
	ended := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	if !within(arrivalLimit, func() bool { return ended() || s.Requests() > 0 }) {
		return errors.New("the request doesn't reach the server")
	}
	deadline := time.AfterFunc(limit, func() { pass(context.DeadlineExceeded) })
	defer deadline.Stop()
	var late, open, long error
	if !within(limit+checkSlack, ended) {
		late = errors.New("the call outlasts its deadline")
		s.Close()
		<-done
	}
	if !within(checkSlack, func() bool { return s.Open() == 0 }) {
		open = errors.New("the connection stays open")
	}
	if n := s.Sent(); n > most {
		long = fmt.Errorf("%d bytes were taken in, want at most %d", n, most)
	}
	return errors.Join(late, open, long)
}
