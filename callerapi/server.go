// Package callerapi is the HTTP API for client accounts: completions and chat in
// OpenAI's format, streamed or as a single response, and calls of services that
// are not model engines.
//
// It ensures four properties:
//   - A refusal has its own HTTP status, because no header is sent before the
//     first token.
//   - An outcome never claims more than is certain. not-run is sent only for
//     requests that were refused here or that the layers below report as not
//     started, and never to a caller that reconnects.
//   - A second request with a key that is already running never starts a second
//     generation on this node.
//   - A reconnect continues only from exactly the text that was delivered, which
//     its cursor proves.
package callerapi

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/bounded"
	"wigeondale/cursor"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// Accounts authenticates client accounts and resolves their models. Authenticate
// compares hashes of keys in constant time. Resolve selects the version for a
// request; sticky, the key of the request, keeps its repeats on the same version.
// Resolve returns ErrUnknownModel or ErrForbidden.
type Accounts interface {
	Authenticate(key string) (account string, ok bool)
	Resolve(account, model, sticky string) (fleet.ModelRef, fleet.Priority, error)
}

// ModelLister is an interface that an Accounts may also implement. It is used for
// /v1/models.
type ModelLister interface {
	Models(account string) []string
}

// Runner runs one generation.
type Runner interface {
	Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result
}

// Gate decides whether the node accepts new requests. Ready returns the reason why the node
// doesn't accept any, or nil if it accepts them. Gate is not the readiness probe: at a
// shutdown the probe fails first, and requests are accepted until the load balancer has
// noticed.
type Gate interface {
	Ready() error
}

// KeyRegistry records which keys are running, and on which node, and shares these records
// with other nodes. It only saves work and guarantees nothing: a caller that needs a
// guarantee marks its request as non-idempotent. Locate returns the node on which the key is
// running if that node is another node and is believed to be alive. Otherwise ok is false;
// ok is also false in case of doubt.
type KeyRegistry interface {
	Locate(ctx context.Context, account, key string) (node string, bodyHash [16]byte, ok bool)
	Announce(account, key string, bodyHash [16]byte)
	Drop(account, key string)
}

// Options contains limits and defaults. A zero field takes its default, which is given
// after the semicolon.
type Options struct {
	BodyBytes       int64         // size of a request body; 4 MiB
	AnswerBytes     int64         // size of an answer that is not streamed; 16 MiB
	MaxOpen         int64         // concurrent requests; 4096
	MaxTokens       int           // largest max_tokens of a request; 131072
	DefaultTokens   int           // max_tokens of a request that has none; 1024
	GenerateTimeout time.Duration // default deadline of a generation; 1 h
	ServiceTimeout  time.Duration // default deadline of a service call; 10 s
	KeptAnswerBytes int           // total size of finished answers that are kept; 16 MiB
	KeptAnswerTime  time.Duration // how long a finished answer is kept; 2 min
}

// Config configures a Server. KeyRegistry, Services, Answers, Log and Metrics may be nil.
type Config struct {
	Options
	Answers     *bounded.Pool // bounds the memory of the answers of services, all together
	Gate        Gate
	Accounts    Accounts
	Runner      Runner
	Services    Services
	KeyRegistry KeyRegistry
	Sealer      *cursor.Sealer
	Log         *event.Log
	Metrics     *metrics.Set
}

// Server handles the requests of callers.
type Server struct {
	Config
	mux  *http.ServeMux
	open atomic.Int64
	keys *keyTable
}

// New returns the HTTP handler for the listener that serves callers.
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

// Open returns the number of requests being handled. A shutdown waits until this number is
// 0.
func (s *Server) Open() int64 { return s.open.Load() }

const servicesPath = "/services/" // Last-Event-ID has no meaning below this path

// handler answers the request of an authenticated account, or returns a failure
// that the server then sends.
type handler func(w http.ResponseWriter, r *http.Request, account string) *Failure

func (s *Server) handle(pattern string, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		open := s.open.Add(1)
		defer s.open.Add(-1)
		if f := s.dispatch(w, r, open, h); f != nil {
			if slices.ContainsFunc(r.Header.Values(headerLastEvent), isStated) && !strings.HasPrefix(r.URL.Path, servicesPath) {
				f.weakenForReconnect()
			}
			s.countFailure(f)
			f.write(w)
		}
	})
}

func isStated(value string) bool { return value != "" }

func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, open int64, h handler) *Failure {
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
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", false
	}
	key, ok := strings.CutPrefix(values[0], "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	return s.Accounts.Authenticate(key)
}

// countFailure counts a failure by code and outcome. A code may come from a backend server;
// a code that is no valid label is counted as "other", so that the code cannot make the
// metrics page unreadable.
func (s *Server) countFailure(f *Failure) {
	code := f.Code
	if !isMetricLabel(code) {
		code = "other"
	}
	name := fmt.Sprintf("wigeon_caller_failures_total{code=%q,outcome=%q}", code, f.Outcome)
	s.Metrics.GetOrCreateCounter(name).Inc()
}

func isMetricLabel(s string) bool {
	const maxBytes = 40
	invalid := func(r rune) bool { return r != '_' && (r < 'a' || r > 'z') }
	return s != "" && len(s) <= maxBytes && !strings.ContainsFunc(s, invalid)
}

// State is the part of a state dump that covers requests of callers.
type State struct {
	Open      int64 `json:"open_requests"`
	LiveKeys  int   `json:"live_keys"`
	Kept      int   `json:"kept_answers"`
	KeptBytes int   `json:"kept_bytes"`
}

// State returns the counts of open requests, running keys and kept answers. It returns no
// keys or texts, because these are private to the callers.
func (s *Server) State() State {
	live, kept, bytes := s.keys.counts()
	return State{Open: s.open.Load(), LiveKeys: live, Kept: kept, KeptBytes: bytes}
}

func (s *Server) models(w http.ResponseWriter, r *http.Request, account string) *Failure {
	if f := requireMethod(r, http.MethodGet); f != nil {
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

func requireMethod(r *http.Request, want string) *Failure {
	if r.Method == want {
		return nil
	}
	return refuse(http.StatusMethodNotAllowed, codeMethod, "only "+want+" is served here")
}

// writeJSON sends a complete successful response.
func writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil { // unreachable: all types passed here can be encoded
		f := &Failure{Status: http.StatusInternalServerError, Code: codeInternal, Outcome: fleet.Unknown}
		f.write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerOutcome, string(fleet.Complete))
	setWriteDeadline(w)
	_, _ = w.Write(raw) // an error means that the caller has disconnected
}

// writeTimeout is how long a write may block on a caller that does not read.
const writeTimeout = 30 * time.Second

// setWriteDeadline bounds the next write. Without this deadline, a caller that stops
// reading would keep its connection, and its share of the request limits, forever.
func setWriteDeadline(w http.ResponseWriter) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on test recorders, which don't implement it
}
