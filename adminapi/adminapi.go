// Package adminapi implements the HTTP API for operators. Nodes store no plans: a plan is
// complete and signed with a key that all nodes share, so that an operator can confirm the
// plan at any node, even if the node that made it has died.
package adminapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/intent"
)

// Error is the class of the errors of this package.
var Error = errs.Class("adminapi")

// Limits of one call.
const (
	MaxBody      = 900 << 10 // bytes
	MaxRevisions = 200
	callTimeout  = 20 * time.Second
)

// Keeper is the part of intent.Keeper that this package uses.
type Keeper interface {
	State() *intent.State
	Ready() (bool, string)
	Confirm(ctx context.Context, p intent.Plan) (intent.Revision, error)
	Revisions(ctx context.Context, from uint64, max int) ([]intent.Revision, error)
}

// Node is the status of one router, as known to the router that returns it. The two may be
// the same router.
type Node struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Revision      uint64 `json:"revision"` // revision in force on that node, as last reported
	Reachable     bool   `json:"heard"`    // false if the membership lists it as dead
}

// Members lists the routers that the membership knows, reachable or not.
type Members interface {
	Nodes() []Node
}

// BackendStatus is the status of one backend server as known to this router.
type BackendStatus struct {
	Backend  fleet.Backend    `json:"backend"`
	Health   string           `json:"health"`
	Serves   []fleet.ModelRef `json:"serves"`
	InFlight int              `json:"in_flight"`
	Leaving  bool             `json:"leaving"` // according to the configuration, the VM list or its own report
}

// Config holds the dependencies of the API.
type Config struct {
	Node    string
	Keeper  Keeper
	Members Members
	// FleetView returns the state of the fleet, including the weight sizes of refs.
	FleetView func(ctx context.Context, refs []fleet.ModelRef) (intent.FleetView, error)
	Backends  func() []BackendStatus
	// Quarantine lists the quarantined requests and ends the quarantine of single requests.
	Quarantine Quarantine
	Operators  []Operator
	PlanKey    []byte // signs plans; the same on all nodes
	Nonce      func() string
	Events     *event.Log
	Metrics    *metrics.Set
}

// API is the handler of the paths under /admin/v1/.
type API struct {
	cfg     Config
	mux     *http.ServeMux
	refused *metrics.Counter
}

// New returns the handler of the administration API.
func New(cfg Config) *API {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Nonce == nil {
		cfg.Nonce = randomNonce
	}
	a := &API{cfg: cfg, mux: http.NewServeMux()}
	a.refused = cfg.Metrics.GetOrCreateCounter("wigeon_admin_refused_total")
	a.mux.Handle("POST /admin/v1/plans", a.allow(Editor, a.postPlan))
	a.mux.Handle("GET /admin/v1/plans/{id}", a.allow(Viewer, a.planStatus))
	a.mux.Handle("POST /admin/v1/plans/{id}/confirm", a.allow(Confirmer, a.confirm))
	a.mux.Handle("GET /admin/v1/state", a.allow(Viewer, a.state))
	a.mux.Handle("GET /admin/v1/status", a.allow(Viewer, a.status))
	a.mux.Handle("GET /admin/v1/backends", a.allow(Viewer, a.backends))
	a.mux.Handle("GET /admin/v1/quarantine", a.allow(Viewer, a.quarantined))
	a.mux.Handle("GET /admin/v1/quarantine/parts", a.allow(Viewer, a.quarantinedParts))
	a.mux.Handle("POST /admin/v1/quarantine/{digest}/lift", a.allow(Confirmer, a.lift))
	a.mux.Handle("GET /admin/v1/revisions", a.allow(Viewer, a.revisions))
	a.mux.HandleFunc("/admin/v1/", func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, Problem{Code: CodeNotFound, Message: "no such path or method"})
	})
	return a
}

// ServeHTTP serves one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, MaxBody)
	a.mux.ServeHTTP(w, r)
}

// Status reports on how many nodes the revision of the answering node, or a later one, is
// in force.
type Status struct {
	Node        string   `json:"node"`
	Revision    uint64   `json:"revision"` // in force on the answering node
	Ready       bool     `json:"ready"`
	Reason      string   `json:"reason,omitempty"`
	InForce     int      `json:"in_force"`  // reachable nodes at this revision or later
	Unreachable []string `json:"not_heard"` // known nodes that are not reachable, see Node.Reachable
	Nodes       []Node   `json:"nodes"`
}

func (a *API) status(w http.ResponseWriter, _ *http.Request, _ Operator) {
	s := Status{Node: a.cfg.Node, Revision: a.cfg.Keeper.State().Revision, Unreachable: []string{}}
	s.Ready, s.Reason = a.cfg.Keeper.Ready()
	s.Nodes = a.cfg.Members.Nodes()
	for _, n := range s.Nodes {
		switch {
		case !n.Reachable:
			s.Unreachable = append(s.Unreachable, n.ID)
		case n.Revision >= s.Revision:
			s.InForce++
		}
	}
	writeJSON(w, http.StatusOK, s)
}

func (a *API) state(w http.ResponseWriter, _ *http.Request, _ Operator) {
	writeJSON(w, http.StatusOK, a.cfg.Keeper.State().Redacted())
}

func (a *API) backends(w http.ResponseWriter, _ *http.Request, _ Operator) {
	writeJSON(w, http.StatusOK, a.cfg.Backends())
}

func (a *API) revisions(w http.ResponseWriter, r *http.Request, _ Operator) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		from = 1
	}
	list, err := a.cfg.Keeper.Revisions(r.Context(), from, MaxRevisions)
	if err != nil {
		writeFailure(w, err)
		return
	}
	for i := range list {
		list[i] = list[i].Redacted()
	}
	writeJSON(w, http.StatusOK, list)
}
