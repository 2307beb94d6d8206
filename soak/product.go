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

// Settings of the fleet on the product's own interface.
const (
	productModel    = "redactor-llm"
	productService  = "portal-notas"
	productToken    = "soak-operator-token"
	productAccounts = 12
	// productKey is the content of every key file, longer than the minimum that is accepted.
	productKey = "a-key-of-the-soak-that-is-long-enough-for-any-use"
)

var productDomains = []string{"d0", "d1", "d2"}

// router is a router on the product's own interface. The router has three relays of its
// own, which faults can cut: one lies between the router and the key-value service, one
// between the router and the VM list, and one between the router and its peers.
type router struct {
	process
	caller, admin, peer, advertisedPeer string // host:port; advertisedPeer is the relay to peer
	proxy                               string // to the backend servers; empty without Config.Cuts
}

// productRun is the state of one run on the product's own interface.
type productRun struct {
	run
	fakes        *control.Set
	routers      []*router
	accountsLeft int // accounts that have not been removed
	cuts         *cuts
	series       *series
}

// RunProduct runs one seed on the product's own interface.
func RunProduct(ctx context.Context, cfg Config) (*Report, error) {
	r := newProductRun(cfg)
	return r.execute(ctx, r)
}

func newProductRun(cfg Config) *productRun {
	r := &productRun{run: newRun(cfg, productStream), accountsLeft: productAccounts}
	r.cuts = newCuts(&r.run, r.drawCutServers)
	r.series = newSeries(&r.run)
	return r
}

func (r *productRun) newClient(i int) trafficClient { return newProductClient(r, i) }

func (r *productRun) start(ctx context.Context) error {
	for i := range r.cfg.Nodes {
		rt, err := newRouter(r, i)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, rt)
	}
	cfg, err := r.fakesConfig()
	if err != nil {
		return err
	}
	fakes, err := control.New(cfg)
	if err != nil {
		return Error.Wrap(err)
	}
	r.fakes = fakes
	if err := fakes.Start(); err != nil {
		return Error.Wrap(err)
	}
	for _, name := range []string{"peer.key", "cursor.key"} {
		if err := os.WriteFile(filepath.Join(r.cfg.Dir, name), []byte(productKey), 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	for i, rt := range r.routers {
		if err := r.writeSettings(rt, i); err != nil {
			return err
		}
		if err := rt.start(); err != nil {
			return err
		}
	}
	if err := r.configure(ctx); err != nil {
		return err
	}
	for _, rt := range r.routers {
		if err := rt.awaitReady(ctx); err != nil {
			return err
		}
	}
	r.cuts.start(ctx)
	r.series.start(ctx, r.seriesFaults())
	return nil
}

func newRouter(r *productRun, i int) (*router, error) {
	rt := &router{process: process{id: fmt.Sprintf("r%d", i), cfg: &r.cfg, checks: r.checks}}
	if err := reserveAddrs(&rt.caller, &rt.admin, &rt.peer, &rt.advertisedPeer); err != nil {
		return nil, err
	}
	var err error
	if rt.proxy, err = r.cuts.newProxy(); err != nil {
		return nil, err
	}
	rt.process.ready = "http://" + rt.admin + "/readyz"
	return rt, nil
}

// fakesConfig describes the engines, the services that are not model engines, the platform, and a
// relay for each network path that faults cut.
func (r *productRun) fakesConfig() (control.Config, error) {
	var kv, vmList string
	if err := reserveAddrs(&kv, &vmList); err != nil {
		return control.Config{}, err
	}
	cfg := control.Config{
		KV:      &control.AddrConfig{Addr: kv},
		VMs:     &control.VMsConfig{Addr: vmList},
		Weights: &control.WeightsConfig{BytesPerSecond: 1e9},
	}
	for i := range r.cfg.Engines {
		cfg.Engines = append(cfg.Engines, engine.Config{
			ID: fmt.Sprintf("e%d", i), FailureDomain: productDomains[i%len(productDomains)], StepMS: 5, ChecksFence: true,
			Serves: []fleet.ModelRef{{Model: productModel, Version: "v1"}},
		})
	}
	for i := range r.cfg.Services {
		cfg.Services = append(cfg.Services, service.Config{ID: fmt.Sprintf("s%d", i), Service: productService, FailureDomain: productDomains[i%len(productDomains)]})
	}
	for i, rt := range r.routers {
		cfg.VMs.Extra = append(cfg.VMs.Extra, vms.Entry{
			ID: rt.id, VM: "vm-" + rt.id, Role: "entry", Addr: rt.advertisedPeer, FailureDomain: productDomains[i%len(productDomains)],
		})
		cfg.Relays = append(cfg.Relays,
			control.RelayConfig{ID: "kv-" + rt.id, Target: kv},
			control.RelayConfig{ID: "vms-" + rt.id, Target: vmList},
			control.RelayConfig{ID: "peer-" + rt.id, Listen: rt.advertisedPeer, Target: rt.peer})
	}
	return cfg, nil
}

func (r *productRun) writeSettings(rt *router, i int) error {
	defaults, addrs := settings.Default(), r.fakes.Ports()
	peers, policy := defaults.Peers, defaults.Policy
	peers.HeartbeatMS, peers.KeyFile = 100, "peer.key"
	for _, other := range r.routers {
		if other != rt {
			peers.Seeds = append(peers.Seeds, other.advertisedPeer)
		}
	}
	listenAt := func(addr string) map[string]any { return map[string]any{"address": addr} }
	caller := listenAt(rt.caller)
	if r.cfg.CallerTLS != nil {
		caller["tls"] = r.cfg.CallerTLS
	}
	tokenHash := sha256.Sum256([]byte(productToken))
	data, err := json.MarshalIndent(map[string]any{
		"node":   settings.Node{ID: rt.id, VM: "vm-" + rt.id, FailureDomain: productDomains[i%len(productDomains)], Region: "r", Incarnation: "auto", BackendProxyAddress: rt.proxy},
		"limits": r.cfg.limits(),
		"listen": map[string]any{"caller": caller, "admin": listenAt(rt.admin), "peer": listenAt(rt.peer), "advertise_peer": rt.advertisedPeer},
		"platform": settings.Platform{
			KVURL: "http://" + addrs["kv-"+rt.id], VMsURL: "http://" + addrs["vms-"+rt.id], WeightsURL: "http://" + addrs["weights"], CallTimeoutMS: 1000,
		},
		"peers":     peers,
		"policy":    policy,
		"cursor":    map[string]string{"key_file": "cursor.key"},
		"operators": []settings.Operator{{Name: "soak", TokenSHA256: hex.EncodeToString(tokenHash[:]), Role: settings.Confirmer}},
		"shutdown":  settings.Shutdown{BalancerNoticeMS: 300},
	}, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(rt.settingsPath(), data, 0o600))
}

// accountOf returns the id and the API key of the i-th account.
func accountOf(i int) (id, key string) { return fmt.Sprintf("acc-%d", i), fmt.Sprintf("own-key-%d", i) }

// configure applies the initial configuration, and retries until the routers accept it.
func (r *productRun) configure(ctx context.Context) error {
	changes := []string{fmt.Sprintf(`{"kind":"traffic","op":"set","traffic":{"model":%q,"weights":[{"version":"v1","percent":100}],"priority":"batch"}}`, productModel)}
	for i := range productAccounts {
		id, key := accountOf(i)
		sum := sha256.Sum256([]byte(key))
		changes = append(changes,
			fmt.Sprintf(`{"kind":"account","op":"set","account":{"id":%q,"key_hashes":[%q],"tokens_per_second":100000,"burst":1000000,"max_concurrent":1000}}`, id, hex.EncodeToString(sum[:])),
			fmt.Sprintf(`{"kind":"access","op":"set","access":{"account":%q,"model":%q}}`, id, productModel))
	}
	var err error
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if err = r.apply(ctx, changes); err == nil {
			return nil
		}
	}
	return Error.New("%w; the log of %s ends with:\n%s", err, r.routers[0].id, r.routers[0].logTail())
}

// apply plans and confirms configuration changes through any router that responds.
func (r *productRun) apply(ctx context.Context, changes []string) error {
	var admins []string
	for _, rt := range r.routers {
		admins = append(admins, rt.admin)
	}
	var out bytes.Buffer
	env := ctl.Env{
		Stdin:  strings.NewReader(`{"changes":[` + strings.Join(changes, ",") + `]}`),
		Stdout: &out, Stderr: &out,
		Getenv: func(name string) string { return map[string]string{"WIGEON_TOKEN": productToken}[name] },
	}
	code := ctl.Main(ctx, []string{"--admin", strings.Join(admins, ","), "apply", "-f", "-", "--yes"}, env)
	if code != ctl.ExitOK {
		return Error.New("apply ended with code %d: %s", code, out.String())
	}
	return nil
}

// endFaults resumes stopped routers and waits until all routers are ready.
func (r *productRun) endFaults() {
	r.series.end()
	r.cuts.end()
	r.history.add("calm")
	for _, rt := range r.routers {
		rt.signal(syscall.SIGCONT)
		rt.awaitRecovery()
	}
}

// stop ends every process and fake that the run has started.
func (r *productRun) stop() {
	r.series.end()
	r.cuts.end()
	for _, rt := range r.routers {
		rt.kill()
	}
	r.cuts.close()
	if r.fakes != nil {
		r.fakes.Close()
	}
}

// beCalm implements testbed.
func (r *productRun) beCalm(context.Context) {}
