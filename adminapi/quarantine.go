package adminapi

import (
	"net/http"

	"wigeondale/quarantine"
)

// LiftResult names a request or part whose quarantine was lifted.
type LiftResult struct {
	Digest string `json:"digest"`
}

// Quarantine lists the requests and the parts of prompts that are quarantined because backend servers crashed while
// they ran them, and lifts the quarantine of single ones.
type Quarantine interface {
	List() []quarantine.Report
	ListParts() []quarantine.PartReport
	// Lift ends the quarantine of a request or part on all routers. It reports whether it
	// was quarantined.
	Lift(d quarantine.Digest, by string) (wasQuarantined bool)
}

func (a *API) quarantined(w http.ResponseWriter, _ *http.Request, _ Operator) {
	writeJSON(w, http.StatusOK, a.cfg.Quarantine.List())
}

func (a *API) quarantinedParts(w http.ResponseWriter, _ *http.Request, _ Operator) {
	writeJSON(w, http.StatusOK, a.cfg.Quarantine.ListParts())
}

func (a *API) lift(w http.ResponseWriter, r *http.Request, op Operator) {
	d, err := quarantine.ParseDigest(r.PathValue("digest"))
	if err != nil {
		writeError(w, http.StatusBadRequest, Problem{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	if !a.cfg.Quarantine.Lift(d, op.Name) {
		writeError(w, http.StatusNotFound, Problem{Code: CodeNotFound, Message: "no such request or part is quarantined"})
		return
	}
	writeJSON(w, http.StatusOK, LiftResult{d.String()})
}
