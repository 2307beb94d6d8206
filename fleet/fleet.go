// Package fleet holds the identities and values that every other package
// speaks in: models, backend servers, requests, outcomes. It does no I/O.
package fleet

import (
	"fmt"
	"time"
)

// ModelRef names exactly what an engine runs. Two generations may be joined
// into one answer only when all three parts are equal.
type ModelRef struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
}

// String renders model@version or model@version+adapter.
func (m ModelRef) String() string {
	s := m.Model + "@" + m.Version
	if m.Adapter != "" {
		s += "+" + m.Adapter
	}
	return s
}

// Priority orders work that competes for the same backend servers.
type Priority uint8

const (
	// Batch is work that may wait: long drafts.
	Batch Priority = iota
	// Interactive is work that is lost when late: small lookups.
	Interactive
)

// String returns the name used in requests and settings.
func (p Priority) String() string {
	if p == Interactive {
		return "interactive"
	}
	return "batch"
}

// ParsePriority reads a name written by String.
func ParsePriority(s string) (Priority, error) {
	switch s {
	case "batch":
		return Batch, nil
	case "interactive":
		return Interactive, nil
	}
	return Batch, fmt.Errorf("priority %q: want interactive or batch", s)
}

// Outcome says what became of a request, in terms its caller may act on.
type Outcome string

const (
	// Complete means that the whole answer was delivered.
	Complete Outcome = "complete"
	// NotRun means that no backend server has run any of the request. It may be
	// said only while no byte of the request can have reached a backend server,
	// or when the backend server itself refused it before starting.
	NotRun Outcome = "not-run"
	// Failed means that the request ran at least in part and will not complete.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Kind tells model engines from plain services.
type Kind string

const (
	// Engine is a model engine that streams tokens.
	Engine Kind = "engine"
	// Service is a plain HTTP service that stands beside the engines.
	Service Kind = "service"
)

// Backend is a backend server as the VM list announces it.
type Backend struct {
	ID string `json:"id"`
	// Incarnation is set where backend servers start again under the same name; ID is
	// its ID then.
	Incarnation   Incarnation `json:"-"`
	Addr          string      `json:"addr"` // host:port
	VM            string      `json:"vm"`
	FailureDomain string      `json:"failure_domain"`
	Kind          Kind        `json:"kind"`
	Service       string      `json:"service,omitempty"` // name under /services/, for Kind Service
	// Version is that of its software, where a roll-out may replace it; empty elsewhere.
	Version string `json:"-"`
	// ChecksFence is true when the backend server refuses an order whose fencing
	// number is lower than one that it has already seen.
	ChecksFence bool `json:"checks_fence"`
	// Started orders the starts of backend servers: a later one has a higher
	// number. 0 when that is not known.
	Started int64 `json:"started,omitempty"`
	// Leaving is true once the VM list says that the VM is going away.
	Leaving bool `json:"leaving"`
}

// Name is how the backend server is addressed.
func (b *Backend) Name() string {
	if b.Incarnation.Name != "" {
		return b.Incarnation.Name
	}
	return b.ID
}

// LoadReport is an engine's own, lagging account of itself.
type LoadReport struct {
	Incarnation string     `json:"incarnation"` // new at each start of the engine
	AsOfUnixMS  int64      `json:"as_of_unix_ms"`
	Running     int        `json:"running"`
	Waiting     int        `json:"waiting"`
	CacheUsed   int        `json:"cache_blocks_used"`
	CacheTotal  int        `json:"cache_blocks_total"`
	Leaving     bool       `json:"leaving"`
	Role        string     `json:"role"` // "both", "prefill" or "decode"
	Serves      []ModelRef `json:"serves"`
}

// AsOf is the moment that the report describes.
func (r LoadReport) AsOf() time.Time { return time.UnixMilli(r.AsOfUnixMS) }

// EngineState is what an engine says of its work and memory when it is asked. It
// describes a moment some tenths of a second ago.
type EngineState struct {
	Queued           int        // requests that wait for a place in the batch
	NextPromptTokens int        // tokens of the prompt of the first of them, 0 if none waits
	Reading          int        // requests in the batch whose prompts are being read
	MemoryUsed       int        // tokens in memory that can't be dropped
	CopyTokens       int        // of those, tokens of copies of runs elsewhere
	Runs             []RunState // in the batch, with their prompts read
}

// RunState is one run in an EngineState.
type RunState struct {
	Memory int // tokens in memory
	Chunks int // pieces of its answer
}
