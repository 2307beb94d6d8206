// Package listen runs an HTTP listener with limits on header, body and time, TLS
// from the settings, and a graceful shutdown that aborts no request.
//
// Without limits, one client that sends a header byte a minute, or an endless body,
// can block a listener: open connections accumulate until accept fails for all
// clients. The limits in this package apply to all listeners. There is no common
// limit for answers, because a generation may stream for minutes; a handler that
// streams sets the deadline of each write itself.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/clock"
	"wigeondale/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("listen")

const (
	headerTimeout = 10 * time.Second  // for the complete header, from its first byte
	readTimeout   = 60 * time.Second  // for header and body
	idleTimeout   = 120 * time.Second // between two requests of a connection
)

// Config configures one listener. If BodyBytes is 0, the listener sets no limit for bodies,
// and the handler sets its own.
type Config struct {
	settings.Listener
	HeaderBytes  int
	BodyBytes    int64
	WriteTimeout time.Duration // 0: the handler sets the deadline of each write
}

// Server serves HTTP on one bound address.
type Server struct {
	srv      *http.Server
	ln       net.Listener
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
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{ln: &onceClosed{Listener: ln}}
	s.srv = &http.Server{
		Handler:           s.wrap(handler, cfg.BodyBytes),
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      cfg.WriteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    cfg.HeaderBytes,
	}
	return s, nil
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
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return Error.Wrap(err)
}

func (s *Server) serve() error {
	if s.srv.TLSConfig != nil {
		return s.srv.ServeTLS(s.ln, "", "")
	}
	return s.srv.Serve(s.ln)
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
		s.open.Add(1)
		defer s.open.Add(-1)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if bodyBytes > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, bodyBytes)
		}
		next.ServeHTTP(w, r)
	})
}
