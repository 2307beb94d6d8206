package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// Exit codes of wigeonsoak.
const (
	exitOK      = 0
	exitFailure = 1 // a promise was broken, or a run could not be executed
	exitUsage   = 2
)

type arguments struct {
	Wigeond          string        `arg:"--wigeond" default:"bin/wigeond" help:"the program to run"`
	Interface        string        `arg:"--interface" default:"both" help:"platform, product, or both by turns"`
	Seed             uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds            int           `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	Nodes            int           `arg:"--nodes" default:"4"`
	Engines          int           `arg:"--engines" default:"6"`
	Services         int           `arg:"--services" default:"4"`
	Clients          int           `arg:"--clients" default:"12"`
	FaultTime        time.Duration `arg:"--length" default:"15s" help:"of the part with faults"`
	Restarts         bool          `arg:"--lifetimes" help:"replicas also start again under their names, and other programs write to the store"`
	Rollouts         bool          `arg:"--rollouts" help:"new versions of the services are ordered, good and bad ones"`
	CrashingRequests bool          `arg:"--crashers" help:"requests are sent that make each backend server crash that runs them"`
	Calm             bool          `arg:"--calm" help:"no faults are injected"`
	Herd             bool          `arg:"--herd" help:"most new connections go to one router, and clients open one for each request"`
	CrashingParts    bool          `arg:"--parts" help:"ever new requests are sent with a prompt part that makes each replica crash that answers them"`
	Asks             bool          `arg:"--asks" help:"replicas limit their requests, ask for rest and say that they leave in their answers"`
	Drills           bool          `arg:"--drills" help:"the store comes back from older copies of its data"`
	Software         bool          `arg:"--software" help:"engines of several software versions serve side by side, and clients take streams up at other routers"`
	Brittle          bool          `arg:"--brittle" help:"replicas say that they are brittle, and fall over if they have to refuse too many requests"`
	Endless          bool          `arg:"--endless" help:"backend servers and services of the platform answer with bytes without end"`
	Repeats          bool          `arg:"--repeats" help:"backend servers send answers twice, and plain services have little room"`
	Outages          bool          `arg:"--outages" help:"entries of sound replicas lapse, all engines crash at once, and streams end with their connections"`
	Evidence         bool          `arg:"--evidence" help:"all routers end at once, also while versions change, the platform's store refuses, loses or delays writes, odd entries are written to it, and heads of answers are cut"`
	OutOfStep        bool          `arg:"--out-of-step" help:"a router stands still or is cut off while others end, and while versions change"`
	PeerCuts         bool          `arg:"--peer-cuts" help:"routers are cut from other routers on the platform's interface, and not from the store, while versions change and others end"`
	TakeUps          bool          `arg:"--take-ups" help:"clients of the platform's interface take a stream up at several routers at once, also behind what they have, while they read its first answer on"`
	Unnamed          bool          `arg:"--unnamed" help:"with --take-ups: half of the take-ups don't name the try that brought the first chunk"`
	OddClients       bool          `arg:"--odd-clients" help:"some clients speak HTTP/1.0, also reading large answers slowly, or state a Last-Event-Id that names no piece"`
	Moves            bool          `arg:"--moves" help:"the route of streams moves between two services and is split over both"`
	Rare             bool          `arg:"--rare" help:"bursts of clients, machines that go dark, addresses that go to another service, a store that refuses some calls of a router or answers stale reads from an older state, and kills after an acknowledgement"`
	Stops            bool          `arg:"--stops" help:"routers are told to end under load, with a short grace, on the platform's interface several at once while backend servers turn slow"`
	Settings         bool          `arg:"--settings" help:"the settings of all routers of the platform's interface change while they run, in each form of a number, and routers end and start with them"`
	Template         string        `arg:"--template" help:"with --settings: a template in place of that of the deploy file"`
	Malformed        bool          `arg:"--malformed" help:"backend servers of the platform reset long uploads after a part of an answer, and send malformed heads"`
	Unfit            bool          `arg:"--unfit" help:"streams break off, and engines answer requests that continue one with errors and other answers that aren't its rest; clients of the platform's interface take streams up"`
	Floods           bool          `arg:"--floods" help:"all plain services answer many requests at once without end"`
	Crowds           bool          `arg:"--crowds" help:"crowds of clients that don't behave connect to one router while another ends and starts again"`
	Silences         bool          `arg:"--silences" help:"nothing but silences of replicas and new versions of the configuration is injected"`
	Cuts             bool          `arg:"--cuts" help:"routers are cut from a service, or from one replica of it, while the others reach it"`
	NoSilences       bool          `arg:"--no-silences" help:"no silences of replicas are drawn beside the other faults, and the larger retry budget"`
	Room             int           `arg:"--room" help:"requests that a plain service takes at once"`
	Work             time.Duration `arg:"--work" help:"time of a plain service to serve a request"`
	Chunks           int           `arg:"--chunks" default:"40" help:"chunks of a stream, 12 ms apart"`
	Alone            bool          `arg:"--alone" help:"only the faults of --repeats, --outages, --moves, --malformed and --unfit are injected; on the product's own interface only with --unfit"`
	Keep             string        `arg:"--keep" help:"folder for settings and logs; kept only after a failure if not given"`
}

// Description returns the text that go-arg prints for --help.
func (arguments) Description() string {
	return "wigeonsoak runs real routers against stand-ins and injects faults from outside."
}

// Main runs the seeds that the command line selects and returns the exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "wigeonsoak"}, &args)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := parser.Parse(argv); errors.Is(err, arg.ErrHelp) {
		parser.WriteHelp(stdout)
		return exitOK
	} else if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if !slices.Contains(interfaceNames, args.Interface) {
		fmt.Fprintf(stderr, "wigeonsoak: --interface is one of %v\n", interfaceNames)
		return exitUsage
	}
	// A signal cancels the run, and the run then ends the processes that it has started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code, failed := exitOK, []uint64{}
	for seed := args.Seed; seed < args.Seed+uint64(args.Seeds) && ctx.Err() == nil; seed++ {
		ok, err := runInterfaces(ctx, args, seed, stdout)
		if err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailure
		}
		if !ok {
			code, failed = exitFailure, append(failed, seed)
		}
	}
	if args.Seeds > 1 {
		fmt.Fprintf(stdout, "%d seeds from %d, broken: %v\n", args.Seeds, args.Seed, failed)
	}
	return code
}

// Values of --interface.
const (
	platformInterface = "platform"
	productInterface  = "product"
	bothInterfaces    = "both"
)

var interfaceNames = []string{platformInterface, productInterface, bothInterfaces}

// runInterfaces runs one seed on each interface that --interface selects.
func runInterfaces(ctx context.Context, args arguments, seed uint64, out io.Writer) (bool, error) {
	passed := true
	for _, entry := range []struct {
		name string
		run  func(context.Context, Config) (*Report, error)
	}{{platformInterface, Run}, {productInterface, RunProduct}} {
		if args.Interface != bothInterfaces && args.Interface != entry.name {
			continue
		}
		fmt.Fprintf(out, "%s ", entry.name)
		ok, err := runSeed(ctx, args, seed, entry.run, out)
		if err != nil {
			return false, err
		}
		passed = passed && ok
	}
	return passed, nil
}

func runSeed(ctx context.Context, args arguments, seed uint64, run func(context.Context, Config) (*Report, error), out io.Writer) (bool, error) {
	dir := args.Keep
	if dir != "" {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return false, Error.Wrap(err)
		}
	} else {
		tmp, err := os.MkdirTemp("", "soak")
		if err != nil {
			return false, Error.Wrap(err)
		}
		dir = tmp
	}
	report, err := run(ctx, Config{
		Seed: seed, Wigeond: args.Wigeond, Nodes: args.Nodes, Engines: args.Engines,
		Services: args.Services, Clients: args.Clients, FaultTime: args.FaultTime, Dir: dir, Out: out, CheckTimes: true, Restarts: args.Restarts, Rollouts: args.Rollouts, CrashingRequests: args.CrashingRequests, CrashingParts: args.CrashingParts, Herd: args.Herd, Calm: args.Calm, Asks: args.Asks, Drills: args.Drills,
		Software: args.Software, Brittle: args.Brittle, Endless: args.Endless, Repeats: args.Repeats, Outages: args.Outages, Evidence: args.Evidence, Silences: args.Silences, Cuts: args.Cuts, NoSilences: args.NoSilences,
		OutOfStep: args.OutOfStep, PeerCuts: args.PeerCuts, TakeUps: args.TakeUps, Unnamed: args.Unnamed, OddClients: args.OddClients, Moves: args.Moves, Rare: args.Rare, Stops: args.Stops, Settings: args.Settings, Template: args.Template, Malformed: args.Malformed, Unfit: args.Unfit, Floods: args.Floods, Crowds: args.Crowds,
		Room: args.Room, Work: args.Work, Chunks: args.Chunks, Alone: args.Alone,
	})
	if err != nil {
		return false, err
	}
	report.Print(out, dir)
	ok := len(report.Violations) == 0
	if ok && args.Keep == "" {
		return true, Error.Wrap(os.RemoveAll(dir))
	}
	return ok, nil
}

// maxPrinted bounds the violations that are printed with their requests' log lines.
const maxPrinted = 5

// Print writes the report. For each violation it adds the lines of all logs in dir that name the
// request.
func (r *Report) Print(w io.Writer, dir string) {
	fmt.Fprintf(w, "seed %d: %d requests, %d faults, %d promises broken\n", r.Seed, r.Requests, len(r.Faults), len(r.Violations))
	for _, k := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "  %6d %s\n", r.Outcomes[k], k)
	}
	if len(r.Violations) == 0 {
		return
	}
	broken := map[string]int{}
	for _, v := range r.Violations {
		broken[v.Promise]++
	}
	for _, k := range slices.Sorted(maps.Keys(broken)) {
		fmt.Fprintf(w, "  %6d times broken: %s\n", broken[k], k)
	}
	fmt.Fprintf(w, "logs: %s\nfaults:\n", dir)
	for _, f := range r.Faults {
		fmt.Fprintln(w, " ", f)
	}
	for _, v := range r.Violations[:min(len(r.Violations), maxPrinted)] {
		fmt.Fprintf(w, "BROKEN %s: request %q, %s\n", v.Promise, v.Request, v.Detail)
		if v.Request == "" {
			continue
		}
		for _, line := range logLines(dir, v.Request) {
			fmt.Fprintln(w, "   ", line)
		}
	}
}

// logLines returns the lines of all logs in dir that name the request.
func logLines(dir, request string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			lines = append(lines, err.Error())
			continue
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			if strings.Contains(s.Text(), `request="`+request+`"`) {
				lines = append(lines, s.Text())
			}
		}
		f.Close()
	}
	return lines
}
