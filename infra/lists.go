package infra

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/bounded"
	"wigeondale/fleet"
)

// These are the roles of VMs in the VM list.
const (
	RoleEngine  = "engine"
	RoleService = "service"
	RoleEntry   = "entry"
)

// These are the labels of the VM list, which has the Prometheus HTTP service-discovery
// format.
const (
	labelVM        = "__meta_vm_id"
	labelRole      = "__meta_role"
	labelBackend   = "__meta_backend_id"
	labelDomain    = "__meta_failure_domain"
	labelState     = "__meta_state"
	labelService   = "__meta_service"
	labelFence     = "__meta_checks_fence"
	stateLeaving   = "leaving"
	maxVMListBytes = 16 << 20
)

// VM is one entry of the VM list. For RoleEntry, Backend.ID is the node's id and no other
// field of Backend is set; Addr is the address at which the node's peers reach the node.
type VM struct {
	ID            string
	Role          string
	Backend       fleet.Backend
	Addr          string // host:port
	FailureDomain string
	Leaving       bool
}

// VMList reads the platform's list of VMs. The list may be out of date, because the
// platform adds changes to the list with a delay.
type VMList struct {
	url     string
	client  *http.Client
	timeout time.Duration
	meter   meter
}

// NewVMList returns a client of the VM list at url; timeout 0 means DefaultCallTimeout.
func NewVMList(url string, timeout time.Duration, set *metrics.Set) *VMList {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	return &VMList{url: url, client: newHTTPClient(timeout), timeout: timeout, meter: meter{set, "vms"}}
}

type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List returns the VMs that the platform currently lists.
func (l *VMList) List(ctx context.Context) ([]VM, error) {
	start := time.Now()
	vms, err := l.list(ctx)
	l.meter.record("list", start, err)
	return vms, err
}

func (l *VMList) list(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	resp, err := read(ctx, l.client, http.MethodGet, l.url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(reads, resp)
	}
	var groups []targetGroup
	if err := bounded.DecodeJSON(resp, maxVMListBytes, &groups); err != nil {
		return nil, wrapFailure(reads, true, err)
	}
	var vms []VM
	for _, g := range groups {
		vms = append(vms, g.vms()...)
	}
	return vms, nil
}

func (g targetGroup) vms() []VM {
	vms := make([]VM, 0, len(g.Targets))
	for _, addr := range g.Targets {
		vms = append(vms, g.vm(addr))
	}
	return vms
}

func (g targetGroup) vm(addr string) VM {
	vm := VM{
		ID:            g.Labels[labelVM],
		Role:          g.Labels[labelRole],
		Addr:          addr,
		FailureDomain: g.Labels[labelDomain],
		Leaving:       g.Labels[labelState] == stateLeaving,
	}
	vm.Backend.ID = g.Labels[labelBackend]
	if vm.Role == RoleEntry {
		return vm
	}
	vm.Backend.Addr = addr
	vm.Backend.VM = vm.ID
	vm.Backend.FailureDomain = vm.FailureDomain
	vm.Backend.Kind = fleet.Kind(vm.Role)
	vm.Backend.Service = g.Labels[labelService]
	vm.Backend.ChecksFence = g.Labels[labelFence] == "true"
	vm.Backend.Leaving = vm.Leaving
	return vm
}
