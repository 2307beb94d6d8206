package backend

import (
	"fmt"
	"net/http"
	"strings"

	"wigeondale/clock"
	"wigeondale/fleet"
)

// Opaque is a request whose body and answer are forwarded without being parsed.
// The answer is either a single response or a stream of numbered chunks.
type Opaque struct {
	Method    string
	Target    string // request target as sent by the caller
	Host      string
	Header    http.Header // the caller's end-to-end headers
	Body      []byte
	Route     string // name of the route that the request matched
	Account   string // client account, empty on routes that need none
	Streaming bool
	Resumable bool           // another backend server may continue the answer
	Deadline  clock.Deadline // the time left is sent to the backend server
	// Urgency determines the order of the requests that wait at routers; requests with 0 go first.
	Urgency int
	// StatedPriority is the configured priority, which is sent to backend servers; 0 if there is none.
	StatedPriority int
}

// Copies states which standby copies of its run an attempt creates and uses.
type Copies struct {
	// Standby is the backend server that keeps a copy of the attempt's state up to date
	// while the attempt runs. If Standby's address is empty, no copy is made.
	Standby fleet.Backend
	// FromCopy means that the attempt continues from the copy that its backend server has.
	// A backend server that doesn't have the copy refuses the attempt.
	FromCopy bool
	// Name and Source describe a copy that was made on demand: Name is the name of the
	// copy, and Source is the backend server that the run was copied from. Name is empty
	// for a copy that was kept up to date during the run.
	Name   string
	Source fleet.Backend
}

// Head is the status and the headers of an answer that is forwarded.
type Head struct {
	Status int
	Header http.Header
	// EndsWithConnection reports that the answer has neither a length nor chunks. The end of its connection looks
	// the same, whether the answer is complete or its backend server has crashed.
	EndsWithConnection bool
}

// EventStream is the media type of a stream of server-sent events.
const EventStream = "text/event-stream"

// Form is what the parts of one answer have in common if several backend servers deliver them.
type Form struct {
	Status    int
	MediaType string // without parameters; empty if not stated
}

// Form returns the form of the answer.
func (h *Head) Form() Form {
	var types []string
	for _, stated := range h.Header.Values("Content-Type") {
		media, _, _ := strings.Cut(stated, ";")
		types = append(types, strings.ToLower(strings.TrimSpace(media)))
	}
	return Form{Status: h.Status, MediaType: strings.Join(types, ", ")}
}

func (f Form) String() string { return fmt.Sprintf("status %d, type %q", f.Status, f.MediaType) }

// FailedAnswer is a complete answer by which a backend server reports that the request ran
// and failed.
type FailedAnswer struct {
	Head
	Body []byte
	// Release, if set, is called when the answer isn't needed any more.
	Release func()
}

func (e *FailedAnswer) Error() string {
	return fmt.Sprintf("the backend server's own answer has status %d", e.Status)
}
