package kv

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"wigeondale/fakes/fault"
)

// The kinds of calls. Calls returns a separate count for each kind.
const (
	kindRange     = "range"
	kindPut       = "put"
	kindTxn       = "txn"
	kindDelete    = "deleterange"
	kindGrant     = "lease_grant"
	kindKeepAlive = "lease_keepalive"
	kindRevoke    = "lease_revoke"
	kindWatch     = "watch"
)

// Error codes of the gateway, which are those of gRPC.
const (
	codeInvalid     = 3
	codeNotFound    = 5
	codeUnavailable = 14
)

const maxBody = 4 << 20 // bytes

// Server is the fake service.
type Server struct {
	store  *store
	server *fault.Server

	mu            sync.Mutex
	calls         map[string]int64
	openWatches   map[string]int // number of open watches, by the first key of their range
	answersToLose int            // how many more writes get no response
	losePrefix    string         // lose-answers applies to writes of keys with this prefix
	outage        bool           // calls on keys with outagePrefix fail
	outagePrefix  string
	delay         time.Duration
	delayPrefix   string
}

// New prepares the service at addr, without keys.
func New(addr string) *Server {
	s := &Server{store: newStore(), calls: make(map[string]int64), openWatches: make(map[string]int)}
	s.server = fault.NewServer(addr, s.routes())
	return s
}

// ID returns the service's name at the control listener.
func (s *Server) ID() string { return "kv" }

// Addr returns the address of the service.
func (s *Server) Addr() string { return s.server.Addr() }

// Start starts the service.
func (s *Server) Start() error { return Error.Wrap(s.server.Start()) }

// Close stops the service.
func (s *Server) Close() {
	s.server.Kill()
	s.store.close()
}

// Calls returns how often each kind of call has reached the service. A watch
// counts once, however long it lasts.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// OpenWatches returns the number of open watches whose first key has this prefix.
func (s *Server) OpenWatches(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, open := range s.openWatches {
		if strings.HasPrefix(key, prefix) {
			n += open
		}
	}
	return n
}

func (s *Server) countWatch(key []byte, delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openWatches[string(key)] += delta
}

// Fault turns a switch: outage {on,prefix}, slow {ms,prefix}, lose-answers
// {n,prefix}, kill, start, cut, heal, freeze, thaw. The service keeps its data
// through all of them. During an outage of a prefix, calls on its keys are not applied
// and get 503. An outage without a prefix refuses connections. lose-answers applies the
// next n writes and closes their connections without a response.
func (s *Server) Fault(name string, raw json.RawMessage) error {
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case name == "lose-answers":
		s.answersToLose, s.losePrefix = args.N, args.Prefix
	case name == "outage" && args.Prefix != "":
		s.outage, s.outagePrefix = args.Enabled(), args.Prefix
	case name == "slow":
		s.delay, s.delayPrefix = args.Duration(), args.Prefix
	default:
		return s.server.Apply(name, args)
	}
	return nil
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handle(s, kindRange, s.doRange))
	mux.HandleFunc("POST /v3/kv/put", handle(s, kindPut, s.doPut))
	mux.HandleFunc("POST /v3/kv/txn", handle(s, kindTxn, s.doTxn))
	mux.HandleFunc("POST /v3/kv/deleterange", handle(s, kindDelete, s.doDelete))
	mux.HandleFunc("POST /v3/lease/grant", handle(s, kindGrant, s.doGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(s, kindKeepAlive, s.doKeepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", handle(s, kindRevoke, s.doRevoke))
	mux.HandleFunc("POST /v3/kv/lease/revoke", handle(s, kindRevoke, s.doRevoke))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	return mux
}

// keyed is a request that returns the keys to which it applies. A request for a range
// returns only the first key of the range.
type keyed interface{ keys() [][]byte }

func (r *rangeRequest) keys() [][]byte  { return [][]byte{r.Key} }
func (r *putRequest) keys() [][]byte    { return [][]byte{r.Key} }
func (r *deleteRequest) keys() [][]byte { return [][]byte{r.Key} }
func (r *grantRequest) keys() [][]byte  { return nil }
func (r *leaseRequest) keys() [][]byte  { return nil }
func (r *watchCreate) keys() [][]byte   { return [][]byte{r.Key} }

func (r *txnRequest) keys() [][]byte {
	var out [][]byte
	for _, c := range r.Compare {
		out = append(out, c.Key)
	}
	for _, op := range append(r.Success[:len(r.Success):len(r.Success)], r.Failure...) {
		switch {
		case op.Put != nil:
			out = append(out, op.Put.Key)
		case op.Range != nil:
			out = append(out, op.Range.Key)
		case op.Delete != nil:
			out = append(out, op.Delete.Key)
		}
	}
	return out
}

func touches(r keyed, prefix string) bool {
	if prefix == "" {
		return true
	}
	for _, k := range r.keys() {
		if bytes.HasPrefix(k, []byte(prefix)) {
			return true
		}
	}
	return false
}

// handle returns a handler that counts a kind of call and applies the fault switches to it.
func handle[Req any, P interface {
	*Req
	keyed
}, Resp any](s *Server, kind string, do func(P) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(kind)
		var req P = new(Req)
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(req); err != nil {
			writeError(w, http.StatusBadRequest, codeInvalid, err)
			return
		}
		if s.applyFaults(w, r, req) {
			return
		}
		resp, err := do(req)
		if s.losesAnswer(kind, req) {
			panic(http.ErrAbortHandler) // the request was applied; closes the connection without a response
		}
		if err != nil {
			writeStoreError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(resp)
	}
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

// applyFaults applies the switches slow and outage to a call if one of its keys has the
// prefix that was set with the switch (an empty prefix matches every call). It reports
// whether it has refused the call.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, req keyed) bool {
	s.mu.Lock()
	delay := s.delay
	if !touches(req, s.delayPrefix) {
		delay = 0
	}
	refused := s.outage && touches(req, s.outagePrefix)
	s.mu.Unlock()
	if delay > 0 {
		fault.Sleep(r, delay)
	}
	if refused {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, Error.New("outage"))
	}
	return refused
}

func (s *Server) losesAnswer(kind string, req keyed) bool {
	switch kind {
	case kindPut, kindTxn, kindDelete, kindGrant:
	default:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToLose == 0 || !touches(req, s.losePrefix) {
		return false
	}
	s.answersToLose--
	return true
}

func (s *Server) doRange(r *rangeRequest) (*rangeResponse, error) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.applyRange(r), nil
}

func (s *Server) doPut(r *putRequest) (*putResponse, error) {
	resp, err := s.store.txn(&txnRequest{Success: []operation{{Put: r}}})
	if err != nil {
		return nil, err
	}
	put := resp.Responses[0].Put
	put.Header = resp.Header
	return put, nil
}

func (s *Server) doDelete(r *deleteRequest) (*deleteResponse, error) {
	resp, err := s.store.txn(&txnRequest{Success: []operation{{Delete: r}}})
	if err != nil {
		return nil, err
	}
	del := resp.Responses[0].Delete
	del.Header = resp.Header
	return del, nil
}

func (s *Server) doTxn(r *txnRequest) (*txnResponse, error) { return s.store.txn(r) }

func (s *Server) doGrant(r *grantRequest) (*leaseResponse, error) {
	ttl := time.Duration(max(r.TTL, 1)) * time.Second
	return s.store.grant(int64(r.ID), ttl), nil
}

func (s *Server) doKeepAlive(r *leaseRequest) (*keepAliveResponse, error) {
	return &keepAliveResponse{*s.store.keepAlive(int64(r.ID))}, nil
}

func (s *Server) doRevoke(r *leaseRequest) (*leaseResponse, error) {
	return s.store.revoke(int64(r.ID))
}

func writeStoreError(w http.ResponseWriter, err error) {
	if errors.Is(err, errNoLease) {
		writeError(w, http.StatusNotFound, codeNotFound, err)
		return
	}
	writeError(w, http.StatusBadRequest, codeInvalid, err)
}

func writeError(w http.ResponseWriter, status, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(errorResponse{err.Error(), code, err.Error()})
}
