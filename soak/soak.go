// Package soak runs real wigeond processes against fakes of everything around them, on
// the users' platform (Run) and on the product's own interface (RunProduct). It injects
// faults from outside the processes and checks what clients and backend servers observe.
//
// Such runs find failures that only a combination of events causes: signals, restarts,
// network cuts and configuration changes that follow each other or overlap. The seed
// determines the faults and requests of a run, but not how the processes interleave. A seed
// that failed is therefore kept and run again, and one failed run of a seed counts as a
// failure even if other runs of that seed pass.
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

	"wigeondale/settings"
)

// Error is the class of this package's errors.
var Error = errs.Class("soak")

// Config configures one run.
type Config struct {
	Seed      uint64
	Wigeond   string   // path of the wigeond program to start
	Env       []string // added to the environment of each wigeond process
	Nodes     int
	Engines   int // model engines: in two failure domains on the platform, in three on the product's interface
	Services  int
	Clients   int
	FaultTime time.Duration // of the phase in which faults are injected
	Dir       string        // for settings and log files
	Out       io.Writer
	// CheckTimes also checks that each response ends in time. It is off in CI, where the result
	// must not depend on how busy the machine is.
	CheckTimes bool
	// Restarts adds faults of the users' platform: replicas that restart under the same id,
	// and store entries written by other programs.
	Restarts bool
	// Rollouts orders roll-outs of good and bad versions of the services on the users'
	// platform.
	Rollouts bool
	// CrashingRequests repeatedly sends requests that crash every backend server that runs them, on
	// the users' platform.
	CrashingRequests bool
	// Herd has clients open a new connection for each request, on the users' platform, most of them to one router, and to
	// another one after some seconds.
	Herd bool
	// Calm injects no faults.
	Calm bool
	// CrashingParts sends ever new requests that share a prompt part which crashes every replica that answers them, on
	// the users' platform.
	CrashingParts bool
	// Asks adds replicas on the users' platform that ask something of the routers in their
	// answers.
	Asks bool
	// Drills makes the store of the users' platform come back from older copies of its data.
	Drills bool
	// Software makes engines of several software versions serve side by side on the users' platform, and clients
	// take their streams up at other routers.
	Software bool
	// Brittle adds times on the users' platform in which replicas say that they are brittle, and fall over if they have to
	// refuse too many requests.
	Brittle bool
	// Endless makes backend servers, and on the product's own interface also the platform's services, answer
	// with bytes without end.
	Endless bool
	// Repeats makes backend servers send some of their answers twice, refusals and reports included, and leaves plain
	// services little room.
	Repeats bool
	// Outages makes entries of sound replicas lapse, of one and of all of a service, and all engines crash at once. The
	// streams of engines end with their connections.
	Outages bool
	// Evidence ends all routers at once, also while versions change, makes the platform's store refuse, lose or delay writes,
	// writes odd entries to it, and cuts the heads of answers.
	Evidence bool
	// OutOfStep lets a router stand still, or cuts it off, while others end, and with Software while versions change.
	OutOfStep bool
	// PeerCuts cuts routers from their peers, on the users' platform, while versions change and others end.
	PeerCuts bool
	// TakeUps has clients of the users' platform take one stream up at several routers at once, from different chunks, while
	// they read its first answer on.
	TakeUps bool
	// Unnamed has half of the take-ups of TakeUps state Last-Event-Id alone.
	Unnamed bool
	// OddClients has clients speak HTTP/1.0, also reading large answers slowly, or, on the users' platform, state a Last-Event-Id that
	// names no piece.
	OddClients bool
	// Moves moves and splits the route of streams, on the users' platform; with Software each piece shows whose it is.
	Moves bool
	// Rare injects, on the users' platform, bursts of clients, machines that go dark, addresses that go to another service, a store that
	// refuses some calls of a router or answers stale reads late, and kills after an acknowledgement.
	Rare bool
	// Stops sends routers SIGTERM under load, with a short grace and requests of drawn lengths. On the users' platform several routers stop
	// in series or overlap, replicas turn slow meanwhile, and clients use their connections to a router until it is gone.
	Stops bool
	// Settings changes the settings of all routers of the users' platform while they run, renders them from the template of the deploy
	// file, and restarts routers after it. Template is another template's file; empty for that one.
	Settings bool
	Template string
	// Malformed makes replicas of the users' platform answer long uploads early and reset them, and send malformed heads.
	Malformed bool
	// Unfit breaks streams off, and has engines answer requests that continue one with answers that aren't its rest. Clients of the users'
	// platform take streams up.
	Unfit bool
	// Floods makes all plain services answer many requests at once without end.
	Floods bool
	// Silences injects nothing but silences of replicas and new versions of the configuration, on the users' platform.
	Silences bool
	// Cuts has each router connect to backend servers through a proxy of its own, and cuts routers from a service or
	// from one replica of it while the others reach it.
	Cuts bool
	// NoSilences draws no silences and the larger retry budget, so that a seed is what it was before there were any.
	NoSilences bool
	// Room and Work are the room of a plain service and its time to serve a request; 0 for what the other fields imply.
	Room int
	Work time.Duration
	// Chunks is the number of chunks of a stream; 0 for chunkCount.
	Chunks int
	// Alone injects only the faults of Repeats, Outages, Moves, Malformed and Unfit, on the product's own interface if Unfit is set.
	Alone bool
	// Crowds has crowds of clients that don't behave connect to one router while another one ends and starts again. The routers know the
	// memory of their machines.
	Crowds bool
	// Limits is the section "limits" of the routers' settings, in JSON; empty for the defaults.
	Limits string
	// CallerTLS is for the caller listener on the product's own interface; nil for none.
	CallerTLS *settings.TLS
}

// Violation is one observation that breaks a promise of the product.
type Violation struct {
	Promise string
	Request string // id of the request; empty if the violation concerns none
	Detail  string
}

// Report holds the results of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Outcomes   map[string]int
	Faults     []string
	Violations []Violation
}

// history records the injected faults and other steps of a run with their times.
type history struct {
	startedAt time.Time

	mu    sync.Mutex
	lines []string
}

func (h *history) add(name string) {
	line := fmt.Sprintf("%7.3f %s", time.Since(h.startedAt).Seconds(), name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, line)
}

func (h *history) list() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.lines)
}

// These are the second seed values of the random generators. They differ so that the two
// interfaces get different faults with the same seed.
const (
	platformStream = 1
	productStream  = 2
)

// run holds the state that runs on both interfaces share.
type run struct {
	cfg     Config
	rng     *rand.Rand // draws the faults; used by one goroutine only
	history *history
	checks  *checks
}

func newRun(cfg Config, stream uint64) run {
	return run{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, stream)),
		history: &history{startedAt: time.Now()},
		checks:  newChecks(cfg.CheckTimes),
	}
}

// testbed is one interface with its routers, fakes and clients.
type testbed interface {
	start(ctx context.Context) error
	newClient(i int) trafficClient
	faults() []fault
	// endFaults ends all faults and waits until every router is ready.
	endFaults()
	// beCalm lets the clients go on without faults if the run checks what they get then.
	beCalm(ctx context.Context)
	finalChecks()
	// stop ends every process and fake that was started.
	stop()
}

// trafficClient sends requests until its context ends, then waits for the response to the last
// one.
type trafficClient interface {
	loop(ctx context.Context)
}

// execute injects faults while clients send requests, and checks what was observed.
func (r *run) execute(ctx context.Context, bed testbed) (*Report, error) {
	defer bed.stop()
	if err := bed.start(ctx); err != nil {
		return nil, err
	}
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	for i := range r.cfg.Clients {
		c := bed.newClient(i)
		clients.Go(func() { c.loop(clientCtx) })
	}
	faults := bed.faults()
	if r.cfg.Calm || len(faults) == 0 {
		faults = []fault{{"nothing", func() func() { return nil }}}
	}
	injectFaults(ctx, r.rng, r.cfg.FaultTime, faults, r.history.add)
	bed.endFaults()
	bed.beCalm(ctx)
	stopClients()
	clients.Wait()
	bed.finalChecks()
	return r.checks.report(r.cfg.Seed, r.history.list()), nil
}

// settleTime is how long the routers may take to become ready at their start and after the last
// fault.
const settleTime = 20 * time.Second
