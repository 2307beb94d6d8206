// Package callerapi is the HTTP interface of client accounts: completions and
// chat in the form that OpenAI's clients speak, streamed or whole, and plain
// services.
//
// It guards four things. A refusal keeps its HTTP status, since no header is
// sent before the first token. An outcome is never better than the truth:
// not-run is said only of requests that were turned away here or that the
// layers below say were not started, and never to a caller that comes back. A
// second request under a live key never becomes a second draft on this node.
// And a reconnect goes on only from the very text that was delivered, proved
// by its cursor.
package callerapi

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/cursor"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// Accounts knows the client accounts. Authenticate compares hashes of keys in
// constant time. Resolve picks the version for a request; sticky keeps one
// request on one version. It returns ErrUnknownModel or ErrForbidden.
type Accounts interface {
	Authenticate(key string) (account string, ok bool)
	Resolve(account, model, sticky string) (fleet.ModelRef, fleet.Priority, error)
}

// ModelLister is what an Accounts may also offer, for /v1/models.
type ModelLister interface {
	Models(account string) []string
}

// Runner runs one generation.
type Runner interface {
	Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result
}

// Gate says why the node cannot take new work, or nil. It is not the readiness
// probe: at a shutdown the probe fails first, and work is taken until the
// balancer has noticed.
type Gate interface {
	Ready() error
}

// KeyRegistry tells other nodes which keys run here. It spares work and holds no
// promise: whoever needs a promise marks the request as non-idempotent. Live
// reports only another node that is believed alive, and none when in doubt.
type KeyRegistry interface {
	Locate(ctx context.Context, account, key string) (node string, bodyHash [16]byte, ok bool)
	Announce(account, key string, bodyHash [16]byte)
	Drop(account, key string)
}

// Options bounds and defaults. A zero field takes the default.
type Options struct {
	BodyBytes       int64         // of a request; 4 MiB
	AnswerBytes     int64         // of a plain service's answer; 16 MiB
	MaxOpen         int64         // requests at once; 4096
	MaxTokens       int           // most that a caller may ask for; 131072
	DefaultTokens   int           // when a caller names none; 1024
	GenerateTimeout time.Duration // default deadline of a generation; 1 h
	ServiceTimeout  time.Duration // default deadline of a plain call; 10 s
	KeptAnswerBytes int           // finished answers kept; 16 MiB
	KeptAnswerTime  time.Duration // 2 min
}

// Config is what a Server uses. Pointers, Services, Log and Metrics may be nil.
type Config struct {
	Options
	Gate        Gate
	Accounts    Accounts
	Runner      Runner
	Services    Services
	KeyRegistry KeyRegistry
	Sealer      *cursor.Sealer
	Log         *event.Log
	Metrics     *metrics.Set
}

// Server handles callers' requests.
type Server struct {
	Config
	mux  *http.ServeMux
	open atomic.Int64
	keys *keyTable
}

// New returns the handler of a caller listener.
func New(cfg Config) *Server {
	cfg.Options.fill()
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Server{
		Config: cfg,
		mux:    http.NewServeMux(),
		keys:   newKeyTable(cfg.KeptAnswerBytes, cfg.KeptAnswerTime),
	}
	s.Metrics.NewGauge("wigeon_caller_open_requests", func() float64 { return float64(s.open.Load()) })
	s.handle("/v1/completions", s.generate(completions))
	s.handle("/v1/chat/completions", s.generate(chat))
	s.handle("/v1/models", s.models)
	s.handle(servicesPath+"{service}/{path...}", s.service)
	s.handle("/", func(http.ResponseWriter, *http.Request, string) *Failure {
		return refuse(http.StatusNotFound, codeNotFound, "no such path")
	})
	return s
}

func (o *Options) fill() {
	o.BodyBytes = cmp.Or(o.BodyBytes, 4<<20)
	o.AnswerBytes = cmp.Or(o.AnswerBytes, 16<<20)
	o.MaxOpen = cmp.Or(o.MaxOpen, 4096)
	o.MaxTokens = cmp.Or(o.MaxTokens, 131072)
	o.DefaultTokens = cmp.Or(o.DefaultTokens, 1024)
	o.GenerateTimeout = cmp.Or(o.GenerateTimeout, time.Hour)
	o.ServiceTimeout = cmp.Or(o.ServiceTimeout, 10*time.Second)
	o.KeptAnswerBytes = cmp.Or(o.KeptAnswerBytes, 16<<20)
	o.KeptAnswerTime = cmp.Or(o.KeptAnswerTime, 2*time.Minute)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Open is how many requests are being handled; shutdown waits for 0.
func (s *Server) Open() int64 { return s.open.Load() }

const servicesPath = "/services/" // Last-Event-ID means nothing below it

// handler answers for an authenticated account, or returns what it did not answer.
type handler func(w http.ResponseWriter, r *http.Request, account string) *Failure

func (s *Server) handle(pattern string, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		open := s.open.Add(1)
		defer s.open.Add(-1)
		if f := s.enter(w, r, open, h); f != nil {
			if r.Header.Get(headerLastEvent) != "" && !strings.HasPrefix(r.URL.Path, servicesPath) {
				f.forReconnect()
			}
			s.count(f)
			f.write(w)
		}
	})
}

func (s *Server) enter(w http.ResponseWriter, r *http.Request, open int64, h handler) *Failure {
	if err := s.Gate.Ready(); err != nil {
		f := refuse(http.StatusServiceUnavailable, CodeNotReady, "this node is not ready")
		f.RetryAfter = retrySoon
		return f
	}
	if open > s.MaxOpen {
		f := refuse(http.StatusServiceUnavailable, CodeOverloaded, "too many open requests on this node")
		f.RetryAfter = retrySoon
		return f
	}
	account, ok := s.account(r)
	if !ok {
		return refuse(http.StatusUnauthorized, codeBadKey, "missing or unknown API key")
	}
	return h(w, r, account)
}

func (s *Server) account(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	return s.Accounts.Authenticate(key)
}

// count counts a failure. A code may come from a backend server; one that is
// no plain name is counted as other, so that it cannot spoil the metrics page.
func (s *Server) count(f *Failure) {
	code := f.Code
	if !plainName(code) {
		code = "other"
	}
	name := fmt.Sprintf("wigeon_caller_failures_total{code=%q,outcome=%q}", code, f.Outcome)
	s.Metrics.GetOrCreateCounter(name).Inc()
}

func plainName(s string) bool {
	const most = 40 // bytes
	other := func(r rune) bool { return r != '_' && (r < 'a' || r > 'z') }
	return s != "" && len(s) <= most && !strings.ContainsFunc(s, other)
}

// State is what a state dump shows of the callers' side.
type State struct {
	Open      int64 `json:"open_requests"`
	LiveKeys  int   `json:"live_keys"`
	Kept      int   `json:"kept_answers"`
	KeptBytes int   `json:"kept_bytes"`
}

// State returns counts only; keys and texts are the callers' own.
func (s *Server) State() State {
	live, kept, bytes := s.keys.counts()
	return State{Open: s.open.Load(), LiveKeys: live, Kept: kept, KeptBytes: bytes}
}

func (s *Server) models(w http.ResponseWriter, r *http.Request, account string) *Failure {
	if f := method(r, http.MethodGet); f != nil {
		return f
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	if lister, ok := s.Accounts.(ModelLister); ok {
		for _, id := range lister.Models(account) {
			list = append(list, model{ID: id, Object: "model"})
		}
	}
	writeJSON(w, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
	return nil
}

func method(r *http.Request, want string) *Failure {
	if r.Method == want {
		return nil
	}
	return refuse(http.StatusMethodNotAllowed, codeMethod, "only "+want+" is served here")
}

// writeJSON sends a whole successful answer.
func writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil { // no type here can fail to encode
		f := &Failure{Status: http.StatusInternalServerError, Code: codeInternal, Outcome: fleet.Unknown}
		f.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(fleet.Complete))
	armWrite(w)
	_, _ = w.Write(raw) // the caller has gone: nobody is left to tell
}

// writeTimeout is how long one write may wait for a caller that does not read.
const writeTimeout = 30 * time.Second

// armWrite bounds the next write. A caller that stops reading would otherwise
// hold its connection, and its place in the limits, for ever.
func armWrite(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // not offered by test recorders
}
