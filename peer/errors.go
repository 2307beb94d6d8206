package peer

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("peer")

var (
	// ErrNoRoute means that the call did not reach the node and was not run.
	ErrNoRoute = errors.New("no route to node")
	// ErrLinkLost means that the link closed or the context ended during the call, so
	// the callee may have run the call.
	ErrLinkLost = errors.New("link lost during call")
	// ErrStopped means that the mesh is not running, so nothing was sent.
	ErrStopped = errors.New("mesh stopped")
	// ErrTooLarge means that an encoded message exceeds Config.MaxMessage.
	ErrTooLarge = errors.New("message too large")
	// ErrHandshake means that the remote node did not prove the shared key, uses
	// another protocol version, or is not the node that was dialled.
	ErrHandshake = errors.New("handshake refused")
)

// Code classifies the failure of a call to which the callee or a relay replied with an
// error.
type Code uint16

const (
	// CodeHandler is an error returned by the callee's handler.
	CodeHandler Code = 1 + iota
	// CodeNoHandler means that the callee has no handler for the kind and did not run
	// the call.
	CodeNoHandler
	// CodeBadRequest means that the callee could not decode the request and did not run
	// the call.
	CodeBadRequest
	// CodeBusy means that the node that received the call already runs too many calls;
	// the call was not run.
	CodeBusy
	codeRelayNoRoute // the relaying node could not reach the callee; the call was not run
	codeRelayLost    // the relaying node lost its link to the callee; the callee may have run the call
	// CodeUser is the first code that handlers may define.
	CodeUser Code = 100
)

// RemoteError is the callee's answer that a call failed. A handler that returns a
// *RemoteError chooses the code; any other error is sent as CodeHandler.
type RemoteError struct {
	Code Code
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("remote error %d: %s", e.Code, e.Text)
}
