package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"wigeondale/check"
	"wigeondale/fakes/fault"
	"wigeondale/fleet"
)

const (
	maxBody           = 64 << 20 // bytes
	retryAfterSeconds = "1"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	Ext       Ext    `json:"ext"`
}

// Ext holds the fields that model engines add to the body of the completions protocol.
type Ext struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Version      string `json:"version"`
	Adapter      string `json:"adapter"`
	ResumeText   string `json:"resume_text"`
	ResumeTokens int    `json:"resume_tokens"`
	LingerMS     int64  `json:"linger_ms"`
}

type errorBody struct {
	Message string `json:"message,omitempty"`
	Code    string `json:"code"`
}

type errorResponse struct {
	Error errorBody `json:"error"`
}

type staleFence struct {
	Error errorBody `json:"error"`
	Fence uint64    `json:"fence"`
}

type cancelResponse struct {
	Cancelled bool `json:"cancelled"`
	Generated int  `json:"generated"`
}

type eventsResponse struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// refusal is an error response that is sent before any work was done.
type refusal struct {
	status  int
	code    string
	message string
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.postCompletions)
	mux.HandleFunc("GET /v1/streams/{request}/{attempt}", e.getStream)
	mux.HandleFunc("DELETE /v1/streams/{request}/{attempt}", e.deleteStream)
	mux.HandleFunc("GET /v1/load", e.getLoad)
	mux.HandleFunc("GET /v1/cache-events", e.getCacheEvents)
	mux.HandleFunc("GET /v1/orders", e.getOrders)
	mux.HandleFunc("PUT /v1/orders", e.putOrders)
	return namingRequest(mux)
}

// namingRequest makes all answers name their requests.
func namingRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) postCompletions(w http.ResponseWriter, r *http.Request) {
	restAsked := e.asks.State(w.Header())
	var req CompletionRequest
	if err := readJSON(w, r, &req); err != nil {
		refuse(w, refusal{http.StatusBadRequest, "bad_request", err.Error()})
		return
	}
	if msg := req.validate(); msg != "" {
		refuse(w, refusal{http.StatusBadRequest, "bad_request", msg})
		return
	}
	if req.Ext.ResumeTokens > 0 && e.serveUnfit(w) {
		return
	}
	rd := newReader()
	s := newStream(req)
	s.attach(rd)
	incarnation, refused := e.accept(s, restAsked)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	if strings.Contains(req.Prompt, fault.CrashMark) {
		e.crash()
	}
	e.serveStream(w, r, s, rd, incarnation, 0)
}

// crash kills the engine and starts it again after fault.RestartDelay.
func (e *Engine) crash() {
	e.Kill()
	time.AfterFunc(fault.RestartDelay, func() {
		if err := e.Start(); err != nil {
			panic(err) // the fake's own address is in use
		}
	})
}

func (r CompletionRequest) validate() string {
	switch {
	case !r.Stream:
		return "stream must be true"
	case r.Model == "":
		return "model is empty"
	case r.Ext.RequestID == "":
		return "ext.request_id is empty"
	case r.Ext.ResumeTokens < 0 || r.MaxTokens <= r.Ext.ResumeTokens:
		return "max_tokens must be above ext.resume_tokens"
	case (r.Ext.ResumeTokens == 0) != (r.Ext.ResumeText == ""):
		return "ext.resume_text and ext.resume_tokens do not agree"
	}
	return ""
}

func newStream(req CompletionRequest) *stream {
	ext := req.Ext
	ref := fleet.ModelRef{Model: req.Model, Version: ext.Version, Adapter: ext.Adapter}
	input := req.Prompt + ext.ResumeText
	blockCount := (len(input) + fleet.BlockBytes - 1) / fleet.BlockBytes
	return &stream{
		key:        key{ext.RequestID, ext.Attempt},
		ref:        ref,
		priority:   req.Priority,
		maxTokens:  req.MaxTokens,
		firstToken: ext.ResumeTokens,
		linger:     time.Duration(ext.LingerMS) * time.Millisecond,
		blocks:     fleet.PrefixBlocks(input, blockCount),
		blockCount: blockCount,
		head:       renderChunkHead(ext.RequestID, ext.Attempt, ref),
		chain:      check.NewChain(req.Prompt, ext.ResumeText, ext.ResumeTokens),
	}
}

// accept queues the stream, or returns why it is refused.
func (e *Engine) accept(s *stream, restAsked bool) (incarnation string, refused *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case restAsked:
		e.refused++
		return "", &refusal{http.StatusServiceUnavailable, "overloaded", "the engine asks for rest"}
	case e.order.leaving:
		e.refused++
		return "", &refusal{http.StatusServiceUnavailable, "leaving", "the engine is leaving"}
	case !slices.Contains(e.order.actual, s.ref):
		return "", &refusal{http.StatusNotFound, "model_not_loaded", s.ref.String() + " is not loaded"}
	case e.streams[s.key] != nil:
		return "", &refusal{http.StatusConflict, "attempt_exists", "this attempt exists already"}
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return "", &refusal{http.StatusTooManyRequests, "overloaded", "the waiting queue is full"}
	}
	e.enqueue(s)
	return e.incarnation, nil
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	if e.serveUnfit(w) {
		return
	}
	s, incarnation := e.findStream(r)
	if s == nil {
		refuse(w, refusal{http.StatusNotFound, "no_stream", "no such stream"})
		return
	}
	from, err := strconv.Atoi(r.FormValue("from"))
	if r.FormValue("from") == "" {
		from, err = s.firstToken, nil
	}
	if err != nil || from < s.firstToken || from > s.maxTokens {
		refuse(w, refusal{http.StatusBadRequest, "bad_request", fmt.Sprintf("from must be in %d..%d", s.firstToken, s.maxTokens)})
		return
	}
	rd := newReader()
	s.attach(rd)
	e.serveStream(w, r, s, rd, incarnation, from-s.firstToken)
}

func (e *Engine) deleteStream(w http.ResponseWriter, r *http.Request) {
	s, _ := e.findStream(r)
	if s == nil {
		refuse(w, refusal{http.StatusNotFound, "no_stream", "no such stream"})
		return
	}
	e.mu.Lock()
	n := e.cancelStream(s, "cancelled", time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, cancelResponse{true, n})
}

func (e *Engine) findStream(r *http.Request) (*stream, string) {
	attempt, err := strconv.Atoi(r.PathValue("attempt"))
	if err != nil {
		return nil, ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[key{r.PathValue("request"), attempt}], e.incarnation
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadReports[0]
	e.mu.Unlock()
	report.AsOfUnixMS += e.clockOffset.Load()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if v := r.FormValue("after"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			refuse(w, refusal{http.StatusBadRequest, "bad_request", "after is not a number"})
			return
		}
		after = n
	}
	e.mu.Lock()
	until := time.Now().Add(-fault.Millis(e.cfg.EventsLagMS))
	answer := eventsResponse{e.incarnation, e.cache.eventsAfter(after, until)}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, r refusal) {
	limited := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
	if limited && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, r.status, errorResponse{errorBody{r.message, r.code}})
}
