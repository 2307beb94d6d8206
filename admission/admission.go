// Package admission decides which requests may run now, which wait and which are refused. It
// considers the limits of client accounts, fair queueing between the accounts, priority, deadline
// and the capacity of the backend servers.
//
// Above capacity, an unbounded queue makes every request late, and retries of late requests add
// to the load. So the queue is bounded, a request that can't finish in time is refused at once
// with a time to come back, and retries draw on a budget. One large client account must not
// starve small ones: accounts are served by start-time fair queueing on cost. Started answers
// come first: a resume is neither charged nor refused because the queue is full.
package admission

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("admission")

// Limit is what one client account may use in the whole fleet.
type Limit struct {
	TokensPerSecond float64 // sustained rate; 0 means no limit
	Burst           float64 // tokens in addition to the rate; 0 means one second's worth
	MaxConcurrent   int     // concurrent requests; 0 means no limit
	Weight          float64 // share when capacity is short; 0 means 1
}

// Ticket requests the admission of one attempt.
type Ticket struct {
	Account string
	// Pool names the backend servers for which the work competes: a model, or a service that is
	// not a model engine. Callers must have checked that the account has access to it.
	Pool     string
	Priority fleet.Priority
	Cost     float64   // estimated tokens of prompt and output
	Deadline time.Time // of the caller; zero means none
	Resume   bool      // continues a started answer
}

// Reason states why a ticket was refused.
type Reason string

// Reasons of Refused.
const (
	ReasonUnknownAccount Reason = "unknown-account"
	ReasonRate           Reason = "account-rate"
	ReasonConcurrency    Reason = "account-concurrency"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline"
	ReasonCancelled      Reason = "cancelled"
	ReasonNoReplica      Reason = "no-replica"
)

// Refused is the error that Admit returns for a refused ticket. It means that no part of the
// request was run.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("admission: refused (%s), retry after %s", r.Reason, r.RetryAfter)
}

// Config configures a Controller. Zero values select the defaults.
type Config struct {
	MaxQueue        int           // tickets waiting per class (default 1024)
	MaxRetryAfter   time.Duration // longest Retry-After returned (default 30 s)
	MinService      time.Duration // minimum time that any request needs (default 20 ms)
	DefaultRetry    time.Duration // Retry-After if no estimate is available (default 1 s)
	DemandHalfLife  time.Duration // of the observed demand (default 2 s)
	MaxCapacityWait time.Duration // longest wait for a pool without any capacity (default 3 s)
	// Capacity returns how many requests of this router the backend servers of a pool can run
	// now. A nil function means no bound. It is called with a lock held and must return
	// quickly.
	Capacity func(pool string) int
	// BatchCapacity returns how many of the requests that Capacity allows may be new work of
	// batch priority. The rest of the capacity is left for interactive requests and resumes. A
	// nil function means the same bound as Capacity. Batch generations run for minutes: if
	// they could fill every slot, an interactive request would wait until one of them has
	// ended.
	BatchCapacity func(pool string) int
	// MinUrgentSlots returns how many interactive requests this router may run whatever else
	// runs, and how many resumes it may run beyond Capacity. A nil function means none. Engines
	// serve interactive requests and resumes first: even behind batch requests that were sent
	// earlier, such a request waits only for one free slot, not until all of those batch
	// requests have ended.
	MinUrgentSlots func(pool string) int
}

func (c Config) withDefaults() Config {
	c.MaxQueue = cmp.Or(c.MaxQueue, 1024)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, 30*time.Second)
	c.MinService = cmp.Or(c.MinService, 20*time.Millisecond)
	c.DefaultRetry = cmp.Or(c.DefaultRetry, time.Second)
	c.DemandHalfLife = cmp.Or(c.DemandHalfLife, 2*time.Second)
	c.MaxCapacityWait = cmp.Or(c.MaxCapacityWait, 3*time.Second)
	return c
}

func (c *Config) capacity(pool string) int {
	if c.Capacity == nil {
		return math.MaxInt
	}
	return c.Capacity(pool)
}

func (c *Config) batchCapacity(pool string) int {
	if c.BatchCapacity == nil {
		return c.capacity(pool)
	}
	return c.BatchCapacity(pool)
}

func (c *Config) minUrgentSlots(pool string) int {
	if c.MinUrgentSlots == nil {
		return 0
	}
	return c.MinUrgentSlots(pool)
}

// refuse returns a refusal with a bounded Retry-After.
func (c *Config) refuse(reason Reason, after time.Duration) *Refused {
	if after <= 0 {
		after = c.DefaultRetry
	}
	return &Refused{Reason: reason, RetryAfter: min(after, c.MaxRetryAfter)}
}
