// Package fleet defines the identities and values that all other packages use: models,
// backend servers, requests, outcomes. It does no I/O.
package fleet

import (
	"fmt"
	"time"
)

// ModelRef names exactly what an engine runs. Two generations may be joined into one answer
// only when all three fields are equal.
type ModelRef struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version" cbor:"2,keyasint"`
	Adapter string `json:"adapter,omitempty" cbor:"3,keyasint,omitempty"`
}

// String returns model@version or model@version+adapter.
func (m ModelRef) String() string {
	s := m.Model + "@" + m.Version
	if m.Adapter != "" {
		s += "+" + m.Adapter
	}
	return s
}

// Priority orders requests that compete for the same backend servers.
type Priority uint8

const (
	// Batch is the priority of work that may wait: long generations.
	Batch Priority = iota
	// Interactive is the priority of work that is useless when late: short calls.
	Interactive
)

// String returns the name of the priority that is used in requests and settings.
func (p Priority) String() string {
	if p == Interactive {
		return "interactive"
	}
	return "batch"
}

// ParsePriority returns the priority whose String is s.
func ParsePriority(s string) (Priority, error) {
	switch s {
	case "batch":
		return Batch, nil
	case "interactive":
		return Interactive, nil
	}
	return Batch, fmt.Errorf("priority %q: want interactive or batch", s)
}

// Outcome states how a request ended, so that the client can decide whether to send it
// again.
type Outcome string

const (
	// Complete means that the whole answer was delivered.
	Complete Outcome = "complete"
	// NotRun means that no backend server has run any part of the request. NotRun may be
	// reported only while no byte of the request can have reached a backend server, or
	// when every backend server that was reached refused the request before starting it.
	NotRun Outcome = "not-run"
	// Failed means that the request ran at least in part and will not complete.
	Failed Outcome = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Kind distinguishes model engines from services that are not model engines.
type Kind string

const (
	// Engine is a model engine that streams tokens.
	Engine Kind = "engine"
	// Service is an HTTP service that runs alongside the engines.
	Service Kind = "service"
)

// Backend is a backend server as announced in the VM list.
type Backend struct {
	ID string `json:"id"`
	// Incarnation is set where a backend server may restart under the same name; the field ID
	// is then the result of Incarnation.ID.
	Incarnation   Incarnation `json:"-"`
	Addr          string      `json:"addr"` // host:port
	VM            string      `json:"vm"`
	FailureDomain string      `json:"failure_domain"`
	Kind          Kind        `json:"kind"`
	Service       string      `json:"service,omitempty"` // name under /services/, for Kind Service
	// Version is the version of the backend server's software, where a roll-out may replace
	// that software; it is empty elsewhere.
	Version string `json:"-"`
	// VersionAssumed means that Version is that of the earlier backend server at the same address,
	// since the backend server itself has not stated one yet.
	VersionAssumed bool `json:"-"`
	// ChecksFence is true when the backend server refuses an order whose fencing number is
	// lower than a number that it has already seen.
	ChecksFence bool `json:"checks_fence"`
	// Started orders the starts of backend servers: a later start has a higher number. 0 means
	// that the number isn't known.
	Started Revision `json:"started,omitempty"`
	// Leaving is true once the VM list shows that the VM is about to be removed.
	Leaving bool `json:"leaving"`
}

// Name returns the name by which the backend server is addressed, which all its
// incarnations have in common.
func (b *Backend) Name() string {
	if b.Incarnation.Name != "" {
		return b.Incarnation.Name
	}
	return b.ID
}

// LoadReport is an engine's own report of its load. It lags behind the actual load.
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
	Software    string     `json:"software,omitempty"` // version of the engine's software; empty if the engine does not state it
}

// AsOf returns the time, by the engine's clock, of the load that the report describes.
func (r LoadReport) AsOf() time.Time { return time.UnixMilli(r.AsOfUnixMS) }

// EngineState is an engine's report of its work and memory, made when the engine is queried.
// It describes a moment some tenths of a second ago.
type EngineState struct {
	Queued           int        // requests that wait for a slot in the batch
	NextPromptTokens int        // prompt tokens of the first waiting request, 0 if none waits
	Reading          int        // requests in the batch whose prompts are being read
	MemoryUsed       int        // tokens in memory that can't be evicted
	CopyTokens       int        // the part of MemoryUsed that copies of runs of other engines occupy
	Runs             []RunState // in the batch, with their prompts read
}

// RunState describes one run in an EngineState.
type RunState struct {
	Request  string // id of its request
	Memory   int    // tokens in memory
	Chunks   int    // chunks of its answer
	Priority int    // 0 to 9; 5 if the engine doesn't state it
}
