// Package soak runs real wigeond processes against stand-ins, on the users' platform
// (Run) and on the product's own interface (RunProduct), injects faults from outside
// them, and checks what callers and backend servers see.
//
// It finds failures of combinations: signals, restarts, cuts and changes that come
// in series and overlap. A run is a function of its seed as far as its faults and
// requests go; how processes interleave is not, so a seed that failed is kept and
// played again, and a single failure counts.
package soak

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

// Config of one run.
type Config struct {
	Seed     uint64
	Wigeond  string   // program to start
	Env      []string // added to its environment
	Nodes    int
	Engines  int // in two failure domains
	Services int
	Clients  int
	Length   time.Duration // of the part with faults
	Dir      string        // for settings and logs
	Out      io.Writer
	// Timed also judges when answers come. It is off in CI, whose verdict must not
	// depend on how busy the machine is.
	Timed bool
}

// Violation is one promise that was broken.
type Violation struct {
	Promise string
	Request string // id, if it is about one
	Detail  string
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Outcomes   map[string]int
	Faults     []string
	Violations []Violation
}

// history lists the faults of a run with their times.
type history struct {
	began time.Time

	mu    sync.Mutex
	lines []string
}

func (h *history) note(name string) {
	line := fmt.Sprintf("%7.3f %s", time.Since(h.began).Seconds(), name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, line)
}

func (h *history) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.lines)
}

// settleTime is how long the fleet may take to come to rest after the last fault.
const settleTime = 20 * time.Second
