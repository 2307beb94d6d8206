// Package measure compares policies under load and faults. It does not simulate: a load
// generator and a fault script run against real processes on loopback.
//
// An experiment lists the fleets that it needs, one for each policy under comparison. Each
// fleet has its own stand-ins and routers, so that policies do not affect each other and get
// the same load and the same faults at the same time. scripts/measure.sh starts the processes:
//
//	wigeonmeasure plan      writes fakes.json of each fleet
//	(shell)                 starts bin/wigeonfakes, which writes ports.json
//	wigeonmeasure settings  writes router-N.json of each fleet, on free ports
//	(shell)                 starts bin/wigeond, applies intents.json
//	wigeonmeasure run       sends the load, sets the faults, writes the results
//	(shell)                 ends the processes by their ids
//
// To add an experiment, write one file with a type that implements Experiment and add it to
// the list in experiments.go. Drive sends seeded arrivals, records the time of each token and
// checks each answer. Script sets and clears faults at given times. Results go into a Table,
// which Env.Save prints and writes as CSV to the output folder. Env.SavePlot writes a curve as
// SVG.
//
// An answer with a missing, repeated or spliced token fails the complete run, since a latency
// that was reached with wrong answers is meaningless.
package measure

import (
	"context"

	"github.com/zeebo/errs"
	"wigeondale/fakes/engine"
	"wigeondale/fakes/service"
	"wigeondale/intent"
	"wigeondale/settings"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("measure")

// Mode selects the duration of an experiment.
type Mode string

// The modes of scripts/measure.sh.
const (
	Full  Mode = "full"  // a few minutes
	Quick Mode = "quick" // less than 50 s, including the start of the processes
)

// Fleet is one set of stand-ins with the routers in front of it.
type Fleet struct {
	Name           string // also the name of the fleet's folder
	FailureDomains []string
	Engines        int           // assigned to the failure domains in turn, named e1, e2 ...
	Engine         engine.Config // configuration that all engines share
	Services       []service.Config
	Routers        int
	// Accounts are client accounts in addition to the unlimited one. The API key of each is
	// its id. All have access to the model.
	Accounts []intent.Account
	// PeerRelays puts a relay named peer-N in front of the peer listener of router N, so that
	// links between routers can be cut.
	PeerRelays bool
	// Set changes the settings of every router; nil leaves the defaults.
	Set func(*settings.Settings)
}

// Experiment is one comparison of policies under the same load and faults.
type Experiment interface {
	// Name is the experiment's name on the command line and in the names of output files.
	Name() string
	// Fleets returns the fleets whose processes must be running before Run is called. Every
	// call returns the same list.
	Fleets(Mode) []Fleet
	// Run runs the experiment on fleets that are ready, in the order of Fleets.
	Run(context.Context, *Env) error
}

// Running is a fleet whose processes are up.
type Running struct {
	Fleet
	Endpoints []string          // URLs of the routers' listeners for callers
	Control   string            // URL of the stand-ins' control listener
	Ports     map[string]string // host:port of each stand-in, by its id
}

// Record returns the URL of the stand-ins' record.
func (r *Running) Record() string { return r.Control + "/control/record" }
