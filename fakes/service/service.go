// Package service is a fake of an HTTP service that is not a model engine. It has lookups,
// which are idempotent, and bookings, which are not and whose executions it counts.
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
	maxBody         = 8 << 20 // bytes
	requestIDHeader = "X-Request-Id"
)

// Config describes one replica of a service.
type Config struct {
	ID            string `json:"id"`
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Addr          string `json:"addr"`
	Advertise     string `json:"advertise"` // address in the VM list, if it differs from the replica's own
	Service       string `json:"service"`
	ChecksFence   bool   `json:"checks_fence"`
}

// Answer is the body of each response. It contains the id of the request that it answers.
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

	mu          sync.Mutex
	record      Record
	closesLeft  int // how many more requests are executed and get no response
	delaysLeft  int // how many more responses are delayed
	answerDelay time.Duration
	crossesLeft int // how many more requests get the answer to another request
	lastAnswer  Answer
	asks        fault.Asks
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
	s.lastAnswer = Answer{Service: cfg.Service, Backend: cfg.ID, RequestID: "another-request", Key: "another-key"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lookup/{key}", s.unlessResting(s.lookup))
	mux.HandleFunc("POST /book", s.unlessResting(s.book))
	s.server = fault.NewServer(cfg.Addr, mux)
	return s
}

// ID returns the backend id.
func (s *Service) ID() string { return s.cfg.ID }

// Addr returns the address on which the replica listens.
func (s *Service) Addr() string { return s.server.Addr() }

// Config returns the configuration.
func (s *Service) Config() Config { return s.cfg }

// Start starts the replica.
func (s *Service) Start() error { return Error.Wrap(s.server.Start()) }

// Close stops the replica.
func (s *Service) Close() { s.server.Kill() }

// Digest returns the digest that stands for a body or a key in answers and records.
func Digest(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

// Record returns a copy of the counts. They remain when the replica is killed and started
// again.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.ByRequest = maps.Clone(r.ByRequest)
	r.ByBody = maps.Clone(r.ByBody)
	return r
}

// Fault turns a switch: close-after-read {n} executes the next n requests and closes their
// connections without a response; late {ms,n} delays the next n responses; cross {n} responds
// to the next n requests with the answer to another; ask {limit,rest,leaving} is what it asks of the
// routers in its answers; and the switches of fault.Server.Apply.
func (s *Service) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case "close-after-read":
		s.closesLeft = args.Times()
	case "late":
		s.answerDelay, s.delaysLeft = args.Duration(), args.Times()
	case "ask":
		s.asks.Set(args)
	case "cross":
		s.crossesLeft = args.Times()
	default:
		return s.server.Apply(name, args)
	}
	return nil
}

// unlessResting refuses requests while the replica asks for rest, and otherwise serves them.
func (s *Service) unlessResting(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.asks.State(w.Header()) {
			http.Error(w, "asks for rest", http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
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

// crash kills the replica and starts it again after fault.RestartDelay.
func (s *Service) crash() {
	s.server.Kill()
	time.AfterFunc(fault.RestartDelay, func() {
		if err := s.server.Start(); err != nil {
			panic(err) // the fake's own address is in use
		}
	})
}

func (s *Service) answer(r *http.Request) Answer {
	return Answer{Service: s.cfg.Service, Backend: s.cfg.ID, RequestID: r.Header.Get(requestIDHeader)}
}

// answerPlan holds what the armed faults do to one response.
type answerPlan struct {
	closeConn bool
	delay     time.Duration
	send      Answer
}

func (s *Service) applyFaults(a Answer) answerPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := answerPlan{send: a}
	if s.closesLeft > 0 {
		s.closesLeft--
		plan.closeConn = true
	}
	if s.delaysLeft > 0 {
		s.delaysLeft--
		plan.delay = s.answerDelay
	}
	if s.crossesLeft > 0 {
		s.crossesLeft--
		plan.send = s.lastAnswer
	}
	s.lastAnswer = a
	return plan
}

func (s *Service) reply(w http.ResponseWriter, r *http.Request, a Answer) {
	plan := s.applyFaults(a)
	if plan.closeConn {
		panic(http.ErrAbortHandler)
	}
	if plan.delay > 0 {
		fault.Sleep(r, plan.delay)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(requestIDHeader, plan.send.RequestID)
	json.NewEncoder(w).Encode(plan.send)
}
