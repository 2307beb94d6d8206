package callerapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/bounded"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// Error is the class of this package's errors.
var Error = errs.Class("callerapi")

// These are the errors that Accounts.Resolve may return.
var (
	// ErrUnknownModel means that no such model is configured.
	ErrUnknownModel = Error.New("unknown model")
	// ErrForbidden means that the client account may not use the model.
	ErrForbidden = Error.New("model not allowed for this account")
)

// ErrSuperseded is the cause of a run's cancelled context if the caller
// reconnected for the same answer. The engine's stream must then not be
// cancelled, because the new connection continues it.
var ErrSuperseded = Error.Wrap(generation.ErrSuperseded)

// These are the names of request and response headers.
const (
	headerKey           = "Idempotency-Key"
	headerNonIdempotent = "Wigeon-Non-Idempotent"
	headerTimeout       = "Wigeon-Timeout-Ms"
	headerPriority      = "Wigeon-Priority"
	headerOutcome       = "Wigeon-Outcome"
	headerLastEvent     = "Last-Event-ID"
	headerRetryAfter    = "Retry-After"
)

// Failure is an error answer.
type Failure struct {
	Status     int
	Code       string // stable, for programs
	Message    string // for people
	Outcome    fleet.Outcome
	RetryAfter time.Duration // 0: repeating the same request does not help
}

// Error implements error.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string        `json:"message"`
	Type         string        `json:"type"`
	Code         string        `json:"code"`
	Outcome      fleet.Outcome `json:"outcome"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

func (f *Failure) body() []byte {
	kind := "invalid_request_error"
	if f.Status >= http.StatusInternalServerError || f.Status == http.StatusTooManyRequests {
		kind = "server_error"
	}
	raw, _ := json.Marshal(errorBody{errorDetail{ // strings and numbers always encode
		Message:      f.Message,
		Type:         kind,
		Code:         f.Code,
		Outcome:      f.Outcome,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}})
	return raw
}

// write sends f as a complete HTTP response.
func (f *Failure) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(f.Outcome))
	if f.Status == http.StatusUpgradeRequired {
		h.Set("Upgrade", "HTTP/1.1")
		h.Set("Connection", "Upgrade")
	}
	if f.RetryAfter > 0 {
		h.Set(headerRetryAfter, retrySeconds(f.RetryAfter))
	}
	setWriteDeadline(w)
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.body()) // an error means that the caller has disconnected
}

// retrySeconds formats d for Retry-After, rounded up to whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// refuse returns the failure of a request that was not sent to any backend
// server.
func refuse(status int, code, message string) *Failure {
	return &Failure{Status: status, Code: code, Message: message, Outcome: fleet.NotRun}
}

// weakenForReconnect changes the outcome not-run to unknown when a caller that reconnects
// for the rest of an answer is refused. This try ran nothing, but the presence of a cursor
// or a text in the request shows that the request did run earlier, even if the cursor or
// the text can't be verified or turns out to be wrong. A caller that receives not-run would
// send the request as a new one and get a second generation.
func (f *Failure) weakenForReconnect() {
	if f.Outcome == fleet.NotRun {
		f.Outcome = fleet.Unknown
	}
}

// These are the codes of refusals that other packages also use.
const (
	CodeNotReady     = "not_ready"
	CodeOverloaded   = "overloaded"
	CodeRateLimited  = "rate_limited"  // tokens per second of the account
	CodeAccountLimit = "account_limit" // concurrent requests of the account
)

// These are the codes of failures that this package itself sets.
const (
	codeBadKey         = "invalid_api_key"
	codeBadRequest     = "invalid_request"
	codeBodyTooLarge   = "body_too_large"
	codeBodyTimeout    = "body_timeout"
	codeUnknownModel   = "model_not_found"
	codeForbidden      = "model_not_allowed"
	codeNotFound       = "not_found"
	codeMethod         = "method_not_allowed"
	codeNoStreams      = "no_streams_over_protocol"
	codeKeyReused      = "key_reused"
	codeInProgress     = "in_progress"
	codeCursorInvalid  = "cursor_invalid"
	codeCursorForeign  = "cursor_foreign"
	codeCursorExpired  = "cursor_expired"
	codeCursorMismatch = "cursor_mismatch"
	codeTextMismatch   = "resume_text_mismatch"
	codeAnswerTooLarge = "answer_too_large"
	codeInternal       = "internal"
)

const (
	retrySoon       = time.Second // node not ready, or too many open requests
	retryInProgress = 2 * time.Second
)

func bodyFailure(err error) *Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			"the body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if errors.Is(err, bounded.ErrNoMemory) || errors.Is(err, bounded.ErrGivenUp) {
		f := refuse(http.StatusServiceUnavailable, CodeOverloaded, "other requests hold as much memory as they may")
		f.RetryAfter = bodyRetry
		return f
	}
	f := refuse(http.StatusRequestTimeout, codeBodyTimeout, "the body did not arrive whole in time")
	f.RetryAfter = retrySoon
	return f
}
