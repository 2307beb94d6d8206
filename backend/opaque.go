package backend

import (
	"fmt"
	"net/http"

	"wigeondale/clock"
	"wigeondale/fleet"
)

// Opaque is a request whose body and answer are passed on unread. Its answer
// comes whole, or as a stream of numbered pieces.
type Opaque struct {
	Method    string
	Target    string // request target as the caller wrote it
	Host      string
	Header    http.Header // the caller's end-to-end headers
	Body      []byte
	Route     string // name of its route
	Account   string // client account, empty on routes that need none
	Streaming bool
	Resumable bool           // another backend server may go on with its answer
	Deadline  clock.Deadline // the backend server is told what is left of it
	// Urgency orders the requests that wait at a backend server; 0 goes first.
	Urgency int
}

// Copies says which standby copies of its state an attempt makes and uses.
type Copies struct {
	// Standby is the backend server that is to hold a copy of the attempt's
	// state as it grows; without an address no copy is made.
	Standby fleet.Backend
	// FromCopy tells that the attempt goes on from the copy at its own backend
	// server. Without that copy the attempt is refused.
	FromCopy bool
	// Name and Source are those of a copy made on demand: its name, and the
	// backend server that the run was copied from. Name is empty for a copy that
	// was kept up to date all along.
	Name   string
	Source fleet.Backend
}

// Head is the beginning of an answer that is passed on.
type Head struct {
	Status int
	Header http.Header
}

// FailedAnswer is a backend server's own whole answer that says that the
// request failed there. The request ran.
type FailedAnswer struct {
	Head
	Body []byte
}

func (e *FailedAnswer) Error() string {
	return fmt.Sprintf("the backend server's own answer has status %d", e.Status)
}
