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

	"wigeondale/fleet"
)

// Sentinel errors; test with errors.Is.
var (
	// ErrNoEndpoint is returned by a client without endpoints.
	ErrNoEndpoint = errors.New("no endpoint")
	// ErrTriesExhausted means that no router gave a final answer.
	ErrTriesExhausted = errors.New("no final answer within the allowed tries")
	errBroken         = errors.New("connection broken before the end of the answer")
	errIdle           = errors.New("connection silent for too long")
)

// maxErrorBody bounds how much of an error body is read, in bytes.
const maxErrorBody = 64 << 10

// Refusal is a router's answer that is not success.
type Refusal struct {
	Status     int // zero when it came inside a stream
	Code       string
	Message    string
	Outcome    fleet.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (status %d, code %s, outcome %s): %s", r.Status, r.Code, r.Outcome, r.Message)
}

// codeInProgress is said of a key whose request is running elsewhere, or was
// until its router died: it is no verdict on the request.
const codeInProgress = "in_progress"

// A router that refuses a reconnect by these codes does so for its own sake;
// the answer may go on at another one, although the outcome is then unknown.
const (
	codeNotReady   = "not_ready"
	codeOverloaded = "overloaded"
)

// again reports whether the same request may be sent again under its key: to
// a router that is overloaded or not ready and says that it ran nothing, or
// while the key's earlier run is still thought to be live.
func (r *Refusal) again() bool {
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
		Outcome:    b.Error.Outcome,
		RetryAfter: time.Duration(b.Error.RetryAfterMS) * time.Millisecond,
	}
	if r.Outcome == "" {
		r.Outcome = fleet.Unknown
	}
	return r
}

func readRefusal(resp *http.Response) *Refusal {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	r := parseRefusal(resp.StatusCode, data)
	if o := resp.Header.Get("Wigeon-Outcome"); o != "" && r.Outcome == fleet.Unknown {
		r.Outcome = fleet.Outcome(o)
	}
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && r.RetryAfter == 0 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r
}

// neverLeft reports whether err proves that no byte of the request was sent.
func neverLeft(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
