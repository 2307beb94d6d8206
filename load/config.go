// Package load is an open-loop load generator for a fleet of routers. Requests start at the
// times of a seeded Poisson process whether or not earlier ones have ended, so that a slow
// fleet does not reduce its own load and hide its latency. Each answer is checked token by
// token.
package load

import (
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("load")

// Class describes the requests of one kind.
type Class struct {
	Name        string
	Rate        float64 // requests per second; zero sends none
	MaxTokens   int
	PromptBytes int
	// Prefixes is the number of distinct documents. Each prompt of the class consists of
	// one of these documents, which is a prefix that prompts share, and a last line that no
	// other prompt has.
	Prefixes int
	Priority fleet.Priority
	Timeout  time.Duration
	// If Service is set, the requests of the class are calls GET Path of that service,
	// which is not a model engine, instead of generations.
	Service, Path string
	// NonIdempotent marks the requests as non-idempotent.
	NonIdempotent bool
}

// Config describes one run.
type Config struct {
	Endpoints   []string
	APIKey      string
	Account     string // client account of APIKey; needed to find the requests in the record
	Model       string
	Seed        uint64
	Duration    time.Duration // arrivals stop after it; Run waits for open requests to end
	MaxRequests int           // arrivals also stop after this number of requests
	MaxTries    int           // maximum number of tries of each request; see client.Options
	IdleTimeout time.Duration // see client.Options
	Classes     []Class
	// RecordURL is the URL of /control/record of the stand-ins. The record shows at which
	// token another engine resumed an answer, and so which token gaps were resumes.
	RecordURL string
}

func (c Config) check() error {
	if len(c.Endpoints) == 0 {
		return Error.New("no endpoint given")
	}
	if c.Duration <= 0 || c.MaxRequests <= 0 {
		return Error.New("duration %v and requests %d: both must be above zero", c.Duration, c.MaxRequests)
	}
	for _, cl := range c.Classes {
		if cl.Rate < 0 {
			return Error.New("class %s: rate %v below zero", cl.Name, cl.Rate)
		}
	}
	return nil
}
