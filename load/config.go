// Package load is an open-loop load generator for a fleet of routers. Requests
// start at seeded Poisson moments whether or not earlier ones have ended, so
// that a slow fleet can't slow its own load down and hide its latency. Each
// complete answer is checked token by token.
package load

import (
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("load")

// Class is one kind of request within the load.
type Class struct {
	Name        string
	Rate        float64 // requests per second; zero leaves the class out
	MaxTokens   int
	PromptBytes int
	// Prefixes is the number of distinct documents; the prompts of a class
	// share them as prefixes and differ in their last line.
	Prefixes int
	Priority fleet.Priority
	Timeout  time.Duration
	// Service, when set, makes the class plain calls of GET Path.
	Service, Path string
	// NonIdempotent marks the requests so.
	NonIdempotent bool
}

// Config is one run.
type Config struct {
	Endpoints   []string
	APIKey      string
	Account     string // client account of APIKey, as the record needs it
	Model       string
	Seed        uint64
	Duration    time.Duration // arrivals stop after it; open requests are finished
	MaxRequests int           // arrivals also stop after so many
	MaxTries    int           // tries of each request; see client.Options
	IdleTimeout time.Duration // see client.Options
	Classes     []Class
	// RecordURL is the stand-ins' /control/record. It tells at which token an
	// engine took an answer over, and so which gaps were resumes.
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
