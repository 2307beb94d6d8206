package directory

import "sync"

// Load is the load that requests put on a backend server.
type Load struct {
	Requests float64 `cbor:"1,keyasint,omitempty"` // in units of an ordinary request
	Reading  float64 `cbor:"2,keyasint,omitempty"` // tokens of prompts that are yet to be read
	Running  float64 `cbor:"3,keyasint,omitempty"` // runs that are generating tokens
	Memory   float64 `cbor:"4,keyasint,omitempty"` // tokens of runs and copies in memory
	// Spread is the variance of Memory where that is an estimate.
	Spread float64 `cbor:"5,keyasint,omitempty"`
	// Extra is the work of the requests beyond that of as many ordinary ones, in units of an ordinary
	// request. It is negative for light requests. Requests itself stays a count: what backend servers
	// ask for (package backpressure) is stated in requests.
	Extra float64 `cbor:"6,keyasint,omitempty"`
}

// Plus returns the sum of the loads l and o.
func (l Load) Plus(o Load) Load {
	return Load{l.Requests + o.Requests, l.Reading + o.Reading, l.Running + o.Running, l.Memory + o.Memory, l.Spread + o.Spread, l.Extra + o.Extra}
}

// Minus returns the load l less the load o.
func (l Load) Minus(o Load) Load {
	return Load{l.Requests - o.Requests, l.Reading - o.Reading, l.Running - o.Running, l.Memory - o.Memory, l.Spread - o.Spread, l.Extra - o.Extra}
}

// maxLoad bounds each field of a load that another router states. It is far above the load of an engine;
// Spread is a square.
const maxLoad = 1e12

const (
	// leastExtra is Extra of the lightest request: one counts as a quarter of an ordinary request.
	leastExtra = -0.75
	// extraRounding is by how much Extra of one request may be off, as it is counted in thousandths.
	extraRounding = 1.0 / milli
)

// Bounded reports whether all fields are plausible. A message with a load that is not is dropped: a
// negative load would make a full backend server seem idle, and one that is no number could not be
// subtracted again.
func (l Load) Bounded() bool {
	for _, v := range []float64{l.Requests, l.Reading, l.Running, l.Memory, l.Spread} {
		if !(v >= 0 && v <= maxLoad) {
			return false
		}
	}
	return l.Extra >= leastExtra*l.Requests-extraRounding*(l.Requests+1) && l.Extra <= maxLoad
}

// Share is one request's part of the load of its backend server. Its methods may be
// called by any goroutine.
type Share struct {
	record *record // nil for an unknown backend server, whose load is not counted

	mu    sync.Mutex
	load  Load
	ended bool
}

// Begin adds a request's load to a backend server. The load counts until End is called
// on the returned Share. For an unknown backend server nothing is counted.
func (d *Directory) Begin(id string, l Load) *Share {
	r := d.index.get(id)
	if r == nil {
		return &Share{}
	}
	r.addLocal(l)
	d.loads.markBusy(r)
	return &Share{record: r, load: l}
}

// Start adds one request whose cost is given in units of an ordinary request. The
// caller must call done when the request has ended; further calls of done do nothing.
func (d *Directory) Start(id string, cost float64) (done func()) {
	return d.Begin(id, Load{Requests: cost}).End
}

// LocalRequests returns how many requests of this router a backend server has, in units of an
// ordinary request.
func (d *Directory) LocalRequests(id string) float64 {
	if r := d.index.get(id); r != nil {
		return r.local.load().Requests
	}
	return 0
}

// Reading is the number of prompt tokens that a backend server has yet to read.
func (d *Directory) Reading(id string) float64 {
	if r := d.index.get(id); r != nil {
		return r.Reading()
	}
	return 0
}

// PrefillDone records that the request's prompt has been read and that it now generates
// tokens.
func (s *Share) PrefillDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record == nil || s.ended || s.load.Reading == 0 {
		return
	}
	change := Load{Reading: -s.load.Reading, Running: 1}
	s.load = s.load.Plus(change)
	s.record.addLocal(change)
}

// Resize replaces the memory that the request is expected to need, and its variance.
func (s *Share) Resize(memory, spread float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record == nil || s.ended {
		return
	}
	change := Load{Memory: memory - s.load.Memory, Spread: spread - s.load.Spread}
	s.load = s.load.Plus(change)
	s.record.resizeLocal(change)
}

// End removes the request's load; further calls do nothing.
func (s *Share) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.record == nil || s.ended {
		return
	}
	s.ended = true
	s.record.addLocal(Load{}.Minus(s.load))
}
