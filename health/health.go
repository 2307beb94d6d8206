// Package health detects from silence and errors which backend servers have
// failed, and cancels the streams that wait on them.
//
// An engine that dies with its VM, freezes, or is cut off by the network sends no
// reset; its callers see an answer that simply stops. A fixed timeout is wrong in
// two ways: too long for a caller that waits, too short for an engine that merely
// prefills a long prompt. A continuous batch advances all of its streams together,
// so any token on any stream serves as the engine's heartbeat. How much silence is
// accepted before a resume follows from expected cost: what further waiting costs
// the callers if the engine is dead, against the prefill wasted if it was merely
// slow.
//
// Where backend servers can be queried about their runs (see Monitor), silence and a
// few failures at one moment only start a query: a server that answers is not suspected.
//
// When many backend servers seem to fail at once, the cause is usually this
// process (a pause) or its network. Pauses are detected on the monotonic clock and
// not counted as silence, and the share of a replica set that may be ejected is
// bounded.
package health

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("health")

// Cause is the reason for which a Monitor cancels a stream.
type Cause struct {
	text   string
	silent bool
}

// Error implements error.
func (c *Cause) Error() string { return "health: " + c.text }

// Silent reports whether the cause may be a mere silence of a sound engine, which may still deliver.
func (c *Cause) Silent() bool { return c.silent }

// Resume returns true: the answer should be resumed on another engine.
func (c *Cause) Resume() bool { return true }

// Causes passed to the cancel function of a stream. Compare with errors.Is.
var (
	// ErrSuspect means that the whole engine fell silent.
	ErrSuspect error = &Cause{text: "engine is silent on all its streams", silent: true}
	// ErrStalled means that one stream fell silent while other streams of its engine did not.
	ErrStalled error = &Cause{text: "stream is silent while its engine is alive", silent: true}
	// ErrRestarted means that the engine has restarted and has lost the runs that it had
	// before.
	ErrRestarted error = &Cause{text: "engine has started again"}
	// ErrNoRun means that the engine reports that it doesn't have the run of the stream.
	ErrNoRun error = &Cause{text: "the engine doesn't have the run"}
	// ErrNoFirstToken means that the stream has waited for its first token for longer than the
	// bound that Policy.PrefillBound sets for the prompt.
	ErrNoFirstToken error = &Cause{text: "no first token within the bound for the prompt", silent: true}
)

// State is the assumed state of one backend server.
type State uint8

const (
	// Healthy backend servers get work.
	Healthy State = iota
	// Suspect backend servers fell silent; they get no work until their backoff ends.
	Suspect
	// Down backend servers refused connections; they get no work until their backoff ends.
	Down
	// Probing backend servers were ejected, and their backoff has ended. They may get a single
	// request, whose answer decides whether they become healthy or are ejected again.
	Probing
)

// String returns the name of the state in metrics and dumps.
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

// PeerReportKind is what another router reports of a backend server.
type PeerReportKind uint8

const (
	// PeerReportSuspect means that the backend server is silent towards another router.
	PeerReportSuspect PeerReportKind = iota
	// PeerReportDown means that the backend server refuses another router's connections.
	PeerReportDown
	// PeerReportAlive means that the backend server has recovered as seen by another router.
	// All earlier peer reports about the backend server end.
	PeerReportAlive
)
