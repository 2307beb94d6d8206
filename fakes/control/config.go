// Package control builds a set of fakes from a configuration. Through one HTTP listener,
// tests turn the fakes' fault switches and read their records.
package control

import (
	"fmt"

	"github.com/zeebo/errs"

	"wigeondale/fakes/engine"
	"wigeondale/fakes/fault"
	"wigeondale/fakes/service"
	"wigeondale/fakes/vms"
)

// Error is the class of this package's errors.
var Error = errs.Class("fakes")

// anyPort is a loopback address whose port package fault replaces by a free one.
const anyPort = "127.0.0.1:0"

// Config describes a set of fakes. An empty address means any free loopback port. A nil KV,
// VMs or Weights means that the set has no such fake.
type Config struct {
	Control      AddrConfig       `json:"control"`
	KV           *AddrConfig      `json:"kv"`
	VMs          *VMsConfig       `json:"vms"`
	Weights      *WeightsConfig   `json:"weights"`
	Engines      []engine.Config  `json:"engines"`
	EngineGroups []EngineGroup    `json:"engine_groups"`
	Services     []service.Config `json:"services"`
	Relays       []RelayConfig    `json:"relays"`
}

// AddrConfig describes a fake that needs no configuration except its address.
type AddrConfig struct {
	Addr string `json:"addr"`
}

// VMsConfig describes the fake of the platform's VM list. The engines and services of the
// set are added to the list automatically. Extra holds further entries.
type VMsConfig struct {
	Addr  string      `json:"addr"`
	LagMS float64     `json:"lag_ms"`
	Extra []vms.Entry `json:"extra"`
}

// WeightsConfig describes the fake of the platform's weight store. Sizes are in bytes,
// keyed as in weights.New.
type WeightsConfig struct {
	Addr           string           `json:"addr"`
	BytesPerSecond float64          `json:"bytes_per_second"`
	Sizes          map[string]int64 `json:"sizes"`
}

// EngineGroup describes count engines with the ids prefix1, prefix2 and so on. Each is on a VM
// of its own; the failure domains are assigned in turn.
type EngineGroup struct {
	Prefix         string        `json:"prefix"`
	Count          int           `json:"count"`
	FailureDomains []string      `json:"failure_domains"`
	Engine         engine.Config `json:"engine"` // configuration of all engines of the group
}

// RelayConfig describes a TCP relay that listens on the address Listen and forwards
// connections to the address Target.
type RelayConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	Target string `json:"target"`
}

// Parse decodes a configuration strictly and checks it.
func Parse(data []byte) (Config, error) {
	var c Config
	if err := fault.Decode(data, &c); err != nil {
		return c, Error.Wrap(err)
	}
	return c, c.check()
}

func (c Config) check() error {
	seen := map[string]bool{"": true, "record": true, "calls": true, "stop": true, "ports": true}
	for _, id := range []string{"kv", "vms", "weights", "control"} {
		seen[id] = true
	}
	var ids []string
	for _, e := range c.allEngines() {
		if err := e.Check(); err != nil {
			return Error.Wrap(err)
		}
		ids = append(ids, e.ID)
	}
	for _, s := range c.Services {
		ids = append(ids, s.ID)
	}
	for _, r := range c.Relays {
		ids = append(ids, r.ID)
	}
	for _, id := range ids {
		if seen[id] {
			return Error.New("id %q is empty, reserved or used twice", id)
		}
		seen[id] = true
	}
	for i, g := range c.EngineGroups {
		if g.Count < 1 || len(g.FailureDomains) == 0 {
			return Error.New("engine_groups[%d]: count and failure_domains are needed", i)
		}
	}
	return nil
}

func (c Config) allEngines() []engine.Config {
	all := append([]engine.Config{}, c.Engines...)
	for _, g := range c.EngineGroups {
		all = append(all, g.expand()...)
	}
	return all
}

func (g EngineGroup) expand() []engine.Config {
	var out []engine.Config
	for i := range g.Count {
		e := g.Engine
		e.ID = fmt.Sprintf("%s%d", g.Prefix, i+1)
		e.VM = "vm-" + e.ID
		if len(g.FailureDomains) > 0 {
			e.FailureDomain = g.FailureDomains[i%len(g.FailureDomains)]
		}
		out = append(out, e)
	}
	return out
}
