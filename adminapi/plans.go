package adminapi

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"

	"wigeondale/intent"
)

// SignedPlan is a plan with a signature that proves that a node of this deployment made
// it. Without the signature an operator who may confirm plans could add changes that
// were never checked against the fleet.
type SignedPlan struct {
	Plan      intent.Plan `json:"plan"`
	Signature string      `json:"signature"` // HMAC-SHA-256, hex
}

// ConfirmResult is the response to an operator's confirmation of a plan.
type ConfirmResult struct {
	PlanID   string `json:"plan_id"`
	Revision uint64 `json:"revision"`
}

// PlanStatus reports whether a plan was accepted, as far as this node knows.
type PlanStatus struct {
	PlanID   string `json:"plan_id"`
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision,omitempty"`
	Head     uint64 `json:"head"` // latest revision known to the answering node
}

func randomNonce() string { return rand.Text() }

// Sign signs a plan, so that it can be confirmed.
func Sign(key []byte, p intent.Plan) (SignedPlan, error) {
	sig, err := signature(key, p)
	return SignedPlan{Plan: p, Signature: hex.EncodeToString(sig)}, err
}

// Verify reports whether sp was signed with key and has not been changed since.
func Verify(key []byte, sp SignedPlan) bool {
	got, err := hex.DecodeString(sp.Signature)
	if err != nil {
		return false
	}
	want, err := signature(key, sp.Plan)
	return err == nil && hmac.Equal(got, want)
}

func signature(key []byte, p intent.Plan) ([]byte, error) {
	b, err := json.Marshal(p)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("wigeondale plan 1\n"))
	mac.Write(b)
	return mac.Sum(nil), nil
}

func (a *API) postPlan(w http.ResponseWriter, r *http.Request, op Operator) {
	var in intent.Intents
	if !decode(w, r, &in) {
		return
	}
	sp, err := a.createPlan(r, op, in)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, sp)
}

func (a *API) createPlan(r *http.Request, op Operator, in intent.Intents) (SignedPlan, error) {
	if ok, reason := a.cfg.Keeper.Ready(); !ok {
		return SignedPlan{}, Error.New("%w: %s", intent.ErrNotReady, reason)
	}
	view, err := a.cfg.FleetView(r.Context(), intent.Refs(in.Changes))
	if err != nil {
		return SignedPlan{}, Error.Wrap(err)
	}
	return Sign(a.cfg.PlanKey, intent.MakePlan(a.cfg.Keeper.State(), view, op.Name, a.cfg.Nonce(), in))
}

func (a *API) planStatus(w http.ResponseWriter, r *http.Request, _ Operator) {
	s := a.cfg.Keeper.State()
	ps := PlanStatus{PlanID: r.PathValue("id"), Head: s.Revision}
	ps.Revision, ps.Accepted = s.Plans[ps.PlanID]
	writeJSON(w, http.StatusOK, ps)
}

func (a *API) confirm(w http.ResponseWriter, r *http.Request, op Operator) {
	var sp SignedPlan
	if !decode(w, r, &sp) {
		return
	}
	if sp.Plan.ID != r.PathValue("id") || !Verify(a.cfg.PlanKey, sp) {
		writeError(w, http.StatusBadRequest, Problem{Code: CodeBadPlan, Message: "the plan's signature or id doesn't match; make a new plan"})
		return
	}
	rev, err := a.cfg.Keeper.Confirm(r.Context(), sp.Plan)
	var conflict *intent.ConflictError
	if errors.As(err, &conflict) {
		a.writeConflict(w, r, op, sp.Plan, conflict)
		return
	}
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, ConfirmResult{PlanID: rev.PlanID, Revision: rev.N})
}

// writeConflict refuses a plan and offers a new one for the same changes; placements
// that were derived from the old base revision are derived again.
func (a *API) writeConflict(w http.ResponseWriter, r *http.Request, op Operator, old intent.Plan, c *intent.ConflictError) {
	p := Problem{Code: CodeConflict, Message: c.Error(), Conflicts: c.Conflicts}
	offer, err := a.createPlan(r, op, intent.Intents{Changes: old.Requested(), Force: old.Force})
	if err == nil {
		p.NewPlan = &offer
	}
	writeError(w, http.StatusConflict, p)
}
