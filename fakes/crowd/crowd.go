// Package crowd is a crowd of clients that don't behave: they send heads, bodies or chunks that don't end, send nothing, or don't read
// their answers, and hold their connections open.
package crowd

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wigeondale/clock"
)

// MaxCount and MaxTime bound a crowd, which ends by itself after MaxTime.
const (
	MaxCount = 800
	MaxTime  = 45 * time.Second
)

const (
	// step is the size of one write, and stepGap the time between two writes of one client.
	step    = 16 << 10
	stepGap = 2 * time.Millisecond
	// endlessBytes bounds what a client sends of something that doesn't end. It is more than the largest legal body of one-byte chunks
	// takes.
	endlessBytes = 32 << 20
	// unreadSpace is the receive buffer of a client that doesn't read.
	unreadSpace = 4 << 10
	dialTimeout = 10 * time.Second
)

// Config describes a crowd.
type Config struct {
	Addr  string // host:port
	Kind  Kind
	Count int
	// Request has the lines of the clients' requests after the method, path and version, each with its line end. "{id}" in them and in
	// Path is replaced with a text that is different for each request. LargePath asks for a large answer.
	Path, LargePath, Request string
	// HeadBytes and BodyBytes are the largest legal sizes.
	HeadBytes, BodyBytes int
}

// Crowd is a crowd that runs.
type Crowd struct {
	end     context.CancelFunc
	clients sync.WaitGroup
	busy    atomic.Int64 // clients that still send
	open    atomic.Int64 // clients whose connections the other side has not closed
	sent    atomic.Int64 // bytes
}

// Start starts a crowd. Its clients connect at once.
func Start(cfg Config) (*Crowd, error) {
	if cfg.Count > MaxCount {
		return nil, errors.New("the crowd is too large")
	}
	s, err := scriptOf(cfg)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithTimeout(context.Background(), MaxTime)
	c := &Crowd{end: end}
	c.busy.Store(int64(cfg.Count))
	for i := range cfg.Count {
		c.clients.Go(func() { c.runClient(ctx, cfg.Addr, s, i) })
	}
	return c, nil
}

// Open returns the number of connections that the other side has not closed, and Sent the number of bytes that were sent.
func (c *Crowd) Open() int   { return int(c.open.Load()) }
func (c *Crowd) Sent() int64 { return c.sent.Load() }

// AwaitSent waits until no client has anything left to send, at most d.
func (c *Crowd) AwaitSent(d time.Duration) {
	for deadline := time.Now().Add(d); c.busy.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
}

// Stop ends all clients and waits for them.
func (c *Crowd) Stop() {
	c.end()
	c.clients.Wait()
}

func (c *Crowd) runClient(ctx context.Context, addr string, s script, i int) {
	sending := sync.OnceFunc(func() { c.busy.Add(-1) })
	defer sending()
	conn, err := dial(ctx, addr, s.unread)
	if err != nil {
		return // refused, or the crowd has ended
	}
	c.open.Add(1)
	closed := make(chan struct{})
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if s.unread {
		c.send(ctx, conn, s, i)
		sending()
		<-ctx.Done()
		conn.Close()
		c.open.Add(-1)
		return
	}
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn) // ends with the connection, or when the crowd ends
		c.open.Add(-1)
	}()
	c.send(ctx, conn, s, i)
	sending()
	<-ctx.Done()
	conn.Close()
	<-closed
}

// dial connects. A client that doesn't read has a small receive buffer.
func dial(ctx context.Context, addr string, unread bool) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if unread {
		d.Control = func(_, _ string, conn syscall.RawConn) error {
			var err error
			return errors.Join(conn.Control(func(fd uintptr) {
				err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadSpace))
			}), err)
		}
	}
	return d.DialContext(ctx, "tcp", addr)
}

// send sends a client's bytes until the other side closes the connection or the crowd ends.
func (c *Crowd) send(ctx context.Context, conn net.Conn, s script, client int) {
	for n := 0; ; n++ {
		out := s.piece(client, n)
		if len(out) == 0 {
			return
		}
		for len(out) > 0 {
			part := out[:min(len(out), step)]
			written, err := conn.Write(part)
			c.sent.Add(int64(written))
			if err != nil || !clock.Sleep(ctx, stepGap) {
				return
			}
			out = out[len(part):]
		}
	}
}
