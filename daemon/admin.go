package daemon

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/adminapi"
	"wigeondale/fleet"
	"wigeondale/intent"
	"wigeondale/settings"
)

// adminHandler serves operators, probes and metrics.
func (n *node) adminHandler(set *settings.Settings) http.Handler {
	api := adminapi.New(adminapi.Config{
		Node:       n.id,
		Keeper:     n.keeper,
		Members:    n,
		FleetView:  n.fleetView,
		Backends:   n.backendStatus,
		Quarantine: n.guard,
		Operators:  operators(set.Operators),
		PlanKey:    planKey(set.PeerKey()),
		Nonce:      rand.Text,
		Events:     n.log,
		Metrics:    n.set,
	})
	mux := http.NewServeMux()
	mux.Handle("/admin/v1/", api)
	mux.Handle("GET /debug/dump", api.RequireRole(adminapi.Viewer, n.dumps))
	mux.HandleFunc("GET /metrics", n.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", n.readyz)
	return mux
}

func (n *node) metrics(w http.ResponseWriter, _ *http.Request) {
	n.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// readyz is what the balancer asks. It fails first at a shutdown, while
// requests are still accepted.
func (n *node) readyz(w http.ResponseWriter, _ *http.Request) {
	if n.leaving.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	if n.drain.leaving() {
		http.Error(w, "this VM is leaving", http.StatusServiceUnavailable)
		return
	}
	if err := n.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// planKey derives the key for plans, so that a signature made for one purpose
// can't serve another.
func planKey(shared []byte) []byte {
	mac := hmac.New(sha256.New, shared)
	mac.Write([]byte("wigeondale plans"))
	return mac.Sum(nil)
}

func operators(list []settings.Operator) []adminapi.Operator {
	out := make([]adminapi.Operator, 0, len(list))
	for _, o := range list {
		// settings has checked the role.
		role, _ := adminapi.ParseRole(o.Role)
		out = append(out, adminapi.Operator{Name: o.Name, TokenHash: o.TokenSHA256, Role: role})
	}
	return out
}

// Nodes lists the routers for the status of a revision.
func (n *node) Nodes() []adminapi.Node {
	members := n.mesh.Members()
	nodes := make([]adminapi.Node, 0, len(members))
	for _, m := range members {
		revision := m.Summary.Revision
		if m.Self {
			revision = n.keeper.State().Revision
		}
		nodes = append(nodes, adminapi.Node{ID: m.ID, FailureDomain: m.FailureDomain, Revision: revision, Reachable: m.Alive})
	}
	return nodes
}

// fleetView is what plans are made from. refs are the versions that the plan is
// to be about: nobody may have loaded them yet, and without their sizes the plan
// would show no load on the weight store.
func (n *node) fleetView(ctx context.Context, refs []fleet.ModelRef) (intent.FleetView, error) {
	v := intent.FleetView{Serves: map[string][]fleet.ModelRef{}, WeightRate: n.weightRate}
	wanted := slices.Clone(refs)
	for id, d := range n.dir.Dump() {
		v.Backends = append(v.Backends, d.Backend)
		v.Serves[id] = d.Report.Serves
		wanted = append(wanted, d.Report.Serves...)
	}
	n.sizes.learn(ctx, wanted)
	v.Weights = n.placedSizes(ctx)
	v.Entries = n.drain.entryVMs()
	return v, nil
}

// placedSizes returns the weights' sizes, those of all placements included. The
// node that gives orders need not be the one that made the plan: with the sizes
// that this one happens to know, a load would count as none on the weight
// store's budget.
func (n *node) placedSizes(ctx context.Context) map[string]int64 {
	var wanted []fleet.ModelRef
	for _, p := range n.keeper.State().Placement {
		wanted = append(wanted, p.Desired...)
	}
	n.sizes.learn(ctx, wanted)
	return n.sizes.all()
}

func (n *node) backendStatus() []adminapi.BackendStatus {
	states := n.mon.Dump()
	var out []adminapi.BackendStatus
	for id, d := range n.dir.Dump() {
		state := states[id].State
		if state == "" {
			state = n.mon.State(id).String()
		}
		out = append(out, adminapi.BackendStatus{
			Backend: d.Backend, Health: state, Serves: d.Report.Serves, InFlight: int(d.Load), Leaving: d.Leaving,
		})
	}
	return out
}
