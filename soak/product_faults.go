package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// applyTimeout bounds one change of the configuration in the middle of faults.
const applyTimeout = 2 * time.Second

// faults lists all kinds of trouble of the product's own interface.
func (r *productRun) faults() []fault {
	return append(processFaults(func() *process { return &r.anyRouter().process }),
		r.switched("key-value service down", func() string { return "kv" }, "outage", `{"on":true}`, "outage", `{"on":false}`),
		r.switched("key-value service silent", func() string { return "kv" }, "cut", "", "heal", ""),
		r.switched("VM list silent", func() string { return "vms" }, "cut", "", "heal", ""),
		r.switched("router cut from the key-value service", r.relay("kv-"), "cut", "", "heal", ""),
		r.switched("router's links to the key-value service reset", r.relay("kv-"), "kill", "", "start", ""),
		r.switched("router cut from its peers", r.relay("peer-"), "cut", "", "heal", ""),
		r.switched("router's links from its peers reset", r.relay("peer-"), "kill", "", "start", ""),
		r.switched("router cut from the VM list", r.relay("vms-"), "cut", "", "heal", ""),
		r.switched("router hears nothing from the key-value service", r.relay("kv-"), "cut-out", "", "heal", ""),
		r.switched("key-value service hears nothing from a router", r.relay("kv-"), "cut-in", "", "heal", ""),
		r.switched("router's links to the key-value service are slow", r.relay("kv-"), "delay", slowLink, "delay", fastLink),
		r.switched("router hears nothing from its peers", r.relay("peer-"), "cut-in", "", "heal", ""),
		r.switched("router's links to its peers are slow", r.relay("peer-"), "delay", slowLink, "delay", fastLink),
		r.switched("engine crashes", r.engine, "kill", "", "start", ""),
		r.switched("engine freezes", r.engine, "freeze", "", "thaw", ""),
		r.switched("engine is cut", r.engine, "cut", "", "heal", ""),
		r.switched("engine stalls its streams", r.engine, "stall", `{"on":true}`, "stall", `{"on":false}`),
		r.switched("engine's clock is set back", r.engine, "clock", `{"ms":-3600000}`, "clock", `{"ms":0}`),
		r.switched("engine's clock is set ahead", r.engine, "clock", `{"ms":3600000}`, "clock", `{"ms":0}`),
		r.switched("engine slows down", r.engine, "slow", `{"ms":60}`, "slow", `{"ms":0}`),
		r.switched("plain service crashes", r.service, "kill", "", "start", ""),
		r.switched("plain service closes after it read", r.service, "close-after-read", `{"n":3}`, "", ""),
		r.switched("plain service is late", r.service, "late", `{"n":5,"ms":700}`, "", ""),
		fault{"engines of a failure domain crash", r.crashDomain},
		fault{"an account is taken away", func() func() { r.takeAccount(); return nil }},
	)
}

// switched is a fault of a stand-in that is drawn when it strikes, with the switch
// that ends it; none if back is empty.
func (r *productRun) switched(what string, id func() string, name, args, back, backArgs string) fault {
	return fault{what, func() func() {
		at := id()
		r.turn(at, name, args)
		if back == "" {
			return nil
		}
		return func() { r.turn(at, back, backArgs) }
	}}
}

func (r *productRun) turn(id, name, args string) {
	if err := r.set.Fault(id, name, json.RawMessage(args)); err != nil {
		r.checks.broken("the soak's own stand-ins work", "", fmt.Sprintf("%s %s: %v", id, name, err))
	}
}

func (r *productRun) anyRouter() *router { return r.routers[r.rng.IntN(len(r.routers))] }

func (r *productRun) relay(kind string) func() string {
	return func() string { return kind + r.anyRouter().id }
}

func (r *productRun) engine() string { return fmt.Sprintf("e%d", r.rng.IntN(r.cfg.Engines)) }

func (r *productRun) service() string { return fmt.Sprintf("s%d", r.rng.IntN(r.cfg.Services)) }

func (r *productRun) crashDomain() func() {
	first := r.rng.IntN(len(ownDomains))
	var down []string
	for i := first; i < r.cfg.Engines; i += len(ownDomains) {
		down = append(down, fmt.Sprintf("e%d", i))
	}
	for _, id := range down {
		r.turn(id, "kill", "")
	}
	return func() {
		for _, id := range down {
			r.turn(id, "start", "")
		}
	}
}

// takeAccount takes one account away for good, unless no router can do it now.
func (r *productRun) takeAccount() {
	if r.left <= 1 {
		return
	}
	id, _ := accountOf(r.left - 1)
	ctx, stop := context.WithTimeout(context.Background(), applyTimeout)
	defer stop()
	err := r.apply(ctx, []string{
		fmt.Sprintf(`{"kind":"access","op":"remove","access":{"account":%q,"model":%q}}`, id, ownModel),
		fmt.Sprintf(`{"kind":"account","op":"remove","account":{"id":%q}}`, id),
	})
	if err != nil {
		r.history.note("not done: " + err.Error())
		return
	}
	r.left--
}
