// Package daemon assembles one wigeond: it builds all parts from the settings and runs
// them as one group. Decisions are made in the other packages; this one connects their
// interfaces.
//
// A shutdown signal interrupts no request. Readiness fails first; new requests are
// accepted until the balancer has had time to notice; every open request is finished,
// and only then do the parts that serve it stop. Further signals have no effect: only
// the platform's kill ends the process early.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"wigeondale/event"
	"wigeondale/hosted"
	"wigeondale/listen"
	"wigeondale/routing"
	"wigeondale/settings"
	"wigeondale/signals"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitFailure  = 1 // a listener could not be opened, or a part failed
	ExitSettings = 2 // bad command line or settings; no socket was opened
)

type arguments struct {
	Config string `arg:"-c,--config,required,env:WIGEONDALE_SETTINGS" help:"settings, a JSON file"`
	Check  bool   `arg:"--check" help:"check the settings, print them with their defaults, and exit"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "wigeond serves long generations on engines that fail. Exit codes: 0 ok, 1 failure, 2 settings."
}

// Main runs the daemon until a signal has ended it gracefully.
func Main(argv []string, stdout, stderr io.Writer) int {
	signalled := signals.Notify() // first: until then a hangup ends the process
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "wigeond"}, &args)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	err = parser.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return ExitOK
	}
	if err != nil {
		return fail(stderr, ExitSettings, err)
	}
	set, err := settings.Load(args.Config)
	if err != nil {
		return fail(stderr, ExitSettings, err)
	}
	if err := checkSettings(set); err != nil {
		return fail(stderr, ExitSettings, err)
	}
	if args.Check {
		fmt.Fprintln(stdout, string(set.Printable()))
		return ExitOK
	}
	return serve(set, signalled, stderr)
}

// checkSettings validates the settings that only the packages using them can validate. Without
// it a misspelt routing step would pass --check and stop the process at its next start,
// possibly on every node at once.
func checkSettings(set *settings.Settings) error {
	_, routingErr := routing.New(stepsOf(set.Routing), rand.New(rand.NewPCG(0, 0)))
	policy := policyOf(set.Policy)
	return errors.Join(
		Error.Wrap(wrapSection("routing.steps", routingErr)),
		Error.Wrap(wrapSection("policy", policy.Check())),
	)
}

func wrapSection(section string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", section, err)
}

func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintln(stderr, "wigeond:", err)
	return code
}

// serve runs one daemon. The daemon's log goes to standard output through a buffer, so that
// a process that stops reading the log can't block the daemon.
func serve(set *settings.Settings, signalled signals.Received, stderr io.Writer) int {
	out := event.NewOutput(os.Stdout, set.Log.LinesPerSecond)
	defer out.Close()
	event.LogTo(out, set.Log.Verbosity)
	log := event.New(set.Node.ID)
	// Servers without an ErrorLog write to the standard logger too.
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log})
	out.OnDropped = func(n int) { log.Emit(event.LinesDropped, "lines", n) }
	if m := set.Limits.MemoryMB; m > 0 {
		debug.SetMemoryLimit(int64(m) << 20 / 4 * 3) // the collector works harder before the process is killed
	}
	run := runNative
	if set.Hosted != nil {
		run = runHosted
	}
	if err := run(set, signalled, log); err != nil {
		return fail(stderr, ExitFailure, err)
	}
	log.Emit(event.ShutdownDone)
	return ExitOK
}

// runNative serves the product's own API.
func runNative(set *settings.Settings, signalled signals.Received, log *event.Log) error {
	n, err := newNode(set, log)
	if err != nil {
		return err
	}
	return n.run(signalled)
}

// runHosted serves on the users' platform.
func runHosted(set *settings.Settings, signalled signals.Received, log *event.Log) error {
	debug.SetGCPercent(set.Hosted.GCPercent)
	return hosted.Run(set, signalled, log)
}

// run serves until a signal arrives and every open request has ended.
func (n *node) run(signalled signals.Received) error {
	var g run.Group
	for _, part := range n.parts() {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error {
			err := part(ctx)
			if ctx.Err() != nil {
				return nil
			}
			return err
		}, func(error) { cancel() })
	}
	for _, l := range n.listeners() {
		g.Add(listen.Actor(l))
	}
	stop := make(chan struct{})
	g.Add(func() error { return n.waitForShutdown(signalled, stop) }, func(error) { close(stop) })
	n.log.Emit(event.Started, "caller", n.caller.Addr(), "admin", n.admin.Addr(), "peer", n.peers.Addr())
	return g.Run()
}

// waitForShutdown waits for the shutdown signal and then until all requests have ended. The
// daemon's group of parts stops when waitForShutdown returns.
func (n *node) waitForShutdown(signalled signals.Received, stop <-chan struct{}) error {
	if !signals.Wait(signalled, stop, n.settings.Read) {
		return nil
	}
	n.log.Emit(event.ShutdownBegun, "open", n.callers.Open())
	n.leaving.Store(true)
	n.mesh.SetLeaving()
	err := n.caller.Shutdown(context.Background(), n.notice)
	n.forwarder.Drain(context.Background())
	n.runner.Wait()
	return err
}
