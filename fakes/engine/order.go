package engine

import (
	"context"
	"net/http"
	"slices"

	"wigeondale/fleet"
)

const defaultRole = "both"

// OrderRequest is the body of PUT /v1/orders: the complete state that an operator's plan wants
// the engine to reach.
type OrderRequest struct {
	Fence   uint64           `json:"fence"`
	Plan    string           `json:"plan"`
	Desired []fleet.ModelRef `json:"desired"`
	Role    string           `json:"role"`
	Leaving bool             `json:"leaving"`
}

// OrderState is the response to an order: the latest order and which versions the engine
// has loaded and is loading now.
type OrderState struct {
	Fence   uint64           `json:"fence"`
	Plan    string           `json:"plan"`
	Desired []fleet.ModelRef `json:"desired"`
	Actual  []fleet.ModelRef `json:"actual"`
	Loading []fleet.ModelRef `json:"loading"`
	Role    string           `json:"role"`
	Leaving bool             `json:"leaving"`
}

type order struct {
	fence   uint64
	plan    string
	desired []fleet.ModelRef
	actual  []fleet.ModelRef
	loading []fleet.ModelRef
	role    string
	leaving bool
}

func newOrder(serves []fleet.ModelRef) order {
	return order{desired: slices.Clone(serves), actual: slices.Clone(serves), role: defaultRole}
}

func (o *order) state() OrderState {
	return OrderState{
		Fence:   o.fence,
		Plan:    o.plan,
		Desired: cloneRefs(o.desired),
		Actual:  cloneRefs(o.actual),
		Loading: cloneRefs(o.loading),
		Role:    o.role,
		Leaving: o.leaving,
	}
}

// cloneRefs copies refs. An empty list becomes [] and not null in JSON.
func cloneRefs(refs []fleet.ModelRef) []fleet.ModelRef {
	return append([]fleet.ModelRef{}, refs...)
}

// applyOrder follows an order, or reports false if its fencing number is stale. An engine
// without ChecksFence follows any order, as some engines in deployments do.
func (e *Engine) applyOrder(req OrderRequest) (OrderState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := &e.order
	if e.cfg.ChecksFence && req.Fence < o.fence {
		return o.state(), false
	}
	o.fence = req.Fence
	e.fences = append(e.fences, req.Fence)
	o.plan = req.Plan
	o.leaving = req.Leaving
	if req.Role != "" {
		o.role = req.Role
	}
	o.desired = slices.Clone(req.Desired)
	o.actual = slices.DeleteFunc(o.actual, func(r fleet.ModelRef) bool {
		return !slices.Contains(o.desired, r)
	})
	for _, ref := range o.desired {
		if !slices.Contains(o.actual, ref) && !slices.Contains(o.loading, ref) {
			o.loading = append(o.loading, ref)
			go e.load(e.ctx, ref)
		}
	}
	return o.state(), true
}

func (e *Engine) load(ctx context.Context, ref fleet.ModelRef) {
	var err error
	if e.loader != nil {
		err = e.loader.Load(ctx, ref)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	o := &e.order
	o.loading = slices.DeleteFunc(o.loading, func(r fleet.ModelRef) bool { return r == ref })
	if err == nil && slices.Contains(o.desired, ref) && !slices.Contains(o.actual, ref) {
		o.actual = append(o.actual, ref)
	}
}

func (e *Engine) getOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.order.state()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *Engine) putOrders(w http.ResponseWriter, r *http.Request) {
	var req OrderRequest
	if err := readJSON(w, r, &req); err != nil {
		refuse(w, refusal{http.StatusBadRequest, "bad_request", err.Error()})
		return
	}
	switch req.Role {
	case "", defaultRole, "prefill", "decode":
	default:
		refuse(w, refusal{http.StatusBadRequest, "bad_request", "role must be both, prefill or decode"})
		return
	}
	state, ok := e.applyOrder(req)
	if !ok {
		writeJSON(w, http.StatusConflict, staleFence{errorBody{Code: "stale_fence"}, state.Fence})
		return
	}
	writeJSON(w, http.StatusOK, state)
}
