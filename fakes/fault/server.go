package fault

import (
	"net/http"
	"sync/atomic"
	"time"
)

const headerTimeout = 30 * time.Second

// Server is an HTTP server with the common fault switches.
type Server struct {
	Listener *Listener
	handler  http.Handler
	delayNS  atomic.Int64
}

// NewServer prepares a server of handler at addr.
func NewServer(addr string, handler http.Handler) *Server {
	return &Server{Listener: NewListener(addr), handler: handler}
}

// Start begins to serve, again after a Kill; a server that runs is only healed.
func (s *Server) Start() error {
	ln, err := s.Listener.Start()
	if err != nil || ln == nil {
		return err
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go srv.Serve(ln)
	return nil
}

// Kill resets all connections and refuses new ones until Start.
func (s *Server) Kill() { s.Listener.Kill() }

// Addr is the host:port that clients dial.
func (s *Server) Addr() string { return s.Listener.Address() }

// ServeHTTP implements http.Handler, after the delay of the switch slow.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d := time.Duration(s.delayNS.Load()); d > 0 {
		Sleep(r, d)
	}
	s.handler.ServeHTTP(w, r)
}

// Sleep waits for d or for the end of the request.
func Sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// Apply handles the faults that every HTTP stand-in shares: kill, start, cut,
// heal, freeze, thaw, slow {ms} and outage {on}. An outage resets and refuses
// connections as kill does, but the stand-in keeps its state.
func (s *Server) Apply(name string, args Args) error {
	switch name {
	case "kill":
		s.Kill()
	case "start":
		return s.Start()
	case "cut", "freeze":
		s.Listener.Cut()
	case "heal", "thaw":
		s.Listener.Heal()
	case "slow":
		s.delayNS.Store(int64(args.Duration()))
	case "outage":
		return s.outage(args.Enabled())
	default:
		return ErrUnknown
	}
	return nil
}

func (s *Server) outage(on bool) error {
	if !on {
		return s.Start()
	}
	s.Kill()
	return nil
}
