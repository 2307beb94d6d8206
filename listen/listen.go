// Package listen runs an HTTP listener with limits on header, body and time, TLS
// from the settings, and a graceful shutdown that aborts no request.
//
// Without limits, one client that sends a header byte a minute, or an endless body,
// can block a listener: open connections accumulate until accept fails for all
// clients. The limits in this package apply to all listeners. There is no common
// limit for answers, because a generation may stream for minutes; a handler that
// streams sets the deadline of each write itself.
//
// The limits of one request don't bound what a crowd of clients holds. Therefore all requests of a listener share a bounded memory,
// its connections have a bound, and small receive buffers bound what the kernel holds for them. When one of these is used up, an
// idle connection or the request that arrives most slowly is given up, and not a new one.
package listen

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/bounded"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("listen")

const (
	headerTimeout = 10 * time.Second  // for the complete header, from its first byte
	readTimeout   = 60 * time.Second  // for header and body
	idleTimeout   = 120 * time.Second // between two requests of a connection
)

// headSlack is how much longer than the limit a head may be, as in http.Server, which reads it through a buffer of this size.
const headSlack = 4096

// maxStreams is the number of concurrent requests on an HTTP/2 connection.
const maxStreams = 100

// Config configures one listener. If BodyBytes is 0, the listener sets no limit for bodies,
// and the handler sets its own.
type Config struct {
	settings.Listener
	Name         string // in metrics and log lines
	HeaderBytes  int
	BodyBytes    int64
	WriteTimeout time.Duration // 0: the handler sets the deadline of each write
	MaxConns     int           // open at once; 0: no bound
	SparePlaces  int           // for TakePlace, beyond MaxConns
	ReceiveBytes int           // receive buffer of a connection that sends no long request; 0: the system's default
	// Requests bounds the memory of all requests while they arrive and are handled. It may be nil.
	Requests *bounded.Pool
	// Answers is the memory of the answers that this listener's clients read. While answers wait for it, a connection whose client doesn't
	// read is closed. It may be nil.
	Answers *bounded.Pool
	// ClientLimits, if set, returns what the configuration in force allows clients. Values above those of the listener count.
	ClientLimits func() ClientLimits
	Log          *event.Log   // may be nil
	Metrics      *metrics.Set // may be nil
}

// ClientLimits are limits of what a client may send, and of its time for it. A zero field sets none.
type ClientLimits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// limits returns the limits in force.
func (c Config) limits() ClientLimits {
	out := ClientLimits{HeaderBytes: cmp.Or(c.HeaderBytes, http.DefaultMaxHeaderBytes), HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if c.ClientLimits == nil {
		return out
	}
	l := c.ClientLimits()
	out.HeaderBytes = min(max(out.HeaderBytes, l.HeaderBytes), http.DefaultMaxHeaderBytes)
	out.HeaderTimeout = max(out.HeaderTimeout, l.HeaderTimeout)
	out.IdleTimeout = max(out.IdleTimeout, l.IdleTimeout)
	return out
}

// Server serves HTTP on one bound address.
type Server struct {
	srv      *http.Server
	ln       net.Listener
	clients  *clients
	draining atomic.Bool
	open     atomic.Int64 // requests
}

// New binds the address of a listener, so that an address that is in use is reported
// before Serve.
func New(cfg Config, handler http.Handler) (*Server, error) {
	tlsConfig, err := cfg.TLS.Config()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ln, err := listenTCP(cfg.Address, cfg.ReceiveBytes)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	if tlsConfig != nil {
		tlsConfig.NextProtos = []string{"h2", "http/1.1"}
		protocols.SetUnencryptedHTTP2(true) // conn decrypts
	}
	s := &Server{clients: newClients(cfg, tlsConfig)}
	s.ln = &onceClosed{Listener: acceptor{ln, s.clients}}
	s.srv = &http.Server{
		Handler:           s.wrap(handler, cfg.BodyBytes),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      cfg.WriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    cfg.HeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrameBytes,
			MaxReceiveBufferPerConnection: windowBytes, MaxReceiveBufferPerStream: windowBytes,
		},
		ConnContext: connContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			if n, ok := c.(*conn); ok {
				n.setState(state)
			}
		},
	}
	if cfg.ClientLimits != nil {
		s.srv.MaxHeaderBytes = http.DefaultMaxHeaderBytes // conn applies the limit in force
	}
	return s, nil
}

// listenTCP binds an address. Accepted connections inherit the receive buffer, which has to be known before their first window is
// advertised.
func listenTCP(addr string, receiveBytes int) (net.Listener, error) {
	var lc net.ListenConfig
	if receiveBytes > 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			return errors.Join(raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			}), err)
		}
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

// onceClosed is a listener that Shutdown closes before http.Server does.
type onceClosed struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceClosed) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Addr returns the bound address.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve serves until Shutdown is called, and then returns nil.
func (s *Server) Serve() error {
	err := s.srv.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Drain makes clients send their next request on a new connection, and so through the load
// balancer to another node. Open requests continue.
//
// Closing idle connections immediately would abort a request that a client is just sending
// on such a connection: the client would get a reset and could not know whether the request
// ran. Instead, every answer from now on closes its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown calls Drain, keeps accepting connections for the duration of notice (the time that
// a load balancer needs to notice the failing readiness probe), and then waits until the
// last request has ended. Until then a request on a connection that was idle is answered too. If ctx ends earlier, Shutdown returns while requests are still
// running, and these may then be aborted; the daemon passes a ctx that doesn't end.
// Connections hijacked for WebSocket must be closed by the code that hijacked them.
func (s *Server) Shutdown(ctx context.Context, notice time.Duration) error {
	s.Drain()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	// Serve returns, and the error says no more.
	_ = s.ln.Close()
	for s.open.Load() > 0 && clock.Sleep(ctx, drainPoll) {
	}
	return Error.Wrap(s.srv.Shutdown(ctx))
}

// drainPoll is how often Shutdown checks whether the open requests have ended.
const drainPoll = 10 * time.Millisecond

// Close closes the listener and its connections at once. It is meant for tests and
// failed starts.
func (s *Server) Close() error {
	err := s.ln.Close()
	return Error.Wrap(errors.Join(err, s.srv.Close()))
}

func (s *Server) wrap(next http.Handler, bodyBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open := s.open.Add(1)
		defer s.open.Add(-1)
		if s.draining.Load() || s.clients.crowded() {
			w.Header().Set("Connection", "close")
		}
		// Requests of closed connections end a little later, and each may have a connection to a backend server.
		if most := s.clients.cfg.MaxConns; most > 0 && open > int64(most) {
			s.clients.countDrop(reasonFull)
			refuse(w)
			return
		}
		r = r.WithContext(r.Context()) // http.Server looks at the body of its own request, to see whether the client awaits an interim answer
		if bodyBytes > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, bodyBytes)
		}
		end, ok := s.begin(w, r)
		if !ok {
			refuse(w)
			return
		}
		aborted := true
		defer func() { end(aborted) }()
		if CanStream(r) {
			next.ServeHTTP(w, r)
		} else {
			framed, complete := frame(w, r)
			next.ServeHTTP(framed, r)
			complete()
		}
		aborted = false
	})
}

// refuse answers a request that has not run for want of memory.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.Itoa(int(memoryWait.Seconds())))
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(http.StatusServiceUnavailable), http.StatusServiceUnavailable)
}
