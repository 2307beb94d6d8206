// Package ctl implements the commands of wigeonctl, the operators' tool. The tool may call
// any node. It may safely send a confirmation to several nodes in turn, since a plan takes
// effect only once.
package ctl

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("wigeonctl")

// Exit codes of wigeonctl.
const (
	ExitOK          = 0
	ExitRefused     = 1 // refused or in conflict; nothing was changed
	ExitUsage       = 2 // wrong usage, file or token
	ExitUnreachable = 3 // no node answered, or not all nodes in time
	ExitUnsettled   = 4 // not known whether the plan was accepted
)

// Errors that decide the exit code.
var (
	ErrUsage       = errors.New("usage")
	ErrRefused     = errors.New("refused")
	ErrUnreachable = errors.New("unreachable")
	ErrUnsettled   = errors.New("unsettled")
)

// StreamCmd streams one completion from the routers, as a client does.
type StreamCmd struct {
	Routers    string        `arg:"--routers,env:WIGEON_ROUTERS" help:"caller addresses of routers, separated by commas"`
	Model      string        `arg:"--model,required"`
	PromptFile string        `arg:"--prompt,required" help:"file with the prompt, - for standard input"`
	MaxTokens  int           `arg:"--max-tokens" default:"256"`
	KeyFile    string        `arg:"--key-file" help:"file with the API key (default: environment WIGEON_API_KEY)"`
	Timeout    time.Duration `arg:"--stream-timeout" default:"10m"`
	// RootCAs are read from the file that the option --ca-file names. Without that option
	// RootCAs is nil, and Stream calls the routers over HTTP without TLS.
	RootCAs *x509.CertPool `arg:"-"`
}

type dumpCmd struct{}

type confirmCmd struct {
	File string `arg:"positional" default:"-" help:"file with the plan, - for standard input"`
	waitOptions
}

type planCmd struct {
	source
}

type applyCmd struct {
	source
	Yes bool `arg:"-y,--yes" help:"confirm without asking"`
	waitOptions
}

type waitOptions struct {
	Wait        bool          `arg:"--wait" help:"wait until the revision is in force on all nodes"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s"`
}

type emptyCmd struct{}

// explainCmd groups the requests in routers' logs by cause.
type explainCmd struct {
	Log   string        `arg:"positional" default:"-" help:"file with the routers' logs, - for standard input"`
	First time.Duration `arg:"--first" default:"4.5s" help:"when a first piece, or a whole answer, is late"`
	Pause time.Duration `arg:"--pause" default:"700ms" help:"when a pause between pieces is too long"`
}

// quarantineCmd lists the requests that are quarantined because backend servers crashed
// while they ran them, or lifts the quarantine of one request.
type quarantineCmd struct {
	Lift string `arg:"--lift" help:"digest of a request that is to be sent on again"`
}

type revisionsCmd struct {
	From uint64 `arg:"--from" default:"1"`
}

type args struct {
	Admin     string        `arg:"--admin,env:WIGEON_ADMIN" help:"administration addresses, separated by commas, tried in order"`
	TokenFile string        `arg:"--token-file" help:"file with the operator's token (default: environment WIGEON_TOKEN)"`
	CAFile    string        `arg:"--ca-file,env:WIGEON_CA" help:"PEM file with the CA of the nodes' certificates; turns on TLS"`
	JSON      bool          `arg:"--json" help:"print JSON"`
	Timeout   time.Duration `arg:"--timeout" default:"20s" help:"bound of one call to one node"`

	Plan       *planCmd         `arg:"subcommand:plan" help:"print the plan for intents; changes nothing"`
	Confirm    *confirmCmd      `arg:"subcommand:confirm" help:"confirm a plan"`
	Apply      *applyCmd        `arg:"subcommand:apply" help:"plan, ask, confirm and wait"`
	Status     *emptyCmd        `arg:"subcommand:status" help:"revision in force on each node"`
	State      *emptyCmd        `arg:"subcommand:state" help:"desired state"`
	Backends   *emptyCmd        `arg:"subcommand:backends" help:"backend servers"`
	Revisions  *revisionsCmd    `arg:"subcommand:revisions" help:"accepted plans"`
	Quarantine *quarantineCmd   `arg:"subcommand:quarantine" help:"requests and parts of prompts under which backend servers crashed; lift one"`
	Reach      *reachCmd        `arg:"subcommand:reach" help:"which routers are cut off from which services, and who runs their requests"`
	Pressure   *backpressureCmd `arg:"subcommand:backpressure" help:"what backend servers ask of the routers: limits, unknown headers of answers"`
	Versions   *emptyCmd        `arg:"subcommand:versions" help:"software versions of services side by side: room, and the streams that are bound to each"`
	Settings   *emptyCmd        `arg:"subcommand:settings" help:"whether the next start of each node accepts its settings file"`
	Dump       *dumpCmd         `arg:"subcommand:dump" help:"state dump of the first node that answers"`
	Explain    *explainCmd      `arg:"subcommand:explain" help:"sort the requests of routers' logs by what became of them and why"`
	Stream     *StreamCmd       `arg:"subcommand:stream" help:"stream a completion as a caller, with reconnects"`
}

// Env is the environment of one run of the tool.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	// Stream runs the stream command; nil means that this build does not have that command.
	Stream func(ctx context.Context, cmd StreamCmd, apiKey string, stdout io.Writer) error
}

type tool struct {
	env  Env
	args args
	api  *adminClient
}

// Main runs the tool and returns its exit code.
func Main(ctx context.Context, argv []string, env Env) int {
	var a args
	cfg := arg.Config{Program: "wigeonctl", Out: env.Stdout, EnvPrefix: ""}
	p, err := arg.NewParser(cfg, &a)
	if err != nil {
		fmt.Fprintln(env.Stderr, "wigeonctl:", err)
		return ExitUsage
	}
	err = p.Parse(acceptSingleDashHelp(argv))
	if errors.Is(err, arg.ErrHelp) {
		if err := p.WriteHelpForSubcommand(env.Stdout, p.SubcommandNames()...); err != nil {
			return ExitUsage
		}
		return ExitOK
	}
	if err == nil && p.Subcommand() == nil {
		err = errors.New("a command is needed; see -help")
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "wigeonctl:", err)
		return ExitUsage
	}
	t := &tool{env: env, args: a}
	err = t.run(ctx)
	if err != nil {
		fmt.Fprintln(env.Stderr, "wigeonctl:", err)
	}
	return exitCode(err)
}

// acceptSingleDashHelp accepts -help with one dash, like the other options.
func acceptSingleDashHelp(argv []string) []string {
	out := slices.Clone(argv)
	for i, a := range out {
		if a == "-help" {
			out[i] = "--help"
		}
	}
	return out
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUnsettled):
		return ExitUnsettled
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, ErrRefused):
		return ExitRefused
	}
	return ExitUsage
}

func (t *tool) run(ctx context.Context) error {
	switch {
	case t.args.Stream != nil:
		return t.stream(ctx)
	case t.args.Explain != nil:
		return t.explain(t.args.Explain)
	}
	api, err := newAdminClient(t.args, t.env.Getenv)
	if err != nil {
		return err
	}
	t.api = api
	switch {
	case t.args.Plan != nil:
		return t.plan(ctx)
	case t.args.Confirm != nil:
		return t.confirm(ctx)
	case t.args.Apply != nil:
		return t.apply(ctx)
	case t.args.Status != nil:
		return t.status(ctx)
	case t.args.State != nil:
		return t.state(ctx)
	case t.args.Backends != nil:
		return t.backends(ctx)
	case t.args.Quarantine != nil:
		return t.quarantine(ctx)
	case t.args.Reach != nil:
		return t.reach(ctx)
	case t.args.Pressure != nil:
		return t.backpressure(ctx)
	case t.args.Versions != nil:
		return t.versions(ctx)
	case t.args.Settings != nil:
		return t.settings(ctx)
	case t.args.Revisions != nil:
		return t.revisions(ctx)
	}
	return t.dump(ctx)
}

func (t *tool) stream(ctx context.Context) error {
	if t.env.Stream == nil {
		return Error.New("%w: this build has no stream command", ErrUsage)
	}
	cmd := *t.args.Stream
	key := t.env.Getenv("WIGEON_API_KEY")
	if cmd.KeyFile != "" {
		b, err := os.ReadFile(cmd.KeyFile)
		if err != nil {
			return Error.New("%w: %w", ErrUsage, err)
		}
		key = strings.TrimSpace(string(b))
	}
	if t.args.CAFile != "" {
		pool, err := readPool(t.args.CAFile)
		if err != nil {
			return err
		}
		cmd.RootCAs = pool
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Timeout)
	defer cancel()
	return t.env.Stream(ctx, cmd, key, t.env.Stdout)
}
