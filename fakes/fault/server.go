package fault

import (
	"net/http"
	"sync/atomic"
	"time"

	"wigeondale/fakes/endless"
)

const headerTimeout = 30 * time.Second

// Server is an HTTP server with the common fault switches.
type Server struct {
	Listener *Listener
	handler  http.Handler
	delayNS  atomic.Int64
	endless  atomic.Pointer[endlessFault]
}

// endlessFault makes all answers endless until stop is closed.
type endlessFault struct {
	answer endless.Answer
	stop   chan struct{}
}

// NewServer prepares a server at addr that serves handler.
func NewServer(addr string, handler http.Handler) *Server {
	return &Server{Listener: NewListener(addr), handler: handler}
}

// Start starts the server, also after a Kill. If the server is running already, Start only
// ends its cuts, as Heal does.
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

// Addr returns the host:port that clients connect to.
func (s *Server) Addr() string { return s.Listener.Address() }

// ServeHTTP serves a request after the delay that the switch slow sets.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d := time.Duration(s.delayNS.Load()); d > 0 {
		Sleep(r, d)
	}
	if f := s.endless.Load(); f != nil {
		f.answer.Respond(w, f.stop)
		return
	}
	s.handler.ServeHTTP(w, r)
}

// Sleep waits for d, or until the request's context ends.
func Sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// Apply turns a switch that all HTTP fakes share: kill, start, cut, heal, freeze, thaw,
// slow {ms}, outage {on}, endless {on,kind,ms}, repeat {on}, which sends some answers twice, and
// cut-heads {on}, which closes connections within the heads of some answers. An outage resets and refuses connections like
// kill, but the fake keeps its state. With endless, each answer is one without end of the given kind,
// with ms between two bytes.
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
	case "endless":
		s.setEndless(args)
	case "repeat":
		s.Listener.SetRepeats(nil)
		if args.Enabled() {
			s.Listener.SetRepeats(RepeatSome())
		}
	case "cut-heads":
		s.Listener.SetHeadCuts(nil)
		if args.Enabled() {
			s.Listener.SetHeadCuts(CutSomeHeads())
		}
	case "outage":
		return s.outage(args.Enabled())
	default:
		return ErrUnknown
	}
	return nil
}

func (s *Server) setEndless(args Args) {
	var f *endlessFault
	if args.Enabled() {
		f = &endlessFault{endless.Answer{Kind: endless.Kind(args.Kind), Gap: args.Duration()}, make(chan struct{})}
	}
	if old := s.endless.Swap(f); old != nil {
		close(old.stop)
	}
}

func (s *Server) outage(on bool) error {
	if !on {
		return s.Start()
	}
	s.Kill()
	return nil
}
