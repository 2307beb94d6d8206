package measure

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"

	"wigeondale/fakes/control"
	"wigeondale/fakes/engine"
	"wigeondale/intent"
	"wigeondale/settings"
)

// Names and secrets of the measured deployment. The secrets protect nothing: all processes
// listen on loopback, and only during a run.
const (
	Model   = "redactor-llm"
	version = "v1"
	Account = "acme-notas"
	APIKey  = "demo-key"

	operator      = "demo"
	operatorHash  = "9437e87fae95c03d3778f2575bb18ce30e647e51d86a8c37963364e1fc4f374e"
	apiKeyHash    = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"
	keyText       = "measurement-only-measurement-only"
	weightBytes   = 1 << 20
	weightRate    = 1 << 30
	unlimitedRate = 1e9
	fileMode      = 0o600
)

// Plan writes the stand-ins' configuration of each fleet to a folder of its own in dir, and
// the names of the folders to dir/fleets, one per line.
func Plan(x Experiment, mode Mode, dir string) error {
	list := ""
	free := &portPool{used: map[int]bool{}}
	for _, f := range x.Fleets(mode) {
		list += f.Name + "\n"
		at := filepath.Join(dir, f.Name)
		if err := os.MkdirAll(at, 0o700); err != nil {
			return Error.Wrap(err)
		}
		engines, err := enginesOf(f, free)
		if err != nil {
			return err
		}
		config := standIns(f, engines)
		if config.Relays, err = planRelays(f, at); err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(at, "fakes.json"), config); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(at, "key"), []byte(keyText), fileMode); err != nil {
			return Error.Wrap(err)
		}
		if err := writeJSON(filepath.Join(at, "intents.json"), intents(f)); err != nil {
			return err
		}
	}
	return Error.Wrap(os.WriteFile(filepath.Join(dir, "fleets"), []byte(list), fileMode))
}

func standIns(f Fleet, engines []engine.Config) control.Config {
	return control.Config{
		KV:  &control.AddrConfig{},
		VMs: &control.VMsConfig{LagMS: 500},
		Weights: &control.WeightsConfig{
			BytesPerSecond: weightRate,
			Sizes:          map[string]int64{Model + "/" + version: weightBytes},
		},
		Engines:  engines,
		Services: f.Services,
	}
}

// changes is the content of a file for wigeonctl apply.
type changes struct {
	Changes []intent.Change `json:"changes"`
}

func intents(f Fleet) changes {
	account := &intent.Account{
		ID: Account, KeyHashes: []string{apiKeyHash},
		TokensPerSecond: unlimitedRate, Burst: unlimitedRate, MaxConcurrent: 100_000,
	}
	traffic := &intent.Traffic{Model: Model, Weights: []intent.Weight{{Version: version, Percent: 100}}}
	return changes{append([]intent.Change{
		{Kind: "account", Op: "set", Account: account},
		{Kind: "access", Op: "set", Access: &intent.Access{Account: Account, Model: Model}},
		{Kind: "traffic", Op: "set", Traffic: traffic},
	}, extraAccounts(f)...)}
}

// Settings writes the settings files of each fleet's routers. The stand-ins must have written
// their ports before.
func Settings(x Experiment, mode Mode, dir string) error {
	free := &portPool{used: map[int]bool{}}
	for _, f := range x.Fleets(mode) {
		at := filepath.Join(dir, f.Name)
		standIns, err := readPorts(at)
		if err != nil {
			return err
		}
		if err := routerSettings(f, at, standIns, free); err != nil {
			return err
		}
	}
	return nil
}

func routerSettings(f Fleet, dir string, standIns map[string]string, free *portPool) error {
	listeners, err := free.forRouters(3 * f.Routers)
	if err != nil {
		return err
	}
	admins := ""
	for i := range f.Routers {
		at := listeners[3*i : 3*i+3]
		s := router(f, i, at, standIns)
		for j := range f.Routers {
			if j != i {
				s.Peers.Seeds = append(s.Peers.Seeds, listeners[3*j+2])
			}
		}
		if err := usePeerRelays(f, s, i, dir, standIns); err != nil {
			return err
		}
		if f.Set != nil {
			f.Set(s)
		}
		if err := writeSettings(filepath.Join(dir, fmt.Sprintf("router-%d.json", i+1)), s); err != nil {
			return err
		}
		if i > 0 {
			admins += ","
		}
		admins += at[1]
	}
	return Error.Wrap(os.WriteFile(filepath.Join(dir, "admins"), []byte(admins), fileMode))
}

func router(f Fleet, i int, at []string, standIns map[string]string) *settings.Settings {
	s := settings.Default()
	s.Node.ID = fmt.Sprintf("router-%d", i+1)
	s.Node.VM = "vm-" + s.Node.ID
	s.Node.FailureDomain = f.FailureDomains[i%len(f.FailureDomains)]
	s.Node.Region = "measure"
	s.Listen.Caller.Address = at[0]
	s.Listen.Admin.Address = at[1]
	s.Listen.Peer.Address = at[2]
	s.Platform.KVURL = "http://" + standIns["kv"]
	s.Platform.VMsURL = "http://" + standIns["vms"]
	s.Platform.WeightsURL = "http://" + standIns["weights"]
	s.Peers.KeyFile = "key"
	s.Cursor.KeyFile = "key"
	s.Operators = []settings.Operator{{Name: operator, TokenSHA256: operatorHash, Role: settings.Confirmer}}
	s.Directory.VMsPollMS = 200
	s.Directory.LoadPollMS = 250
	s.Shutdown.BalancerNoticeMS = 0
	return s
}

// portPool allocates addresses for routers and engines. A port stays unbound until its
// process starts. Until then the kernel may give a port of its ephemeral range to a new
// connection, and the process would fail with "address in use". So ports below that range
// are allocated, each once per run.
type portPool struct{ used map[int]bool }

// The kernel's ephemeral range starts at 32768 by default. Ports that are chosen before the
// stand-ins start have a range of their own, since Settings runs in another process and
// does not know which ports were chosen. The demonstration's ports, from 19100 on, are not
// used.
const (
	minEnginePort = 10_000
	maxEnginePort = 19_000
	minRelayPort  = 20_000
	minRouterPort = 23_000
	maxRouterPort = 32_000
)

// enginesOf returns the configurations of the engines e1, e2 and so on, each on its own VM.
// Their ports are chosen here because a killed engine leaves its port unbound for a while: the
// kernel could give a port of the ephemeral range to a connection, and the engine could not
// start again.
func enginesOf(f Fleet, free *portPool) ([]engine.Config, error) {
	addresses, err := free.pick(minEnginePort, maxEnginePort, f.Engines)
	if err != nil {
		return nil, err
	}
	var out []engine.Config
	for i, addr := range addresses {
		e := f.Engine
		e.ID = fmt.Sprintf("e%d", i+1)
		e.VM = "vm-" + e.ID
		e.Addr = addr
		e.FailureDomain = f.FailureDomains[i%len(f.FailureDomains)]
		out = append(out, e)
	}
	return out, nil
}

// allocateRelayPorts allocates n addresses for Plan, before the stand-ins start.
func allocateRelayPorts(n int) ([]string, error) {
	p := &portPool{used: map[int]bool{}}
	return p.pick(minRelayPort, minRouterPort, n)
}

func (p *portPool) forRouters(n int) ([]string, error) {
	return p.pick(minRouterPort, maxRouterPort, n)
}

func (p *portPool) pick(low, high, n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > high-low {
			return nil, Error.New("no free port")
		}
		port := low + rand.IntN(high-low)
		if p.used[port] {
			continue
		}
		p.used[port] = true
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use by another process
		}
		out = append(out, l.Addr().String())
		_ = l.Close()
	}
	return out, nil
}

// writeSettings writes a settings file without null fields, which the settings do not accept.
func writeSettings(path string, s *settings.Settings) error {
	data, err := json.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return Error.Wrap(err)
	}
	removeNulls(tree)
	return writeJSON(path, tree)
}

func removeNulls(tree map[string]any) {
	for k, v := range tree {
		switch v := v.(type) {
		case nil:
			delete(tree, k)
		case map[string]any:
			removeNulls(v)
		}
	}
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, data, fileMode))
}

func readPorts(dir string) (map[string]string, error) {
	data, err := os.ReadFile(filepath.Join(dir, "ports.json"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var addresses map[string]string
	return addresses, Error.Wrap(json.Unmarshal(data, &addresses))
}
