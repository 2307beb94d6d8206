package callerapi

import (
	"cmp"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"wigeondale/fleet"
)

// Services passes plain calls to backend servers. A call that is not
// idempotent is claimed before it is sent: the keys held here protect only
// against repeats at this node. An error should be a *Failure; any other is
// taken as an unknown outcome.
type Services interface {
	Do(ctx context.Context, call ServiceCall) (*http.Response, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID  string // of account and key, for the backend server's own records
	Account    string
	Key        string
	Service    string
	Method     string
	Path       string // escaped, without a leading slash
	Query      string
	Header     http.Header // without hop-by-hop, credentials and key headers
	Body       []byte
	BodyHash   [16]byte
	Idempotent bool
	Priority   fleet.Priority
	Deadline   time.Time
}

// plainAnswer is a backend server's answer, whole.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// dropped are request headers that end here. The two key headers make
// net/http's transport repeat a POST on a broken connection, and so run a
// non-idempotent call twice.
var dropped = []string{
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
		answer, f := s.do(r.Context(), call)
		if f != nil {
			return f
		}
		answer.write(w)
		return nil
	}
	return s.serviceOnce(w, r, call)
}

// idempotentMethod is HTTP's own rule, for calls that are not marked.
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
		Header:     forwarded(r.Header),
		Body:       body,
		Idempotent: idempotentMethod(r.Method),
		Priority:   fleet.Interactive,
		Deadline:   id.deadline(s.ServiceTimeout),
	}
	if id.Marked {
		call.Idempotent = !id.NonIdempotent
	}
	if id.HasPriority {
		call.Priority = id.Priority
	}
	call.BodyHash = hashCall(&call)
	return call
}

// restOfPath drops /services/{service}/ and keeps the caller's escapes.
func restOfPath(path string) string {
	parts := strings.SplitN(path, "/", 4)
	return parts[len(parts)-1]
}

func forwarded(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range dropped {
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

// serviceOnce holds the key while a call that may not be repeated runs, and
// keeps its answer for a caller that lost it.
func (s *Server) serviceOnce(w http.ResponseWriter, r *http.Request, call ServiceCall) *Failure {
	name := keyName(call.Account, call.Key)
	e, began := s.keys.begin(name, call.BodyHash, nil)
	if !began {
		return s.repeat(w, e, call)
	}
	var kept *finished
	defer func() { s.keys.end(e, kept) }()
	// A caller that hangs up does not end the call, whose deadline does: the
	// backend server may have run it, and only its answer, kept here, can tell
	// the caller's repeat so.
	answer, f := s.do(context.WithoutCancel(r.Context()), call)
	if f != nil {
		return f
	}
	kept = &finished{plain: answer}
	answer.write(w)
	return nil
}

func (s *Server) repeat(w http.ResponseWriter, e *keyEntry, call ServiceCall) *Failure {
	if e.hash != call.BodyHash {
		return keyReused()
	}
	kept := s.keys.answer(e)
	if kept == nil || kept.plain == nil {
		return inProgress()
	}
	kept.plain.write(w)
	return nil
}

// do runs the call and reads the answer whole before a byte of it goes on, so
// that a backend server that dies in the middle is told by a status and an
// outcome and not by a cut answer.
func (s *Server) do(ctx context.Context, call ServiceCall) (*plainAnswer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	resp, err := s.Services.Do(ctx, call)
	if err != nil {
		return nil, serviceFailure(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.AnswerBytes+1))
	if err != nil {
		return nil, unknown("broken_answer", "the answer broke off")
	}
	if int64(len(body)) > s.AnswerBytes {
		return nil, unknown(codeAnswerTooLarge, "the answer is larger than this node passes on")
	}
	return &plainAnswer{status: resp.StatusCode, header: forwarded(resp.Header), body: body}, nil
}

func unknown(code, message string) *Failure {
	return &Failure{Status: http.StatusBadGateway, Code: code, Message: message, Outcome: fleet.Unknown}
}

func serviceFailure(err error) *Failure {
	var f *Failure
	if !errors.As(err, &f) {
		return unknown("broken", "the call broke off")
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

func (a *plainAnswer) write(w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set(headerOutcome, string(fleet.Complete))
	armWrite(w)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the caller has gone: nobody is left to tell
}
