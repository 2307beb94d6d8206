package callerapi

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wigeondale/bounded"
	"wigeondale/fleet"
)

// Services forwards calls of services that are not model engines to backend servers. An
// implementation claims a call that is not idempotent before sending it, because the key
// table of this package protects only against repeats at this node. An error should be a
// *Failure; any other error counts as an unknown outcome.
type Services interface {
	Do(ctx context.Context, call ServiceCall) (*http.Response, error)
}

// ServiceCall is one call of a service that is not a model engine.
type ServiceCall struct {
	RequestID  string // derived from account and key, for the backend server's records
	Account    string
	Key        string
	Service    string
	Method     string
	Path       string // escaped, without a leading slash
	Query      string
	Header     http.Header // without hop-by-hop, credential and key headers
	Body       []byte
	BodyHash   [16]byte
	Idempotent bool
	Priority   fleet.Priority
	Deadline   time.Time
}

// serviceAnswer is the complete answer of a backend server.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// notForwarded lists the headers that are not passed on. Two of them, the key headers,
// would make net/http's transport resend a POST when a connection breaks, so that a
// non-idempotent call would run twice.
var notForwarded = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Cookie",
	headerKey, "X-Idempotency-Key", headerNonIdempotent, headerTimeout, headerPriority, headerLastEvent,
}

func (s *Server) service(w http.ResponseWriter, r *http.Request, account string) *Failure {
	if s.Services == nil {
		return refuse(http.StatusNotFound, codeNotFound, "no plain services here")
	}
	id, f := readIdentity(r, account)
	if f != nil {
		return f
	}
	w.Header().Set(headerKey, id.Key)
	body, f := s.readBody(w, r)
	if f != nil {
		return f
	}
	call := s.serviceCall(r, &id, body)
	if call.Idempotent {
		held := s.Answers.Hold(call.Service)
		defer held.Close()
		answer, f := s.callService(r.Context(), call, held)
		if f != nil {
			return f
		}
		answer.write(w)
		return nil
	}
	return s.serviceOnce(w, r, call)
}

// idempotentMethod reports whether HTTP defines the method as idempotent. The result is used
// only for calls that the caller has not marked as idempotent or non-idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func (s *Server) serviceCall(r *http.Request, id *identity, body []byte) ServiceCall {
	service := r.PathValue("service")
	call := ServiceCall{
		RequestID:  id.requestID(),
		Account:    id.Account,
		Key:        id.Key,
		Service:    service,
		Method:     r.Method,
		Path:       restOfPath(r.URL.EscapedPath()),
		Query:      r.URL.RawQuery,
		Header:     forwardedHeaders(r.Header),
		Body:       body,
		Idempotent: idempotentMethod(r.Method),
		Priority:   fleet.Interactive,
		Deadline:   id.deadline(s.ServiceTimeout),
	}
	if id.MarkGiven {
		call.Idempotent = !id.NonIdempotent
	}
	if id.HasPriority {
		call.Priority = id.Priority
	}
	call.BodyHash = hashCall(&call)
	return call
}

// restOfPath returns path without /services/{service}/ and keeps the caller's escapes.
func restOfPath(path string) string {
	parts := strings.SplitN(path, "/", 4)
	return parts[len(parts)-1]
}

func forwardedHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwarded {
		out.Del(name)
	}
	return out
}

func hashCall(c *ServiceCall) [16]byte {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Method, c.Path, c.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return [16]byte(h.Sum(nil)[:16])
}

// serviceOnce runs a call that must not be repeated. It marks the key as running while the
// call runs, and then keeps the answer for a caller that did not receive it.
func (s *Server) serviceOnce(w http.ResponseWriter, r *http.Request, call ServiceCall) *Failure {
	name := keyName(call.Account, call.Key)
	e, acquired := s.keys.acquire(name, call.BodyHash, nil)
	if !acquired {
		return s.answerRepeat(w, e, call)
	}
	var kept *finishedAnswer
	defer func() { s.keys.release(e, kept) }()
	// The call ends at its deadline, not when the caller disconnects. The backend server
	// may have run the call, and only the answer that is kept here can show that to the
	// caller when the caller repeats the call.
	held := s.Answers.Hold(call.Service)
	defer held.Close()
	answer, f := s.callService(context.WithoutCancel(r.Context()), call, held)
	if f != nil {
		return f
	}
	kept = &finishedAnswer{service: answer}
	answer.write(w)
	return nil
}

func (s *Server) answerRepeat(w http.ResponseWriter, e *keyEntry, call ServiceCall) *Failure {
	if e.hash != call.BodyHash {
		return keyReused()
	}
	kept := s.keys.answer(e)
	if kept == nil || kept.service == nil {
		return inProgress()
	}
	kept.service.write(w)
	return nil
}

// callService runs the call and reads the complete answer before any of it is sent
// to the caller. If the backend server crashes in the middle of its answer, the
// caller then gets a status and an outcome instead of a truncated answer.
func (s *Server) callService(ctx context.Context, call ServiceCall, held *bounded.Hold) (*serviceAnswer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	resp, err := s.Services.Do(ctx, call)
	if err != nil {
		return nil, serviceFailure(err)
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAllHeld(ctx, resp, s.AnswerBytes, held)
	if errors.Is(err, bounded.ErrTooLong) || errors.Is(err, bounded.ErrEndless) {
		return nil, unknownOutcome(codeAnswerTooLarge, "the answer is larger than this node passes on")
	}
	if err != nil {
		return nil, unknownOutcome("broken_answer", "the answer broke off")
	}
	return &serviceAnswer{status: resp.StatusCode, header: forwardedHeaders(resp.Header), body: body}, nil
}

func unknownOutcome(code, message string) *Failure {
	return &Failure{Status: http.StatusBadGateway, Code: code, Message: message, Outcome: fleet.Unknown}
}

func serviceFailure(err error) *Failure {
	var f *Failure
	if !errors.As(err, &f) {
		return unknownOutcome("broken", "the call broke off")
	}
	out := *f
	if out.Status == 0 {
		out.Status = cmp.Or(statusOf[out.Code], http.StatusBadGateway)
	}
	if out.Outcome == fleet.NotRun {
		out.RetryAfter = max(out.RetryAfter, retrySoon)
	}
	return &out
}

func (a *serviceAnswer) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set(headerOutcome, string(fleet.Complete))
	if len(a.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	setWriteDeadline(w)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // an error means that the caller has disconnected
}
