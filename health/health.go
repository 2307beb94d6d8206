// Package health judges from silence and errors which backend servers have
// failed, and cancels the streams that wait on them.
//
// Failure story: an engine that dies with its VM, freezes, or is cut off sends
// no reset; its callers see an answer that simply stops. A fixed timeout is
// wrong twice: too long for a caller who waits, too short for an engine that
// merely prefills a long prompt. A continuous batch advances all of its
// streams together, so any token on any stream is the engine's heartbeat. The
// silence that is borne before a resume follows from expected cost: what
// another moment of waiting costs the callers if the engine is dead, against
// the prefill thrown away if it was merely slow.
//
// Where backend servers can be asked about their runs (Inquirer), silence and a few
// failures at one moment only raise the question: one that answers is not given up.
//
// When many backend servers seem to fail at once, the cause is usually this
// process (a pause) or its network. Pauses are detected on the monotonic clock
// and forgiven, and the share of a replica set that may be ejected is bounded.
package health

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("health")

// Cause is the reason for which a Monitor cancels a stream.
type Cause struct{ text string }

// Error implements error.
func (c *Cause) Error() string { return "health: " + c.text }

// Resume is true: the answer should be resumed on another engine.
func (c *Cause) Resume() bool { return true }

// Causes given to the cancel function of a stream. Compare with errors.Is.
var (
	// ErrSuspect means that the whole engine fell silent.
	ErrSuspect error = &Cause{"engine is silent on all its streams"}
	// ErrStalled means that one stream fell silent beside live ones.
	ErrStalled error = &Cause{"stream is silent while its engine is alive"}
	// ErrRestarted means that the engine has started again and holds nothing of before.
	ErrRestarted error = &Cause{"engine has started again"}
	// ErrNoFirstToken means that the prefill took longer than its bound.
	ErrNoFirstToken error = &Cause{"no first token within the bound for the prompt"}
)

// State is what is believed of one backend server.
type State uint8

const (
	// Healthy backend servers take work.
	Healthy State = iota
	// Suspect ones fell silent; they get no work until their backoff ends.
	Suspect
	// Down ones refused connections; they get no work until their backoff ends.
	Down
	// Probing ones may take a single request, whose answer decides.
	Probing
)

// String names the state as metrics and dumps show it.
func (s State) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Down:
		return "down"
	case Probing:
		return "probing"
	}
	return "healthy"
}

// PeerReportKind says what another router reports of a backend server.
type PeerReportKind uint8

const (
	// PeerReportSuspect means that another router sees it silent.
	PeerReportSuspect PeerReportKind = iota
	// PeerReportDown means that it refuses another router's connections.
	PeerReportDown
	// PeerReportAlive takes earlier rumours back.
	PeerReportAlive
)
