// Package listen runs one HTTP listener with limits on header, body and time,
// TLS from the settings, and a shutdown that cuts no request.
//
// A listener without limits is lost to one client that sends a header byte a
// minute, or a body without end: connections pile up until accept fails for
// everybody. The limits here are for all listeners. Answers have no common
// limit, since a generation streams for minutes; a handler that streams sets
// the deadline of each write itself.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("listen")

const (
	headerTimeout = 10 * time.Second  // whole header, from the first byte
	readTimeout   = 60 * time.Second  // header and body
	idleTimeout   = 120 * time.Second // between requests of a connection
)

// Config is one listener. BodyBytes of 0 is no limit here: the handler has its own.
type Config struct {
	settings.Listener
	HeaderBytes  int
	BodyBytes    int64
	WriteTimeout time.Duration // 0: the handler limits each write
}

// Server is one bound listener.
type Server struct {
	srv      *http.Server
	ln       net.Listener
	draining atomic.Bool
}

// New binds the address, so that a taken one is an error before Serve.
func New(cfg Config, handler http.Handler) (*Server, error) {
	tlsConfig, err := cfg.TLS.Config()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Server{ln: ln}
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

// Addr is the bound address.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve runs until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) {
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

// Drain asks clients to open their next request on another connection, and so
// through the balancer at another node. Open requests go on.
//
// Closing idle connections at once would cut a request that a client is
// sending on one at that moment: it would see a reset and could not tell
// whether it ran. Instead each answer from now on ends its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown drains, goes on accepting for notice (the time that a balancer
// needs to see the failing readiness), and then waits until the last request
// has ended. Only the end of ctx cuts requests; the daemon's has none.
// Connections taken over for WebSocket are their owner's to end.
func (s *Server) Shutdown(ctx context.Context, notice time.Duration) error {
	s.Drain()
	select {
	case <-time.After(notice):
	case <-ctx.Done():
	}
	return Error.Wrap(s.srv.Shutdown(ctx))
}

// Close drops the listener and its connections; for tests and failed starts.
func (s *Server) Close() error {
	err := s.ln.Close()
	return Error.Wrap(errors.Join(err, s.srv.Close()))
}

func (s *Server) wrap(next http.Handler, bodyBytes int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		if bodyBytes > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, bodyBytes)
		}
		next.ServeHTTP(w, r)
	})
}
