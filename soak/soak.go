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
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

// Config of one run.
type Config struct {
	Seed      uint64
	Wigeond   string   // program to start
	Env       []string // added to its environment
	Nodes     int
	Engines   int // in two failure domains
	Services  int
	Clients   int
	FaultTime time.Duration // of the part with faults
	Dir       string        // for settings and logs
	Out       io.Writer
	// CheckTimes also judges when answers come. It is off in CI, whose verdict must not
	// depend on how busy the machine is.
	CheckTimes bool
	// Restarts adds replicas that start again under their names, and entries of other
	// programs, on the users' platform.
	Restarts bool
	// Rollouts has new versions of the services ordered, good and bad ones, on the users'
	// platform.
	Rollouts bool
	// CrashingRequests has requests sent, again and again, that make each backend server crash that
	// runs them.
	CrashingRequests bool
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

// Streams of random numbers, so that the two interfaces don't get the same faults.
const (
	platformStream = 1
	productStream  = 2
)

// run is what the runs on both interfaces have.
type run struct {
	cfg     Config
	rng     *rand.Rand // of the faults; not shared
	history *history
	checks  *checks
}

func newRun(cfg Config, stream uint64) run {
	return run{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, stream)),
		history: &history{began: time.Now()},
		checks:  newChecks(cfg.CheckTimes),
	}
}

// side is one interface with its routers, stand-ins and clients.
type side interface {
	start(ctx context.Context) error
	client(i int) looper
	faults() []fault
	// calm ends all faults and waits until every router is ready.
	calm()
	finalChecks()
	// stop ends every process and stand-in that was started.
	stop()
}

// looper sends requests until its context ends, and finishes the last one.
type looper interface {
	loop(ctx context.Context)
}

// play injects faults while clients send requests, and judges what was seen.
func (r *run) play(ctx context.Context, s side) (*Report, error) {
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	for i := range r.cfg.Clients {
		c := s.client(i)
		clients.Go(func() { c.loop(clientCtx) })
	}
	injectFaults(ctx, r.rng, r.cfg.FaultTime, s.faults(), r.history.note)
	s.calm()
	stopClients()
	clients.Wait()
	s.finalChecks()
	return r.checks.report(r.cfg.Seed, r.history.list()), nil
}

// settleTime is how long the fleet may take to come to rest after the last fault.
const settleTime = 20 * time.Second
