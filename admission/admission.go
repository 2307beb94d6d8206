// Package admission decides which requests may run now, which wait and which
// are refused: by the limits of client accounts, by fair queueing between
// them, by priority, deadline and the backend servers' capacity.
//
// Failure story: past capacity, a queue without bounds makes every request
// late, and retries of late requests make it worse. So the queue is bounded,
// what cannot finish in time is refused at once with a time to come back, and
// retries draw on a budget. One large client account must not starve small
// ones: accounts are served by start-time fair queueing on cost. Started
// answers come first: a resume is neither charged nor refused for room.
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
	Burst           float64 // tokens on top of the rate; 0 means one second's worth
	MaxConcurrent   int     // requests at once; 0 means no limit
	Weight          float64 // share when capacity is short; 0 means 1
}

// Ticket asks for admission of one attempt.
type Ticket struct {
	Account string
	// Pool names the backend servers that the work competes for: the model, or
	// the plain service. Name only what the account has access to.
	Pool     string
	Priority fleet.Priority
	Cost     float64   // estimated tokens, prompt and output
	Deadline time.Time // the caller's; zero means none
	Resume   bool      // continues an answer that was started
}

// Reason says why a ticket was refused.
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

// Refused is the error of Admit. Nothing of the request was run.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string {
	return fmt.Sprintf("admission: refused (%s), retry after %s", r.Reason, r.RetryAfter)
}

// Config sizes a Controller. Zero values take the defaults.
type Config struct {
	MaxQueue        int           // tickets waiting per class (default 1024)
	MaxRetryAfter   time.Duration // longest Retry-After given (default 30 s)
	MinService      time.Duration // least time that any request needs (default 20 ms)
	DefaultRetry    time.Duration // Retry-After when nothing is known (default 1 s)
	DemandHalfLife  time.Duration // of the observed demand (default 2 s)
	MaxCapacityWait time.Duration // for a pool without any capacity (default 3 s)
	// Capacity is how many requests the backend servers of a pool can take from
	// this router now; nil means no bound. It is called under a lock: be quick.
	Capacity func(pool string) int
	// BatchCapacity is the same for new work of batch priority, which leaves the
	// rest to lookups and resumes; nil means Capacity. Drafts run for minutes: if
	// they may fill every place, a lookup waits until one of them has ended.
	BatchCapacity func(pool string) int
	// MinUrgentSlots is how many lookups may run from this router, and how many
	// resumes beyond Capacity, whatever else runs; nil means none. Engines serve
	// them first, so that behind drafts already sent they wait for one place to
	// come free, not for all those drafts.
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

// refuse bounds the time to come back.
func (c *Config) refuse(reason Reason, after time.Duration) *Refused {
	if after <= 0 {
		after = c.DefaultRetry
	}
	return &Refused{Reason: reason, RetryAfter: min(after, c.MaxRetryAfter)}
}
