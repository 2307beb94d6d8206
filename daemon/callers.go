package daemon

import (
	"math/rand/v2"
	"time"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/callerapi"
	"wigeondale/cursor"
	"wigeondale/generation"
	"wigeondale/hedge"
	"wigeondale/intent"
	"wigeondale/placement"
	"wigeondale/routing"
	"wigeondale/settings"
)

const (
	// maxCallsPerReplica is the number of calls that this router has open at one replica of
	// a service that is not a model engine. Further calls queue in this router, which knows
	// their deadlines.
	maxCallsPerReplica = 64
	// retryBurst is the number of retries in a full retry budget.
	retryBurst = 20
	// hedgeBurst is the number of hedged requests in a full hedge budget.
	hedgeBurst = 10
)

// Ready returns nil if this node accepts new requests, and otherwise an error with the
// reason why it does not. The method implements callerapi's gate.
func (n *node) Ready() error {
	if n.drain.noticeOver(time.Now()) {
		return Error.New("this VM is leaving")
	}
	if ok, reason := n.keeper.Ready(); !ok {
		return Error.New("configuration: %s", reason)
	}
	if n.dir.Empty() {
		return Error.New("no backend server is known yet")
	}
	return nil
}

func (n *node) buildCallers(set *settings.Settings) error {
	accs := newAccounts(n.dir)
	n.buildAdmission(set, accs)
	pick, err := n.newPicker(set)
	if err != nil {
		return err
	}
	budget := admission.NewRetryBudget(float64(set.Policy.RetryBudgetPercent)/100, retryBurst)
	if err := n.buildRunner(set, pick, budget); err != nil {
		return err
	}
	current, previous := set.CursorKeys()
	sealer, err := cursor.NewSealer(current, previous, time.Duration(set.Cursor.MaxAgeS)*time.Second)
	if err != nil {
		return err
	}
	n.callers = callerapi.New(callerapi.Config{
		Options:     callerapi.Options{BodyBytes: set.Limits.BodyBytes, MaxOpen: int64(set.Limits.MaxOpenRequests)},
		Gate:        n,
		Accounts:    accs,
		Runner:      n.runner,
		Answers:     n.answers,
		Services:    n.newServices(set, pick, budget),
		KeyRegistry: newPointers(n.mesh, n.id),
		Sealer:      sealer,
		Log:         n.log,
		Metrics:     n.set,
	})
	return nil
}

// buildAdmission builds admission control and keeps accounts and limits in line with
// the configuration in force.
func (n *node) buildAdmission(set *settings.Settings, accs *accounts) {
	slots := &slotCounter{
		dir: n.dir, mon: n.mon, accs: accs, routers: n.routers,
		perEngine: set.Limits.RequestsPerEngine, reserve: set.Limits.ReservePercent,
	}
	n.admit = admission.NewController(admission.Config{
		MaxQueue:       set.Limits.Queue,
		Capacity:       slots.all,
		BatchCapacity:  slots.batch,
		MinUrgentSlots: slots.urgent,
	}, n.log, n.set)
	n.summaries = &summaries{mesh: n.mesh, keeper: n.keeper, admit: n.admit, sent: map[string]float64{}, received: demands{}}
	n.keeper.Subscribe(func(s *intent.State) {
		accs.set(s)
		n.admit.SetLimits(limitsOf(s))
	})
}

func (n *node) newPicker(set *settings.Settings) (*picker, error) {
	router, err := routing.New(stepsOf(set.Routing), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return nil, err
	}
	return &picker{dir: n.dir, mon: n.mon, router: router, domain: set.Node.FailureDomain, pressure: n.pressure}, nil
}

func (n *node) buildRunner(set *settings.Settings, pick *picker, budget *admission.RetryBudget) error {
	var err error
	n.runner, err = generation.New(generation.Deps{
		Admitter: admitter{n.admit, budget},
		Claims:   claims{n.claims},
		Picker:   pick,
		Watcher:  n.watcher(),
		Engines:  generation.Native{Client: n.engines},
		Abandon:  n.cancels,
		Budget:   sharedBudget{budget},
		Guard:    n.guard,

		Forwarder: n.forwarder,
		TakePlace: func() (func(), bool) { return n.caller.TakePlace() },
	}, generation.Options{
		Node:           attemptPrefix(set),
		StartedMaxWait: max(millis(set.Policy.MaxWaitMS), time.Second),
		Rand:           rand.Float64,
		Log:            n.log,
		Metrics:        n.set,
	})
	return err
}

func (n *node) newServices(set *settings.Settings, pick *picker, budget *admission.RetryBudget) *services {
	client := backend.NewServiceClientWith(n.dialBackend())
	client.SetMisplaced(backend.NewMisplaced(n.log, n.set))
	client.Gate = gate{n.pressure, n.dir}
	return &services{
		node:   attemptPrefix(set),
		admit:  n.admit,
		claims: claims{n.claims},
		pick:   pick,
		client: client,
		retry:  budget,
		mon:    n.watcher(),
		guard:  n.guard,
		hedge:  n.hedger(set.Policy.Hedge),
	}
}

func (n *node) watcher() placement.Watcher {
	return placement.Watcher{Monitor: n.mon, Dir: n.dir, LeavingCode: codeLeaving}
}

// attemptPrefix returns the prefix of the ids of this router's attempts. It includes the
// incarnation, so that an attempt is never mistaken for one made before a restart.
func attemptPrefix(set *settings.Settings) string { return set.Node.ID + "/" + set.Node.Incarnation }

// hedger returns a hedger with its own budget, so that calls that are merely slow can't
// spend the retries meant for failures.
func (n *node) hedger(h settings.Hedge) *hedge.Hedger {
	budget := admission.NewRetryBudget(float64(h.BudgetPercent)/100, hedgeBurst)
	return hedge.New(hedge.Config{Enabled: h.Enabled}, budget, n.set)
}

func (n *node) routers() int { return len(aliveMembers(n.mesh.Members())) }

func stepsOf(r settings.Routing) []routing.StepConfig {
	if len(r.Steps) == 0 {
		return routing.DefaultSteps()
	}
	steps := make([]routing.StepConfig, 0, len(r.Steps))
	for _, s := range r.Steps {
		steps = append(steps, routing.StepConfig(s))
	}
	return steps
}
