// Package generation carries one generation from its admission to its end,
// over as many engines as it takes.
//
// The state chart in generation.json holds the order of events; the code holds
// what each state does. The package guards against: an engine lost in
// mid-answer (the answer goes on elsewhere from the accepted text, same model,
// version and adapter only); late, repeated, crossed or skipped tokens (type
// acceptor); a second run of a request that is not idempotent (claim before
// dispatch, then only re-attachment to the one run); and an untrue "not-run",
// which is said only while no byte can have reached an engine or every engine
// that was reached refused before starting.
//
// When the caller's connection is lost (a Sink error, or the caller's context
// ending) the attempt is not cancelled: its reader is closed and the engine
// keeps it for the linger time, so that the caller may re-attach through any
// router. In every other case the attempt goes to the Canceller.
package generation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/quarantine"
)

// Error is the class of this package's errors.
var Error = errs.Class("generation")

var (
	// ErrEngineLost, as a cancel cause of an attempt, asks for a resume.
	ErrEngineLost = errors.New("engine lost")
	// ErrDeadline says that the caller's deadline passed.
	ErrDeadline = errors.New("deadline passed")
	// ErrCallerDisconnected says that the caller took no more of the answer.
	ErrCallerDisconnected = errors.New("caller is gone")
	// ErrDuplicate says that the key of the request is claimed already.
	ErrDuplicate = errors.New("key is claimed already")
	// ErrMoved says that an attempt was ended since its answer is to go on elsewhere. It is no
	// fault of the backend server.
	ErrMoved = errors.New("answer is to go on elsewhere")
	// ErrNoResume says that an answer can't be continued truthfully.
	ErrNoResume = errors.New("answer can't be continued")
)

// Codes of Result, besides those of an engine's own refusal.
const (
	CodeDeadline           = "deadline"
	CodeCallerDisconnected = "caller_gone"
	CodeDuplicate          = "duplicate_key"
	CodeKeyReused          = "key_reused" // the key is claimed by a request with another body
	CodeNoClaim            = "claims_unavailable"
	CodeNoReplica          = "no_replica"
	CodeNotAdmitted        = "not_admitted"
	CodeRetryBudget        = "retry_budget"
	CodeEngineLost         = "engine_lost"
	CodeNoResume           = "resume_impossible"
	CodeBadRequest         = "bad_request"
	CodeQuarantined        = "request_quarantined" // backend servers crashed under it and its repeats
	codeAttemptExists      = "attempt_exists"
	codeInternalFlow       = "internal"
)

// Unavailable is the error by which an Admitter, Claims or Picker says why and
// until when; any other error counts as final and without advice.
type Unavailable struct {
	Code       string        // for the caller; empty uses this package's code
	Retryable  bool          // what is missing is expected within RetryAfter
	RetryAfter time.Duration // 0 when not known
	Err        error
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("unavailable (%s): %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Err }

// Request is one generation as the caller asked for it.
type Request struct {
	ID            string // unique over all client accounts
	Account       string
	Ref           fleet.ModelRef
	Prompt        string
	MaxTokens     int
	Priority      fleet.Priority
	NonIdempotent bool
	Deadline      time.Time // zero means none
	BodyHash      [16]byte
	Resume        *ResumePoint // nil for a new request

	// Opaque, when set, is passed on unread in place of Ref and Prompt. Its
	// answer's pieces are delivered as tokens. There is no claim: each such
	// request has an id of its own and reaches a single router.
	Opaque *Opaque
}

// subject is what the request and its repeats have in common.
func (r *Request) subject() quarantine.Subject {
	if o := r.Opaque; o != nil {
		return quarantine.Subject{Account: r.Account, Method: o.Method, Host: o.Host, Target: o.Opaque.Target, Body: o.Body}
	}
	return quarantine.Subject{Account: r.Account, Target: r.Ref.Model, Body: []byte(r.Prompt)}
}

// Opaque is what the run of an opaque request goes by.
type Opaque struct {
	*backend.Opaque
	Service          string
	FirstChunk       int           // number of the first piece that the caller wants
	PromptTokens     int           // estimated tokens of the prompt
	MaxAnswerTokens  int           // most tokens of the answer
	PromptParts      []string      // ids of the prompt's parts, in order
	HasPartialAnswer bool          // the client has a part of the answer from another router
	MaxAttempts      int           // backend servers that it may run on
	MaxWait          time.Duration // longest wait for a backend server
	FirstChunkTarget time.Duration // from the begin, when the first piece is late
	SinceFirstTry    time.Duration // since the client's first try, as far as known
	Copies           Copying       // standby copies of the run
}

// Copying says how the backend servers of a service copy a run's state to another one.
type Copying struct {
	KeptUpToDate bool // they keep a copy up to date from the begin of a run
	OnDemand     bool // they make one when asked
}

// ResumePoint is where an answer begun through another router goes on. Its
// origin and its text have been checked against the cursor.
type ResumePoint struct {
	Backend     string
	Incarnation string
	Attempt     int
	Offset      int    // tokens that the caller has
	Text        string // text of those tokens
	HaveText    bool
	Finished    bool // the caller has the last token already
}

// Position names the attempt that tokens come from.
type Position struct {
	Backend     string
	Incarnation string
	Attempt     int
}

// Sink takes the answer. An error means that the caller is gone.
type Sink interface {
	// Begin is called once for each attempt that delivers, before its tokens.
	// head is that of the attempt's answer if the request is opaque, else nil.
	Begin(p Position, head *backend.Head) error
	// Token takes the token at index; text is valid during the call only.
	Token(index int, text []byte, finish string) error
	// Flush is called when no further token is at hand.
	Flush() error
}

// Result is what became of a request.
type Result struct {
	Outcome    fleet.Outcome
	Code       string // empty when complete
	Err        error
	RetryAfter time.Duration
	Tokens     int // delivered by this run
	Resumes    int
	Digest     string // that the request shares with its repeats, empty if it isn't followed
	// TimeToFirstToken is when the first token was delivered, and LongestPause the
	// longest time between two that followed.
	TimeToFirstToken time.Duration
	LongestPause     time.Duration
}

// Ticket is what admission decides on.
type Ticket struct {
	Account  string
	Model    string
	Service  string // of an opaque request, instead of Model
	Priority fleet.Priority
	Cost     float64 // tokens of prompt (estimated) and answer (at most)
	Deadline time.Time
	Resume   bool // continues an answer begun through another router
}

// Admitter applies the limits of client accounts.
type Admitter interface {
	Admit(ctx context.Context, t Ticket) (release func(), err error)
}

// Claims holds at-most-once claims.
type Claims interface {
	// Claim reports whether attempt holds the key from now on.
	Claim(ctx context.Context, account, key string, bodyHash [16]byte, attempt string) (granted bool, err error)
	// Void frees a key that this very attempt holds and will not use.
	Void(ctx context.Context, account, key, attempt string) error
}

// PickRequest is what a Picker chooses by.
type PickRequest struct {
	RequestID  string // id; spreads the resumes of one prompt over engines
	Ref        fleet.ModelRef
	Priority   fleet.Priority
	Prompt     string
	Exclude    map[string]bool
	Resume     bool // a started answer goes ahead of new work
	IsRetry    bool // an attempt of the request was sent before
	MayHaveRun bool // one may have run

	Service         string // of an opaque request, instead of Ref
	PromptTokens    int    // estimated tokens of its prompt, 0 when not stated
	MaxAnswerTokens int    // most tokens of its answer
	// FirstChunkTarget is when the first piece is late, from the request's begin; 0 for never.
	FirstChunkTarget time.Duration
	// SinceFirstTry is how long ago the client of an opaque request tried first, as far as known.
	SinceFirstTry time.Duration
	// TimeLeft is what is left of the time of the client of an opaque request; 0 when not known.
	TimeLeft time.Duration
	// Late tells that its first piece can't be in time any more.
	Late bool
	// UniquePart is the id of the part of the prompt that no other request has, "" if not known.
	UniquePart string
	// PromptParts are those of the prompt of a client that came back with a part of its
	// answer: some backend server may still hold them.
	PromptParts []string
	Prefer      string // backend server that holds a copy; it is taken if it can be
	// LostDomain is the failure domain of the attempt that was lost last. Others
	// go first: what took that backend server may have taken its neighbours.
	LostDomain string
}

// Picker chooses engines. Pick must check at that moment that the engine is
// not leaving; the share ends its part in the engine's load.
type Picker interface {
	Pick(ctx context.Context, a PickRequest) (b fleet.Backend, s LoadShare, err error)
	// Lookup finds a known engine, leaving or not.
	Lookup(backendID string) (fleet.Backend, bool)
	// KeepsCopy tells whether a copy at a backend server is still to be counted on.
	KeepsCopy(backendID string) bool
	// Standby chooses where the run at b keeps a copy; false means nowhere.
	Standby(a PickRequest, b fleet.Backend) (standby fleet.Backend, s LoadShare, ok bool)
}

// LoadShare is the part of an attempt, or of a copy, in the load of its backend server.
type LoadShare interface {
	// PrefillDone tells that the prompt has been read; further calls do nothing.
	PrefillDone()
	// End takes the part off; further calls do nothing.
	End()
}

// Watch follows one stream for the failure detector.
type Watch interface {
	Token(now time.Time)
	// SetBlocked tells that the caller stopped, or began again, to take tokens.
	SetBlocked(blocked bool, now time.Time)
	// SetCopied tells whether a copy of the run's state is kept elsewhere, from
	// which it goes on without another prefill.
	SetCopied(copied bool)
	Close()
}

// Watcher is the failure detector. It cancels an attempt with a cause that
// has Resume() bool, or that wraps ErrEngineLost.
type Watcher interface {
	Watch(backendID string, work health.Work, cancel context.CancelCauseFunc) Watch
	// Result tells how a dispatch began; err may be a *backend.Refused.
	Result(backendID string, err error)
}

// Stream is the answer of one attempt; *backend.Stream is one. It belongs to
// one goroutine, but Close may be called from another.
type Stream interface {
	// Next returns the next token, or io.EOF after the end of the answer.
	Next() (backend.Token, error)
	// Buffered reports whether another token is at hand.
	Buffered() bool
	Incarnation() string
	// Head is the beginning of an opaque answer, else nil.
	Head() *backend.Head
	Close() error
}

// Engines opens streams.
type Engines interface {
	Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error)
	Attach(ctx context.Context, b fleet.Backend, id backend.StreamID, from int) (Stream, error)
}

// Native opens streams of the product's own protocol.
type Native struct{ Client *backend.Client }

// Open implements Engines.
func (n Native) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	s, err := n.Client.Open(ctx, b, r)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Attach implements Engines.
func (n Native) Attach(ctx context.Context, b fleet.Backend, id backend.StreamID, from int) (Stream, error) {
	s, err := n.Client.Attach(ctx, b, id, from)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Abandoner cancels attempts that nobody reads; *backend.Canceller does.
type Abandoner interface {
	Add(a backend.AbandonedAttempt)
}

// RetryBudget limits retries to a share of first tries.
type RetryBudget interface {
	// Take draws one retry for a request to service; empty for model engines.
	Take(service string) bool
	// Continue draws one for an answer that has begun and was lost. It may go
	// beyond what Take allows, within a bound.
	Continue(service string) bool
}
