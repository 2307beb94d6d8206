package control

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"

	"wigeondale/fakes/engine"
	"wigeondale/fakes/fault"
	"wigeondale/fakes/kv"
	"wigeondale/fakes/relay"
	"wigeondale/fakes/service"
	"wigeondale/fakes/vms"
	"wigeondale/fakes/weights"
)

const maxBody = 1 << 20 // bytes

// Component is a fake with fault switches.
type Component interface {
	ID() string
	Addr() string
	Start() error
	Close()
	Fault(name string, args json.RawMessage) error
}

// Set is a configured set of fakes and their control listener.
type Set struct {
	KV       *kv.Server // nil if not configured, like VMs and Weights
	VMs      *vms.List
	Weights  *weights.Store
	Engines  []*engine.Engine
	Services []*service.Service

	relays     []*relay.Relay
	cfg        Config
	components []Component // in the order in which they start
	server     *fault.Server
	stopOnce   sync.Once
	stopped    chan struct{}
}

// New prepares a set of fakes. No fake listens before Start.
func New(cfg Config) (*Set, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	s := &Set{cfg: cfg, stopped: make(chan struct{})}
	s.server = fault.NewServer(cmp.Or(cfg.Control.Addr, anyPort), s.routes())
	s.addPlatform()
	s.addBackends()
	for _, r := range cfg.Relays {
		s.relays = append(s.relays, relay.New(r.ID, cmp.Or(r.Listen, anyPort), r.Target))
	}
	for _, r := range s.relays {
		s.components = append(s.components, r)
	}
	return s, nil
}

func (s *Set) addPlatform() {
	if c := s.cfg.KV; c != nil {
		s.KV = kv.New(cmp.Or(c.Addr, anyPort))
		s.components = append(s.components, s.KV)
	}
	if c := s.cfg.VMs; c != nil {
		s.VMs = vms.New(cmp.Or(c.Addr, anyPort), fault.Millis(c.LagMS))
		s.components = append(s.components, s.VMs)
	}
	if c := s.cfg.Weights; c != nil {
		s.Weights = weights.New(cmp.Or(c.Addr, anyPort), c.BytesPerSecond, c.Sizes)
		s.components = append(s.components, s.Weights)
	}
}

func (s *Set) addBackends() {
	var loader engine.Loader
	if s.Weights != nil {
		loader = s.Weights
	}
	for _, c := range s.cfg.allEngines() {
		c.Addr = cmp.Or(c.Addr, anyPort)
		c.VM = cmp.Or(c.VM, c.ID)
		e := engine.New(c, loader)
		s.Engines = append(s.Engines, e)
		s.components = append(s.components, e)
	}
	for _, c := range s.cfg.Services {
		c.Addr = cmp.Or(c.Addr, anyPort)
		c.VM = cmp.Or(c.VM, c.ID)
		b := service.New(c)
		s.Services = append(s.Services, b)
		s.components = append(s.components, b)
	}
}

// Start opens all listeners, the control listener last.
func (s *Set) Start() error {
	for _, c := range s.components {
		if err := c.Start(); err != nil {
			s.Close()
			return Error.Wrap(err)
		}
	}
	if s.VMs != nil {
		s.VMs.Seed(s.entries())
	}
	if err := s.server.Start(); err != nil {
		s.Close()
		return Error.Wrap(err)
	}
	return nil
}

// entries returns the entries of the VM list: engines, services and the extra entries. The
// fakes must have been started, since their addresses are known only then.
func (s *Set) entries() []vms.Entry {
	var out []vms.Entry
	for _, e := range s.Engines {
		c := e.Config()
		out = append(out, vms.Entry{
			ID: c.ID, VM: c.VM, Role: "engine", Addr: cmp.Or(c.Advertise, e.Addr()),
			FailureDomain: c.FailureDomain, ChecksFence: c.ChecksFence,
		})
	}
	for _, b := range s.Services {
		c := b.Config()
		out = append(out, vms.Entry{
			ID: c.ID, VM: c.VM, Role: "service", Addr: cmp.Or(c.Advertise, b.Addr()),
			FailureDomain: c.FailureDomain, Service: c.Service, ChecksFence: c.ChecksFence,
		})
	}
	return append(out, s.cfg.VMs.Extra...)
}

// Close stops all fakes and the control listener.
func (s *Set) Close() {
	for _, c := range slices.Backward(s.components) {
		c.Close()
	}
	s.server.Kill()
}

// Addr returns the address of the control listener.
func (s *Set) Addr() string { return s.server.Addr() }

// Stopped returns a channel that is closed by POST /control/stop.
func (s *Set) Stopped() <-chan struct{} { return s.stopped }

// Ports returns the address of each component by its id, and that of the control listener as
// "control".
func (s *Set) Ports() map[string]string {
	ports := map[string]string{"control": s.Addr()}
	for _, c := range s.components {
		ports[c.ID()] = c.Addr()
	}
	return ports
}

// Fault turns a switch of the component with the given id.
func (s *Set) Fault(id, name string, args json.RawMessage) error {
	for _, c := range s.components {
		if c.ID() == id {
			return c.Fault(name, args)
		}
	}
	return fault.ErrUnknown
}

// Record describes what all engines and services did.
type Record struct {
	Totals   Totals           `json:"totals"`
	Engines  []engine.Record  `json:"engines"`
	Services []service.Record `json:"services"`
}

// Totals sums the tokens of all engines and the requests of all services.
type Totals struct {
	Prefilled int `json:"prefilled"`
	Generated int `json:"generated"`
	Delivered int `json:"delivered"`
	Lookups   int `json:"lookups"`
	Bookings  int `json:"bookings"`
}

// Record collects the records of all engines and services.
func (s *Set) Record() Record {
	r := Record{Engines: []engine.Record{}, Services: []service.Record{}}
	for _, e := range s.Engines {
		record := e.Record()
		r.Engines = append(r.Engines, record)
		r.Totals.Prefilled += record.Prefilled
		r.Totals.Generated += record.Generated
		r.Totals.Delivered += record.Delivered
	}
	for _, b := range s.Services {
		record := b.Record()
		r.Services = append(r.Services, record)
		r.Totals.Lookups += record.Lookups
		r.Totals.Bookings += record.Bookings
	}
	return r
}

func (s *Set) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) })
	mux.HandleFunc("GET /control/totals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record().Totals) })
	mux.HandleFunc("GET /control/calls", s.getCalls)
	mux.HandleFunc("GET /control/ports", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Ports()) })
	mux.HandleFunc("POST /control/stop", s.postStop)
	mux.HandleFunc("POST /control/{component}/{fault}", s.postFault)
	return mux
}

func (s *Set) getCalls(w http.ResponseWriter, _ *http.Request) {
	calls := map[string]int64{}
	if s.KV != nil {
		calls = s.KV.Calls()
	}
	writeJSON(w, calls)
}

func (s *Set) postStop(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, true)
	http.NewResponseController(w).Flush()
	s.stopOnce.Do(func() { close(s.stopped) })
}

func (s *Set) postFault(w http.ResponseWriter, r *http.Request) {
	args, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = s.Fault(r.PathValue("component"), r.PathValue("fault"), args)
	}
	switch {
	case err == nil:
		writeJSON(w, true)
	case errors.Is(err, fault.ErrUnknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
