package peer

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("peer")

var (
	// ErrNoRoute means that the call reached no node: it was surely not run.
	ErrNoRoute = errors.New("no route to node")
	// ErrLinkLost means that the link ended, or the context did, while the call
	// was under way: the callee may have run it.
	ErrLinkLost = errors.New("link lost during call")
	// ErrStopped means that the mesh is not running: nothing was sent.
	ErrStopped = errors.New("mesh stopped")
	// ErrTooLarge means that an encoded message is above Config.MaxMessage.
	ErrTooLarge = errors.New("message too large")
	// ErrHandshake means that the other side failed to prove the shared key or
	// is not the node that was dialled.
	ErrHandshake = errors.New("handshake refused")
)

// Code classifies the failure of a call that the callee answered.
type Code uint16

const (
	// CodeHandler is an error returned by the callee's handler.
	CodeHandler Code = 1 + iota
	// CodeNoHandler means that the callee knows no such kind: not run.
	CodeNoHandler
	// CodeBadRequest means that the request could not be decoded: not run.
	CodeBadRequest
	// CodeBusy means that too many calls run at the callee: not run.
	CodeBusy
	codeRelayNoRoute
	codeRelayLost
	// CodeUser is the first code that handlers may define for themselves.
	CodeUser Code = 100
)

// RemoteError is the callee's own answer that a call failed. A handler that
// returns one chooses the code; any other error travels as CodeHandler.
type RemoteError struct {
	Code Code
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("remote error %d: %s", e.Code, e.Text)
}
