package adminapi

import (
	"net/http"

	"wigeondale/quarantine"
)

// LiftResult names a request whose quarantine was lifted.
type LiftResult struct {
	Digest string `json:"digest"`
}

// Quarantine lists the requests that are quarantined because backend servers crashed while
// they ran them, and lifts the quarantine of single requests.
type Quarantine interface {
	List() []quarantine.Report
	// Lift ends the quarantine of a request on all routers. It reports whether the
	// request was quarantined.
	Lift(d quarantine.Digest, by string) (wasQuarantined bool)
}

func (a *API) quarantined(w http.ResponseWriter, _ *http.Request, _ Operator) {
	writeJSON(w, http.StatusOK, a.cfg.Quarantine.List())
}

func (a *API) lift(w http.ResponseWriter, r *http.Request, op Operator) {
	d, err := quarantine.ParseDigest(r.PathValue("digest"))
	if err != nil {
		writeError(w, http.StatusBadRequest, Problem{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	if !a.cfg.Quarantine.Lift(d, op.Name) {
		writeError(w, http.StatusNotFound, Problem{Code: CodeNotFound, Message: "no such request is held back"})
		return
	}
	writeJSON(w, http.StatusOK, LiftResult{d.String()})
}
