// Package service is a stand-in for a plain HTTP service beside the engines:
// lookups that may be repeated and bookings whose executions are counted.
package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"wigeondale/fakes/fault"
)

// Error is the class of this package's errors.
var Error = errs.Class("fake service")

const (
	maxBody         = 1 << 20 // bytes
	requestIDHeader = "X-Request-Id"
)

// Config describes one replica of a service.
type Config struct {
	ID            string `json:"id"`
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Addr          string `json:"addr"`
	Advertise     string `json:"advertise"` // address in the VM list, if not its own
	Service       string `json:"service"`
	ChecksFence   bool   `json:"checks_fence"`
}

// Answer is the body of each answer. It names the request that it belongs to.
type Answer struct {
	Service   string `json:"service"`
	Backend   string `json:"backend"`
	RequestID string `json:"request_id"`
	Key       string `json:"key,omitempty"`   // of a lookup
	Value     string `json:"value,omitempty"` // of a lookup: digest of the key
	Body      string `json:"body,omitempty"`  // of a booking: digest of the body
	Booking   int    `json:"booking,omitempty"`
}

// Record counts what one replica executed.
type Record struct {
	Service   string         `json:"service"`
	Backend   string         `json:"backend"`
	Lookups   int            `json:"lookups"`
	Bookings  int            `json:"bookings"`
	ByRequest map[string]int `json:"by_request"` // bookings by X-Request-Id
	ByBody    map[string]int `json:"by_body"`    // bookings by digest of the body
}

// Service is one replica.
type Service struct {
	cfg    Config
	server *fault.Server

	mu     sync.Mutex
	record Record
	closes int // how many further requests are read and executed, then closed
	lates  int // how many further answers are late
	late   time.Duration
	cross  int // how many further answers are another request's
	last   Answer
}

// New prepares a replica.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	s.record = Record{
		Service:   cfg.Service,
		Backend:   cfg.ID,
		ByRequest: make(map[string]int),
		ByBody:    make(map[string]int),
	}
	s.last = Answer{Service: cfg.Service, Backend: cfg.ID, RequestID: "another-request", Key: "another-key"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lookup/{key}", s.lookup)
	mux.HandleFunc("POST /book", s.book)
	s.server = fault.NewServer(cfg.Addr, mux)
	return s
}

// ID is the backend id.
func (s *Service) ID() string { return s.cfg.ID }

// Addr is the replica's own address.
func (s *Service) Addr() string { return s.server.Addr() }

// Config returns the configuration.
func (s *Service) Config() Config { return s.cfg }

// Start begins to serve.
func (s *Service) Start() error { return Error.Wrap(s.server.Start()) }

// Close ends the replica.
func (s *Service) Close() { s.server.Kill() }

// Digest is the form in which bodies and keys are shown.
func Digest(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

// Record returns a copy of the counts. They survive kill and start.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.ByRequest = maps.Clone(r.ByRequest)
	r.ByBody = maps.Clone(r.ByBody)
	return r
}

// Fault turns a switch: close-after-read {n} executes the next n requests and
// closes with no answer; late {ms,n} delays the next n answers; cross {n} gives
// the next n requests the answer of another; and the common ones.
func (s *Service) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case "close-after-read":
		s.closes = args.Times()
	case "late":
		s.late, s.lates = args.Duration(), args.Times()
	case "cross":
		s.cross = args.Times()
	default:
		return s.server.Apply(name, args)
	}
	return nil
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	a := s.answer(r)
	a.Key, a.Value = key, Digest([]byte(key))
	s.mu.Lock()
	s.record.Lookups++
	s.mu.Unlock()
	s.reply(w, r, a)
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "unreadable body", http.StatusBadRequest)
		return
	}
	if bytes.Contains(body, []byte(fault.CrashMark)) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	a := s.answer(r)
	a.Body = Digest(body)
	s.mu.Lock()
	s.record.Bookings++
	a.Booking = s.record.Bookings
	s.record.ByRequest[a.RequestID]++
	s.record.ByBody[a.Body]++
	s.mu.Unlock()
	s.reply(w, r, a)
}

// crash ends the replica for a while.
func (s *Service) crash() {
	s.server.Kill()
	time.AfterFunc(fault.RestartDelay, func() {
		if err := s.server.Start(); err != nil {
			panic(err) // the stand-in's own address is taken
		}
	})
}

func (s *Service) answer(r *http.Request) Answer {
	return Answer{Service: s.cfg.Service, Backend: s.cfg.ID, RequestID: r.Header.Get(requestIDHeader)}
}

// verdict is what the armed faults do to one answer.
type verdict struct {
	close bool
	delay time.Duration
	send  Answer
}

func (s *Service) judge(a Answer) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := verdict{send: a}
	if s.closes > 0 {
		s.closes--
		v.close = true
	}
	if s.lates > 0 {
		s.lates--
		v.delay = s.late
	}
	if s.cross > 0 {
		s.cross--
		v.send = s.last
	}
	s.last = a
	return v
}

func (s *Service) reply(w http.ResponseWriter, r *http.Request, a Answer) {
	v := s.judge(a)
	if v.close {
		panic(http.ErrAbortHandler)
	}
	if v.delay > 0 {
		fault.Sleep(r, v.delay)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(requestIDHeader, v.send.RequestID)
	json.NewEncoder(w).Encode(v.send)
}
