package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"wigeondale/bounded"
	"wigeondale/fleet"
)

// These are sentinel errors, which callers compare with errors.Is.
var (
	// ErrNoEndpoint is returned by a client without endpoints.
	ErrNoEndpoint = errors.New("no endpoint")
	// ErrTriesExhausted means that no router gave a final answer within MaxTries.
	ErrTriesExhausted = errors.New("no final answer within the allowed tries")
	errBroken         = errors.New("connection broken before the end of the answer")
	errIdle           = errors.New("connection silent for too long")
)

// maxErrorBodyBytes bounds how much of an error body is read, in bytes.
const maxErrorBodyBytes = 64 << 10

// Refusal is a router's error answer.
type Refusal struct {
	Status     int // HTTP status; zero for an error event of a stream
	Code       string
	Message    string
	Outcome    fleet.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (status %d, code %s, outcome %s): %s", r.Status, r.Code, r.Outcome, r.Message)
}

// codeInProgress means that a request with the same key is running on another router, or
// was running until that router crashed. It doesn't mean that the request failed.
const codeInProgress = "in_progress"

// A router refuses a reconnect with these codes because of the router's own state. The
// refusal then contains the outcome "unknown", but another router may resume the answer.
const (
	codeNotReady   = "not_ready"
	codeOverloaded = "overloaded"
)

// retryable reports whether the same request may be sent again with its key. It may be sent
// again after a refusal by a router that is overloaded or not ready and did not run the
// request, or while an earlier run with the key still counts as running.
func (r *Refusal) retryable() bool {
	if r.RetryAfter <= 0 {
		return false
	}
	switch r.Code {
	case codeInProgress, codeNotReady, codeOverloaded:
		return true
	}
	if r.Outcome != fleet.NotRun {
		return false
	}
	switch r.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusConflict:
		return true
	}
	return false
}

type errorBody struct {
	Error struct {
		Message      string        `json:"message"`
		Code         string        `json:"code"`
		Outcome      fleet.Outcome `json:"outcome"`
		RetryAfterMS int64         `json:"retry_after_ms"`
	} `json:"error"`
}

func parseRefusal(status int, data []byte) *Refusal {
	var b errorBody
	if err := json.Unmarshal(data, &b); err != nil {
		b.Error.Message = "unreadable error body"
	}
	r := &Refusal{
		Status:     status,
		Code:       b.Error.Code,
		Message:    b.Error.Message,
		Outcome:    failure(b.Error.Outcome),
		RetryAfter: time.Duration(b.Error.RetryAfterMS) * time.Millisecond,
	}
	return r
}

// failure returns the outcome of a refusal. One that no router states leaves it unknown whether the request has run.
func failure(stated fleet.Outcome) fleet.Outcome {
	if stated == fleet.NotRun || stated == fleet.Failed {
		return stated
	}
	return fleet.Unknown
}

// readRefusal returns the refusal that an answer states. A malformed answer states none.
func readRefusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if errors.Is(err, bounded.ErrMalformed) {
		return err
	}
	r := parseRefusal(resp.StatusCode, data)
	if o := resp.Header.Values("Wigeon-Outcome"); len(o) == 1 && r.Outcome == fleet.Unknown {
		r.Outcome = failure(fleet.Outcome(o[0]))
	}
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && r.RetryAfter == 0 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r
}

// notSent reports whether err proves that no byte of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
