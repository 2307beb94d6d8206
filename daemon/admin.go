package daemon

import (
	"bytes"
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
	"wigeondale/listen"
	"wigeondale/settings"
)

// adminHandler returns the handler for operators, readiness checks and metrics.
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

func (n *node) metrics(w http.ResponseWriter, r *http.Request) {
	var page bytes.Buffer
	n.set.WritePrometheus(&page)
	metrics.WriteProcessMetrics(&page)
	listen.WriteHeld(w, r, page.Bytes())
}

// readyz answers the balancer's readiness check. When the node shuts down, this check is
// the first thing to fail, while requests are still accepted, so that the balancer has time
// to notice and to send new requests to other nodes.
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

// planKey derives the key that signs plans, so that a signature made with the peer key
// for another purpose is not valid for a plan.
func planKey(shared []byte) []byte {
	mac := hmac.New(sha256.New, shared)
	mac.Write([]byte("wigeondale plans"))
	return mac.Sum(nil)
}

func operators(list []settings.Operator) []adminapi.Operator {
	out := make([]adminapi.Operator, 0, len(list))
	for _, o := range list {
		// The role was validated when the settings were loaded.
		role, _ := adminapi.ParseRole(o.Role)
		out = append(out, adminapi.Operator{Name: o.Name, TokenHash: o.TokenSHA256, Role: role})
	}
	return out
}

// Nodes lists the routers and the revision that each has in force.
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

// fleetView collects the state of the fleet from which a plan is made. refs are the
// versions that the plan will load. No engine may have loaded them yet, and without
// their sizes the plan would count no load on the weight store.
func (n *node) fleetView(ctx context.Context, refs []fleet.ModelRef) (intent.FleetView, error) {
	v := intent.FleetView{Serves: map[string][]fleet.ModelRef{}, WeightRate: n.weightRate}
	wanted := slices.Clone(refs)
	for id, d := range n.dir.Dump() {
		v.Backends = append(v.Backends, d.Backend)
		v.Serves[id] = d.Report.Serves
		wanted = append(wanted, d.Report.Serves...)
	}
	n.sizes.fetch(ctx, wanted)
	v.Weights = n.placedSizes(ctx)
	v.Entries = n.drain.entryVMs()
	return v, nil
}

// placedSizes returns the sizes of model weights, including those of all placements in
// the configuration. The node that sends orders may not be the one that made the plan:
// if it used only the sizes that it happens to know, it would count loading an unknown
// version as free of charge to the weight store's budget.
func (n *node) placedSizes(ctx context.Context) map[string]int64 {
	var wanted []fleet.ModelRef
	for _, p := range n.keeper.State().Placement {
		wanted = append(wanted, p.Desired...)
	}
	n.sizes.fetch(ctx, wanted)
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
