package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"wigeondale/ctl"
	"wigeondale/fakes/control"
	"wigeondale/fakes/engine"
	"wigeondale/fakes/service"
	"wigeondale/fakes/vms"
	"wigeondale/fleet"
	"wigeondale/settings"
)

// What the fleet of the product's own interface serves.
const (
	ownModel    = "redactor-llm"
	ownService  = "portal-notas"
	ownToken    = "soak-operator-token"
	ownAccounts = 12
	// ownKeys is a line of every key file: longer than the least that is accepted.
	ownKeys = "a-key-of-the-soak-that-is-long-enough-for-any-use"
)

var ownDomains = []string{"d0", "d1", "d2"}

// router is a wigeond on the product's own interface, which reaches the key-value
// service, the VM list and its peers through relays of its own.
type router struct {
	process
	caller, admin, peer, via string // host:port
}

// productRun is the state of one run on the product's own interface.
type productRun struct {
	run
	set     *control.Set
	routers []*router
	left    int // accounts that were not taken away
}

// RunProduct plays one seed on the product's own interface.
func RunProduct(ctx context.Context, cfg Config) (*Report, error) {
	r := &productRun{run: newRun(cfg, productStream), left: ownAccounts}
	return r.play(ctx, r)
}

func (r *productRun) client(i int) looper { return newProductClient(r, i) }

func (r *productRun) start(ctx context.Context) error {
	for i := range r.cfg.Nodes {
		one, err := newRouter(r, i)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, one)
	}
	fakes, err := r.standIns()
	if err != nil {
		return err
	}
	set, err := control.New(fakes)
	if err != nil {
		return Error.Wrap(err)
	}
	r.set = set
	if err := set.Start(); err != nil {
		return Error.Wrap(err)
	}
	for _, name := range []string{"peer.key", "cursor.key"} {
		if err := os.WriteFile(filepath.Join(r.cfg.Dir, name), []byte(ownKeys), 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	for i, one := range r.routers {
		if err := r.writeSettings(one, i); err != nil {
			return err
		}
		if err := one.launch(); err != nil {
			return err
		}
	}
	if err := r.configure(ctx); err != nil {
		return err
	}
	for _, one := range r.routers {
		if err := one.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func newRouter(r *productRun, i int) (*router, error) {
	one := &router{process: process{id: fmt.Sprintf("r%d", i), cfg: &r.cfg, checks: r.checks}}
	if err := claimAddrs(&one.caller, &one.admin, &one.peer, &one.via); err != nil {
		return nil, err
	}
	one.process.ready = "http://" + one.admin + "/readyz"
	return one, nil
}

// standIns describes engines, plain services, the platform and a relay for each
// path that is to be cut.
func (r *productRun) standIns() (control.Config, error) {
	var kv, list string
	if err := claimAddrs(&kv, &list); err != nil {
		return control.Config{}, err
	}
	cfg := control.Config{
		KV:      &control.AddrConfig{Addr: kv},
		VMs:     &control.VMsConfig{Addr: list},
		Weights: &control.WeightsConfig{BytesPerSecond: 1e9},
	}
	for i := range r.cfg.Engines {
		cfg.Engines = append(cfg.Engines, engine.Config{
			ID: fmt.Sprintf("e%d", i), FailureDomain: ownDomains[i%len(ownDomains)], StepMS: 5, ChecksFence: true,
			Serves: []fleet.ModelRef{{Model: ownModel, Version: "v1"}},
		})
	}
	for i := range r.cfg.Services {
		cfg.Services = append(cfg.Services, service.Config{ID: fmt.Sprintf("s%d", i), Service: ownService, FailureDomain: ownDomains[i%len(ownDomains)]})
	}
	for i, one := range r.routers {
		cfg.VMs.Extra = append(cfg.VMs.Extra, vms.Entry{
			ID: one.id, VM: "vm-" + one.id, Role: "entry", Addr: one.via, FailureDomain: ownDomains[i%len(ownDomains)],
		})
		cfg.Relays = append(cfg.Relays,
			control.RelayConfig{ID: "kv-" + one.id, Target: kv},
			control.RelayConfig{ID: "vms-" + one.id, Target: list},
			control.RelayConfig{ID: "peer-" + one.id, Listen: one.via, Target: one.peer})
	}
	return cfg, nil
}

func (r *productRun) writeSettings(one *router, i int) error {
	def, addrs := settings.Default(), r.set.Ports()
	peers, policy := def.Peers, def.Policy
	peers.HeartbeatMS, peers.KeyFile = 100, "peer.key"
	for _, other := range r.routers {
		if other != one {
			peers.Seeds = append(peers.Seeds, other.via)
		}
	}
	at := func(addr string) map[string]string { return map[string]string{"address": addr} }
	sum := sha256.Sum256([]byte(ownToken))
	data, err := json.MarshalIndent(map[string]any{
		"node":   settings.Node{ID: one.id, VM: "vm-" + one.id, FailureDomain: ownDomains[i%len(ownDomains)], Region: "r", Incarnation: "auto"},
		"listen": map[string]any{"caller": at(one.caller), "admin": at(one.admin), "peer": at(one.peer), "advertise_peer": one.via},
		"platform": settings.Platform{
			KVURL: "http://" + addrs["kv-"+one.id], VMsURL: "http://" + addrs["vms-"+one.id], WeightsURL: "http://" + addrs["weights"], CallTimeoutMS: 1000,
		},
		"peers":     peers,
		"policy":    policy,
		"cursor":    map[string]string{"key_file": "cursor.key"},
		"operators": []settings.Operator{{Name: "soak", TokenSHA256: hex.EncodeToString(sum[:]), Role: settings.Confirmer}},
		"shutdown":  settings.Shutdown{BalancerNoticeMS: 300},
	}, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(one.settingsPath(), data, 0o600))
}

func accountOf(i int) (id, key string) { return fmt.Sprintf("acc-%d", i), fmt.Sprintf("own-key-%d", i) }

// configure applies the first intents and waits until they are in force.
func (r *productRun) configure(ctx context.Context) error {
	changes := []string{fmt.Sprintf(`{"kind":"traffic","op":"set","traffic":{"model":%q,"weights":[{"version":"v1","percent":100}],"priority":"batch"}}`, ownModel)}
	for i := range ownAccounts {
		id, key := accountOf(i)
		sum := sha256.Sum256([]byte(key))
		changes = append(changes,
			fmt.Sprintf(`{"kind":"account","op":"set","account":{"id":%q,"key_hashes":[%q],"tokens_per_second":100000,"burst":1000000,"max_concurrent":1000}}`, id, hex.EncodeToString(sum[:])),
			fmt.Sprintf(`{"kind":"access","op":"set","access":{"account":%q,"model":%q}}`, id, ownModel))
	}
	var err error
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = r.apply(ctx, changes); err == nil {
			return nil
		}
	}
	return Error.New("%w; the log of %s ends with:\n%s", err, r.routers[0].id, r.routers[0].logTail())
}

// apply plans and confirms changes through any router that answers.
func (r *productRun) apply(ctx context.Context, changes []string) error {
	var admins []string
	for _, one := range r.routers {
		admins = append(admins, one.admin)
	}
	var out bytes.Buffer
	env := ctl.Env{
		Stdin:  strings.NewReader(`{"changes":[` + strings.Join(changes, ",") + `]}`),
		Stdout: &out, Stderr: &out,
		Getenv: func(name string) string { return map[string]string{"WIGEON_TOKEN": ownToken}[name] },
	}
	code := ctl.Main(ctx, []string{"--admin", strings.Join(admins, ","), "apply", "-f", "-", "--yes"}, env)
	if code != ctl.ExitOK {
		return Error.New("apply ended with code %d: %s", code, out.String())
	}
	return nil
}

// calm brings everything back, and waits until all routers are ready.
func (r *productRun) calm() {
	r.history.note("calm")
	for _, one := range r.routers {
		one.signal(syscall.SIGCONT)
		one.recovers()
	}
}

// stop ends every process and stand-in that the run has started.
func (r *productRun) stop() {
	for _, one := range r.routers {
		one.kill()
	}
	if r.set != nil {
		r.set.Close()
	}
}
