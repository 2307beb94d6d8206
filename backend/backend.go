// Package backend is the client of backend servers: the streaming protocol of
// model engines (docs/BACKEND.md), orders to engines, and calls of services
// that are not model engines.
//
// It prevents three failures:
//   - A request is sent twice. net/http resends a request on its own when a
//     reused connection breaks and it considers the request replayable, so
//     every request here is made unreplayable unless the caller marked it as
//     idempotent.
//   - A request that ran is reported as not sent. An error states that no byte
//     was sent only if the connection was sealed against writes before the
//     first byte of the request.
//   - An answer is delivered to the wrong request. Every chunk and every
//     service answer is checked against the request that it names.
package backend

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("backend")

var (
	// ErrNotSent means that no byte of the request has left this process.
	ErrNotSent = errors.New("no byte was sent")
	// ErrBroken means that the exchange ended early, after bytes of the request
	// may have been sent.
	ErrBroken = errors.New("connection broken")
	// ErrBehindEnd means that a stream broke off behind the end of its body. An error that wraps it also wraps ErrBroken.
	ErrBehindEnd = fmt.Errorf("%w behind the end of the body", ErrBroken)
	// ErrMismatch means that an answer names another request, attempt, model,
	// version or adapter, or that a chunk is not well formed.
	ErrMismatch = errors.New("answer does not match the request")
	// ErrWithheld means that a request was not sent because its backend server asks the routers
	// for fewer requests. An error that wraps it also wraps ErrNotSent.
	ErrWithheld = fmt.Errorf("withheld by request of the backend server: %w", ErrNotSent)
	// ErrUnknownStream means that the engine has no stream of this attempt.
	ErrUnknownStream = errors.New("unknown stream")
	// ErrStaleFence means that the engine has seen a higher fencing number than the one in
	// the order.
	ErrStaleFence = errors.New("stale fencing number")
)

// Refused is an engine's answer which states that the engine did not start the request.
type Refused struct {
	Status     int
	Code       string // such as overloaded, leaving, model_not_loaded, bad_request
	Message    string
	RetryAfter time.Duration // 0: the engine gave none
}

func (e *Refused) Error() string {
	return fmt.Sprintf("refused: status %d, code %s", e.Status, e.Code)
}

// StartRequest opens one attempt of a generation.
type StartRequest struct {
	ID           string
	Attempt      int
	Ref          fleet.ModelRef
	Prompt       string
	MaxTokens    int // of the complete answer, resumed tokens included
	Priority     fleet.Priority
	Resume       bool          // continues a started answer: queued ahead of all new requests
	ResumeText   string        // text of the tokens before ResumeTokens
	ResumeTokens int           // index of the first token to generate
	Linger       time.Duration // how long the engine keeps the attempt without a reader

	// Opaque, when set, is the complete request. Of the fields above, only ResumeTokens is
	// then used: it is the number of the first chunk to send.
	Opaque       *Opaque
	Copies       Copies
	FirstAttempt bool // no attempt of the request was sent before
	LastAttempt  bool // no other attempt of the request may follow
}

// Token is one token of an answer. Text is valid until the next call of
// Stream.Next.
type Token struct {
	Index  int
	Text   []byte
	Finish string // empty until the last token
}

// OrderRequest contains the complete desired state of an engine, not a change to that
// state.
type OrderRequest struct {
	Fence   uint64           `json:"fence"`
	Plan    string           `json:"plan"`
	Desired []fleet.ModelRef `json:"desired"`
	Role    string           `json:"role"`
	Leaving bool             `json:"leaving"`
}

// OrderStatus is an engine's report of the state that the last order requested (Desired)
// and of the model versions that the engine serves (Actual) and is loading (Loading).
type OrderStatus struct {
	Fence   uint64           `json:"fence"`
	Desired []fleet.ModelRef `json:"desired"`
	Actual  []fleet.ModelRef `json:"actual"`
	Loading []fleet.ModelRef `json:"loading"`
}

// CacheEvent reports that an engine stored or removed one prompt-prefix block.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Type  string `json:"type"`  // stored or removed
	Block string `json:"block"` // 16 hexadecimal digits
}

// CacheEvents is one page of the cache events of one incarnation of an engine. The sequence
// numbers of the events may have gaps.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
