package adminapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"wigeondale/intent"
)

// Codes of problems.
const (
	CodeUnauthorized = "unauthorized"
	CodeForbidden    = "forbidden"
	CodeNotFound     = "not_found"
	CodeBadRequest   = "bad_request"
	CodeBadPlan      = "bad_plan"
	CodeConflict     = "conflict"
	CodeNotReady     = "not_ready"
	CodeUnavailable  = "unavailable" // the call changed nothing
	CodeUnsettled    = "unsettled"   // it is unknown whether the plan was accepted
	CodeInternal     = "internal"
)

// retryAfterMS is how many milliseconds a caller should wait before it repeats a call that
// failed because the service or the node was not ready.
const retryAfterMS = 1000

// Problem is the body of each refusal, under the key "error".
type Problem struct {
	Code         string            `json:"code"`
	Message      string            `json:"message"`
	RetryAfterMS int               `json:"retry_after_ms,omitempty"`
	Conflicts    []intent.Conflict `json:"conflicts,omitempty"`
	NewPlan      *SignedPlan       `json:"new_plan,omitempty"`
}

// ProblemBody is the JSON body that contains a Problem.
type ProblemBody struct {
	Error Problem `json:"error"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If writing fails, the caller has disconnected and can't receive an error.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, p Problem) {
	if p.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa((p.RetryAfterMS+999)/1000))
	}
	writeJSON(w, status, ProblemBody{Error: p})
}

func writeFailure(w http.ResponseWriter, err error) {
	p := Problem{Code: CodeInternal, Message: err.Error(), RetryAfterMS: retryAfterMS}
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, intent.ErrUnsettled):
		p.Code, status = CodeUnsettled, http.StatusGatewayTimeout
	case errors.Is(err, intent.ErrUnavailable):
		p.Code, status = CodeUnavailable, http.StatusServiceUnavailable
	case errors.Is(err, intent.ErrNotReady):
		p.Code, status = CodeNotReady, http.StatusServiceUnavailable
	}
	writeError(w, status, p)
}

// decode decodes a body strictly. If that fails it answers the call and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, Problem{Code: CodeBadRequest, Message: "body: " + err.Error()})
		return false
	}
	return true
}
