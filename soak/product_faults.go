package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// applyTimeout bounds one change of the configuration while faults are active.
const applyTimeout = 2 * time.Second

// faults lists all faults on the product's own interface.
func (r *productRun) faults() []fault {
	if r.cfg.Alone && r.cfg.Unfit {
		return slices.Concat(r.repeatFaults(), r.unfitFaults())
	}
	all := slices.Concat(r.endlessFaults(), r.repeatFaults(), r.evidenceFaults(), r.unfitFaults())
	return append(append(processFaults(func() *process { return &r.randomRouter().process }), all...),
		r.switchFault("key-value service down", func() string { return "kv" }, "outage", `{"on":true}`, "outage", `{"on":false}`),
		r.switchFault("key-value service silent", func() string { return "kv" }, "cut", "", "heal", ""),
		r.switchFault("VM list silent", func() string { return "vms" }, "cut", "", "heal", ""),
		r.switchFault("router cut from the key-value service", r.randomRelay("kv-"), "cut", "", "heal", ""),
		r.switchFault("router's links to the key-value service reset", r.randomRelay("kv-"), "kill", "", "start", ""),
		r.switchFault("router cut from its peers", r.randomRelay("peer-"), "cut", "", "heal", ""),
		r.switchFault("router's links from its peers reset", r.randomRelay("peer-"), "kill", "", "start", ""),
		r.switchFault("router cut from the VM list", r.randomRelay("vms-"), "cut", "", "heal", ""),
		r.switchFault("router hears nothing from the key-value service", r.randomRelay("kv-"), "cut-out", "", "heal", ""),
		r.switchFault("key-value service hears nothing from a router", r.randomRelay("kv-"), "cut-in", "", "heal", ""),
		r.switchFault("router's links to the key-value service are slow", r.randomRelay("kv-"), "delay", slowLink, "delay", fastLink),
		r.switchFault("router hears nothing from its peers", r.randomRelay("peer-"), "cut-in", "", "heal", ""),
		r.switchFault("router's links to its peers are slow", r.randomRelay("peer-"), "delay", slowLink, "delay", fastLink),
		r.switchFault("engine crashes", r.randomEngine, "kill", "", "start", ""),
		r.switchFault("engine freezes", r.randomEngine, "freeze", "", "thaw", ""),
		r.switchFault("engine is cut", r.randomEngine, "cut", "", "heal", ""),
		r.switchFault("engine stalls its streams", r.randomEngine, "stall", `{"on":true}`, "stall", `{"on":false}`),
		r.switchFault("engine's clock is set back", r.randomEngine, "clock", `{"ms":-3600000}`, "clock", `{"ms":0}`),
		r.switchFault("engine's clock is set ahead", r.randomEngine, "clock", `{"ms":3600000}`, "clock", `{"ms":0}`),
		r.switchFault("engine slows down", r.randomEngine, "slow", `{"ms":60}`, "slow", `{"ms":0}`),
		r.switchFault("plain service crashes", r.randomService, "kill", "", "start", ""),
		r.switchFault("plain service closes after it read", r.randomService, "close-after-read", `{"n":3}`, "", ""),
		r.switchFault("plain service is late", r.randomService, "late", `{"n":5,"ms":700}`, "", ""),
		fault{"engines of a failure domain crash", r.crashDomain},
		fault{"an account is taken away", func() func() { r.removeAccount(); return nil }},
	)
}

// switchFault returns a fault that turns switches of a fake. When the fault is injected, id
// draws the fake, and the switch name is turned with args. When the fault ends, the switch
// back is turned with backArgs. If back is empty, nothing ends the fault.
func (r *productRun) switchFault(title string, id func() string, name, args, back, backArgs string) fault {
	return fault{title, func() func() {
		target := id()
		r.setFault(target, name, args)
		if back == "" {
			return nil
		}
		return func() { r.setFault(target, back, backArgs) }
	}}
}

func (r *productRun) setFault(id, name, args string) {
	if err := r.fakes.Fault(id, name, json.RawMessage(args)); err != nil {
		r.checks.violated("the soak's own stand-ins work", "", fmt.Sprintf("%s %s: %v", id, name, err))
	}
}

func (r *productRun) randomRouter() *router { return r.routers[r.rng.IntN(len(r.routers))] }

func (r *productRun) randomRelay(kind string) func() string {
	return func() string { return kind + r.randomRouter().id }
}

func (r *productRun) randomEngine() string { return fmt.Sprintf("e%d", r.rng.IntN(r.cfg.Engines)) }

func (r *productRun) randomService() string { return fmt.Sprintf("s%d", r.rng.IntN(r.cfg.Services)) }

func (r *productRun) crashDomain() func() {
	first := r.rng.IntN(len(productDomains))
	var engines []string
	for i := first; i < r.cfg.Engines; i += len(productDomains) {
		engines = append(engines, fmt.Sprintf("e%d", i))
	}
	for _, id := range engines {
		r.setFault(id, "kill", "")
	}
	return func() {
		for _, id := range engines {
			r.setFault(id, "start", "")
		}
	}
}

// removeAccount removes one account for good, unless no router can apply the change now.
func (r *productRun) removeAccount() {
	if r.accountsLeft <= 1 {
		return
	}
	id, _ := accountOf(r.accountsLeft - 1)
	ctx, stop := context.WithTimeout(context.Background(), applyTimeout)
	defer stop()
	err := r.apply(ctx, []string{
		fmt.Sprintf(`{"kind":"access","op":"remove","access":{"account":%q,"model":%q}}`, id, productModel),
		fmt.Sprintf(`{"kind":"account","op":"remove","account":{"id":%q}}`, id),
	})
	if err != nil {
		r.history.add("not done: " + err.Error())
		return
	}
	r.accountsLeft--
}
