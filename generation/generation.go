// Package generation runs one generation from its admission to its end, over as many engines as
// needed.
//
// The state chart in generation.json defines the order of events; the code defines what each
// state does. The package guards against these faults:
//
//   - An engine is lost in mid-answer: the answer is continued elsewhere from the accepted text,
//     by the same model, version and adapter only.
//   - Tokens arrive late, twice, out of order or with a gap (type tokenFilter).
//   - A request that is not idempotent runs twice: therefore the request is claimed before
//     dispatch, and after that the router only re-attaches to the request's one run.
//   - An untrue "not-run": an attempt may have run from before its first byte is sent until a proof
//     that it did not (type fates).
//
// When the caller's connection is lost (an error of the Sink, or the end of the caller's context)
// the attempt is not cancelled: its reader is closed and the engine keeps the attempt for the
// linger time, so that the caller may re-attach through any router. In all other cases the
// attempt is passed to Deps.Abandon to be cancelled.
package generation

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/quarantine"
)

// Error is the class of this package's errors.
var Error = errs.Class("generation")

var (
	// ErrEngineLost, as the cancel cause of an attempt, requests a resume.
	ErrEngineLost = errors.New("engine lost")
	// ErrDeadline means that the caller's deadline has passed.
	ErrDeadline = errors.New("deadline passed")
	// ErrCallerDisconnected means that the caller no longer accepts the answer.
	ErrCallerDisconnected = errors.New("caller is gone")
	// ErrSuperseded is the cause of a run's cancelled context if a caller reconnected for an
	// answer to the same request that it had begun to receive.
	ErrSuperseded = errors.New("superseded by the caller's reconnect")
	// ErrDuplicate means that another run has already claimed the key of the request.
	ErrDuplicate = errors.New("key is claimed already")
	// ErrNoResume means that the answer can't be continued: no remaining run can deliver the
	// rest, and no text is known from which another run could continue without changing the
	// answer.
	ErrNoResume = errors.New("answer can't be continued")
)

// Codes of Result, in addition to the codes of engine refusals.
const (
	CodeDeadline           = "deadline"
	CodeCallerDisconnected = "caller_gone"
	CodeDuplicate          = "duplicate_key"
	CodeKeyReused          = "key_reused"      // the key is claimed by a request with another body
	CodeStopping           = "router_stopping" // the router is about to end, and the request could not end before
	CodeNoClaim            = "claims_unavailable"
	CodeNoReplica          = "no_replica"
	CodeNotAdmitted        = "not_admitted"
	CodeRetryBudget        = "retry_budget"
	CodeEngineLost         = "engine_lost"
	CodeNoResume           = "resume_impossible"
	CodeBadRequest         = "bad_request"
	CodeQuarantined        = "request_quarantined"     // backend servers crashed while they ran it or its repeats
	CodePartQuarantined    = "prompt_part_quarantined" // backend servers crashed under requests with a part of its prompt
	CodeAwaitsTurn         = "request_suspected"       // another attempt of a request under which backend servers crashed is in progress
	codeAttemptExists      = "attempt_exists"
	codeInternalFlow       = "internal"
)

// Unavailable is the error with which an Admitter, Claims or Picker reports the cause and when
// the caller should come back. Any other error counts as final and gives no time to come back.
type Unavailable struct {
	Code       string        // sent to the caller; empty selects this package's code
	Retryable  bool          // the missing resource is expected within RetryAfter
	RetryAfter time.Duration // 0 if not known
	Err        error
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("unavailable (%s): %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error { return e.Err }

// Request is one generation as the caller requested it.
type Request struct {
	ID            string // unique across all client accounts
	Account       string
	Ref           fleet.ModelRef
	Prompt        string
	MaxTokens     int
	Priority      fleet.Priority
	NonIdempotent bool
	Deadline      time.Time // zero means none
	BodyHash      [16]byte
	Resume        *ResumePoint // nil for a new request

	// Forwarded reports that another router has admitted and claimed the request and passed it on,
	// since it is cut off from the backend servers.
	Forwarded bool
	// Retry reports that the other router has sent an attempt of the request before.
	Retry bool
	// Binding is the software version at which the answer began, if another router has passed part
	// of the answer on or has found it out.
	Binding *Binding

	// Opaque, if set, replaces Ref and Prompt. It is passed on without being parsed, and the
	// chunks of its answer are delivered as tokens. Opaque requests aren't claimed: each of
	// them has an id of its own and reaches a single router.
	Opaque *Opaque
}

// subject identifies the request for the quarantine guard: repeats of the request have the
// same subject.
func (r *Request) subject() quarantine.Subject {
	if o := r.Opaque; o != nil {
		return quarantine.Subject{
			Account: r.Account, Method: o.Method, Host: o.Host, Target: o.Opaque.Target, Body: o.Body,
			Content: quarantine.Content{Parts: quarantine.SharedParts(o.PromptParts), Model: o.Service + "/" + o.Model},
		}
	}
	return quarantine.Subject{Account: r.Account, Target: r.Ref.Model, Body: []byte(r.Prompt)}
}

// Opaque is an opaque request with the parameters of its run.
type Opaque struct {
	*backend.Opaque
	Service          string
	ConfigVersion    int64         // version of the configuration by which the service was chosen
	FirstChunk       int           // number of the first chunk that the caller wants
	PromptTokens     int           // estimated tokens of the prompt
	MaxAnswerTokens  int           // maximum number of tokens of the answer
	LengthHint       int           // client's estimate of the tokens of the answer, 0 if not stated
	PromptParts      []string      // ids of the prompt's parts, in order
	Model            string        // model that the request names, empty if it names none
	HasPartialAnswer bool          // the client already has part of the answer, through another router
	Form             *backend.Form // of the answer of which the caller got a part through the router that passed the request on; nil if it got none
	BeganAs          string        // id of the client's attempt that brought the first chunk of that part; empty if not stated
	MaxAttempts      int           // maximum number of backend servers that may run it
	MaxWait          time.Duration // longest wait for a backend server
	FirstChunkTarget time.Duration // time from the start of the request after which the first chunk is late
	SinceFirstTry    time.Duration // time since the client's first try, as far as known
	Copies           Copying       // standby copies of the run
}

// Copying states how the backend servers of a service copy the state of a run to another
// backend server.
type Copying struct {
	KeptUpToDate bool // they keep a copy up to date from the start of a run
	OnDemand     bool // they make a copy on request
}

// ResumePoint is the point from which to continue an answer that was started through another
// router. The origin and the text of the point have been checked against the cursor.
type ResumePoint struct {
	Backend     string
	Incarnation string
	Attempt     int
	Offset      int    // tokens that the caller has received
	Text        string // text of those tokens
	HaveText    bool
	Finished    bool   // the caller has already received the last token
	Software    string // software version of the engine that produced those tokens; empty if not stated
}

// Position identifies the attempt that produces tokens.
type Position struct {
	Backend     string
	Incarnation string
	Attempt     int
	Software    string // software version of the backend server; empty until it is needed, or if it isn't known
}

// Sink receives the answer. An error means that the caller has disconnected.
type Sink interface {
	// Begin is called once for each attempt that delivers, before its tokens. head is the head of
	// the attempt's response if the request is opaque, else nil.
	Begin(p Position, head *backend.Head) error
	// Token receives the token at index. text is valid only during the call.
	Token(index int, text []byte, finish string) error
	// Flush sends the tokens delivered so far to the caller. The runner calls Flush whenever
	// it has to wait for the next token.
	Flush() error
}

// Result is the outcome of a request.
type Result struct {
	Outcome    fleet.Outcome
	Code       string // empty if complete
	Err        error
	RetryAfter time.Duration
	Tokens     int // delivered by this run
	Resumes    int
	Digest     string // identifies the request and its repeats; empty if crashes of backend servers that ran it aren't tracked
	// TimeToFirstToken is the time until the first token was delivered. LongestPause is the
	// longest time between two consecutive tokens.
	TimeToFirstToken time.Duration
	LongestPause     time.Duration
}
