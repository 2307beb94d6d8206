// Package backend speaks to backend servers: the streaming protocol of model
// engines (docs/BACKEND.md), orders to them, and calls of plain services.
//
// It guards against three failures. A request that is sent twice: net/http
// repeats a request by itself on a broken reused connection when it deems the
// request replayable, so every request here is made unreplayable unless the
// caller allowed it. A refusal that is untrue: an error says "no byte left"
// only when the connection was sealed before the first byte of the request.
// An answer to somebody else's request: every chunk and every service answer
// is checked against the request that it claims to answer.
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
	// ErrBroken means that the exchange ended early and that bytes may have left.
	ErrBroken = errors.New("connection broken")
	// ErrMismatch means that an answer names another request, attempt, model,
	// version or adapter, or that a chunk is not well formed.
	ErrMismatch = errors.New("answer is not that of the request")
	// ErrUnknownStream means that the engine knows no such attempt.
	ErrUnknownStream = errors.New("unknown stream")
	// ErrStaleFence means that the engine has seen a higher fencing number.
	ErrStaleFence = errors.New("stale fencing number")
)

// Refused is an engine's own statement that it did not start the request.
type Refused struct {
	Status     int
	Code       string // such as overloaded, leaving, model_not_loaded, bad_request
	Message    string
	RetryAfter time.Duration // 0 when the engine gave none
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
	MaxTokens    int // of the whole answer
	Priority     fleet.Priority
	Resume       bool   // goes on with a started answer: ahead of all new work
	ResumeText   string // text of the tokens before ResumeTokens
	ResumeTokens int    // index of the first token to generate
	Linger       time.Duration

	// Opaque, when set, is the whole request: of the fields above only
	// ResumeTokens counts, as the number of the first piece that is wanted.
	Opaque       *Opaque
	Copies       Copies
	FirstAttempt bool // no attempt of the request was sent before
	LastAttempt  bool // no other attempt may follow
}

// Token is one token of an answer. Text is valid until the next call of Next.
type Token struct {
	Index  int
	Text   []byte
	Finish string // empty until the last token
}

// OrderRequest states what an engine shall serve, absolutely.
type OrderRequest struct {
	Fence   uint64           `json:"fence"`
	Plan    string           `json:"plan"`
	Desired []fleet.ModelRef `json:"desired"`
	Role    string           `json:"role"`
	Leaving bool             `json:"leaving"`
}

// OrderStatus is what an engine says of its orders.
type OrderStatus struct {
	Fence   uint64           `json:"fence"`
	Desired []fleet.ModelRef `json:"desired"`
	Actual  []fleet.ModelRef `json:"actual"`
	Loading []fleet.ModelRef `json:"loading"`
}

// CacheEvent tells of one prompt-prefix block of an engine.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Type  string `json:"type"`  // stored or removed
	Block string `json:"block"` // 16 hexadecimal digits
}

// CacheEvents is one page of an engine's cache events. Sequence numbers may
// have gaps.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}
