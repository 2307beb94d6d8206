// Package measure compares policies under load and faults, on real processes
// on loopback: a load generator and a fault script, no simulator.
//
// An experiment names the fleets that it needs, one for each policy under
// comparison. Each fleet has its own stand-ins and routers, so that policies
// can't disturb each other and meet the same load and the same faults at the
// same time. scripts/measure.sh starts the processes:
//
//	wigeonmeasure plan      writes fakes.json of each fleet
//	(shell)                 starts bin/wigeonfakes, which writes ports.json
//	wigeonmeasure settings  writes router-N.json of each fleet, on free ports
//	(shell)                 starts bin/wigeond, applies intents.json
//	wigeonmeasure run       sends the load, turns the faults, writes the results
//	(shell)                 ends the processes by their ids
//
// To add an experiment: write one file with a type that implements Experiment
// and add it to the list in experiments.go. Drive helps with the load: it
// sends seeded arrivals, keeps the time of each token and checks each answer.
// Script turns fault switches at set moments. Whatever is measured goes into
// a Table, which Env.Save prints and writes as CSV under the output folder.
// Env.SavePlot writes a curve as SVG.
//
// An answer with a missing, repeated or spliced token fails the whole run: a
// latency bought with a wrong answer is worth nothing.
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

// Mode says how much time an experiment may take.
type Mode string

// The modes of scripts/measure.sh.
const (
	Full  Mode = "full"  // a few minutes
	Quick Mode = "quick" // under 50 s together with starting the processes
)

// Fleet is one set of stand-ins with the routers in front of it.
type Fleet struct {
	Name           string // also a folder's name
	FailureDomains []string
	Engines        int           // dealt to the failure domains in turn, named e1, e2 ...
	Engine         engine.Config // what all engines have in common
	Services       []service.Config
	Routers        int
	// Accounts are client accounts beside the unlimited one; the API key of each
	// is its id. All have access to the model.
	Accounts []intent.Account
	// PeerRelays puts a relay named peer-N before the peer listener of router N,
	// so that links between routers can be cut.
	PeerRelays bool
	// Set changes the settings of every router; nil leaves the defaults.
	Set func(*settings.Settings)
}

// Experiment is one comparison.
type Experiment interface {
	// Name is what the command line and the output files call it.
	Name() string
	// Fleets lists what must run, the same each time it is asked.
	Fleets(Mode) []Fleet
	// Run measures. The fleets are up and ready, in the order of Fleets.
	Run(context.Context, *Env) error
}

// Running is a fleet whose processes are up.
type Running struct {
	Fleet
	Endpoints []string          // callers' addresses of its routers, as URLs
	Control   string            // URL of the stand-ins' control listener
	Ports     map[string]string // host:port of each stand-in, as engine ids name them
}

// Record is the URL of what the stand-ins did.
func (r *Running) Record() string { return r.Control + "/control/record" }
