package generation

import (
	"context"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/health"
)

// Ticket is the information on which admission decides.
type Ticket struct {
	Account  string
	Model    string
	Service  string // of an opaque request, instead of Model
	Priority fleet.Priority
	Cost     float64 // tokens of the prompt (estimated) and the answer (maximum)
	Deadline time.Time
	Resume   bool // continues an answer that was started through another router
}

// TakePlace reserves a connection for a second attempt of a request whose first attempt is kept. ok is false if the limit is reached.
type TakePlace func() (release func(), ok bool)

// Admitter applies the limits of client accounts. The returned release, if it is not nil, is
// called at the end of the run.
type Admitter interface {
	Admit(ctx context.Context, t Ticket) (release func(), err error)
}

// Claims stores at-most-once claims.
type Claims interface {
	// Claim claims the key for attempt. granted is false if another attempt has claimed it.
	Claim(ctx context.Context, account, key string, bodyHash [16]byte, attempt string) (granted bool, err error)
	// Void frees a key that is claimed by attempt and will not be used.
	Void(ctx context.Context, account, key, attempt string) error
}

// PickRequest states what a Picker needs to choose an engine for a request.
type PickRequest struct {
	RequestID  string // id; spreads the resumes of one prompt over engines
	Ref        fleet.ModelRef
	Priority   fleet.Priority
	Prompt     string
	Exclude    map[string]bool
	Resume     bool // a started answer has priority over new work
	IsRetry    bool // an attempt of the request was sent before
	MayHaveRun bool // an attempt of the request may have run

	// Urgency is how urgent an opaque request is among those of its service, from 0, the most urgent, to 9.
	Urgency int
	Account string // client account, empty if not known

	Service         string // of an opaque request, instead of Ref
	PromptTokens    int    // estimated tokens of its prompt, 0 if not stated
	MaxAnswerTokens int    // maximum number of tokens of its answer
	// Route, Account and LengthHint are what an estimate of the answer's length is made from, in
	// addition; LengthHint is the client's own estimate in tokens, 0 if not stated.
	Route      string
	LengthHint int
	// ChunksReceived is the number of chunks of its answer that exist already.
	ChunksReceived int
	// FirstChunkTarget is the time from the start of the request after which the first chunk
	// is late; 0 means that it is never late.
	FirstChunkTarget time.Duration
	// SinceFirstTry is the time since the first try by the client of an opaque request, as far
	// as that time is known.
	SinceFirstTry time.Duration
	// TimeLeft is how long the client of an opaque request still waits; 0 if not known.
	TimeLeft time.Duration
	// Late reports that the first chunk can't arrive in time any more.
	Late bool
	// Yields reports that more urgent requests wait at other routers. It is set by the Picker.
	Yields bool
	// HasTurn reports that the request is served although more urgent ones wait, since its priority was passed over for too
	// long. It is set by the Picker.
	HasTurn bool
	// UniquePart is the id of the part of the prompt that no other request shares, or "" if
	// that part isn't known.
	UniquePart string
	// PromptParts are the ids of the prompt's parts if the client came back with part of its
	// answer, since a backend server may still have those parts in its cache. Otherwise, and
	// from the second attempt on, it is nil.
	PromptParts []string
	// Stream reports that the answer stays at the software version that began it. Binding is this
	// version once the answer has begun.
	Stream  bool
	Binding *Binding
	Prefer  string // backend server that has a copy; chosen if it is available
	// LostDomain is the failure domain of the most recently lost attempt. Other domains are
	// preferred: the fault that made that backend server unreachable may affect its neighbours
	// as well.
	LostDomain string
}

// Picker chooses engines. At the time of the call, Pick must check that the engine is not
// leaving. The returned LoadShare counts the attempt in the engine's load until End is called.
type Picker interface {
	Pick(ctx context.Context, a PickRequest) (b fleet.Backend, s LoadShare, err error)
	// Lookup returns a known engine, whether or not it is leaving.
	Lookup(backendID string) (fleet.Backend, bool)
	// KeepsCopy reports whether the copy at a backend server can still be expected to exist.
	KeepsCopy(backendID string) bool
	// Standby chooses the backend server that keeps a copy of the run at b. ok is false if no
	// backend server can.
	Standby(a PickRequest, b fleet.Backend) (standby fleet.Backend, s LoadShare, ok bool)
}

// LoadShare counts an attempt, or a copy, in the load of its backend server.
type LoadShare interface {
	// PrefillDone records that the prompt has been read. Further calls do nothing.
	PrefillDone()
	// End removes the attempt or copy from the load. Further calls do nothing.
	End()
}

// CostShare is a LoadShare that records what the attempt cost.
type CostShare interface {
	LoadShare
	// SetCost is called at most once, before End, if the attempt was sent and the backend server did not refuse it. chunks
	// is the number of chunks or tokens that were received from it.
	SetCost(chunks int)
}

// Watch reports the progress of one stream to the failure detector.
type Watch interface {
	Token(now time.Time)
	// SetBlocked reports that the caller stopped reading tokens (true) or started to read
	// again (false).
	SetBlocked(blocked bool, now time.Time)
	// SetCopied reports whether a copy of the run's state exists elsewhere, from which the run
	// can continue without another prefill.
	SetCopied(copied bool)
	Close()
}

// Watcher is the failure detector. It cancels an attempt with a cause that has the method
// Resume() bool, or that wraps ErrEngineLost.
type Watcher interface {
	Watch(backendID string, work health.Work, cancel context.CancelCauseFunc) Watch
	// Result reports the result of a dispatch; err may be a *backend.Refused.
	Result(backendID string, err error)
}

// Stream is the answer of one attempt, implemented by *backend.Stream. It is used by one
// goroutine only, except that Close may be called from another goroutine.
type Stream interface {
	// Next returns the next token, or io.EOF itself after the end of the answer. An error that wraps
	// io.EOF is a loss.
	Next() (backend.Token, error)
	// Buffered reports whether another token can be read without waiting.
	Buffered() bool
	Incarnation() string
	// Head is the head of an opaque response, else nil.
	Head() *backend.Head
	Close() error
}

// Engines opens streams of new attempts and attaches to attempts that an engine still keeps.
type Engines interface {
	Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error)
	Attach(ctx context.Context, b fleet.Backend, id backend.StreamID, from int) (Stream, error)
}

// Native opens streams over this module's own engine protocol.
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

// Abandoner cancels attempts that no client reads, implemented by *backend.Canceller.
type Abandoner interface {
	Add(a backend.AbandonedAttempt)
}

// RetryBudget limits retries to a share of first tries.
type RetryBudget interface {
	// Take draws one retry for a request to service, which is empty for model engines.
	Take(service string) bool
	// Continue draws one retry for a started answer whose attempt was lost. Such a retry may
	// overdraw the budget, up to a limit.
	Continue(service string) bool
	// Await draws one retry as soon as there is budget, for which it may borrow from other
	// routers. It returns false if there is none within the limit, at the end of ctx, or at once
	// if it can't borrow.
	Await(ctx context.Context, service string, started bool, limit time.Duration) bool
}
