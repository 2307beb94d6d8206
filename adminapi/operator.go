package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"wigeondale/event"
)

// Role is what an operator may do; each role includes the ones before it.
type Role int

// The roles.
const (
	Viewer    Role = iota + 1 // read
	Editor                    // make plans
	Confirmer                 // confirm plans
)

// ParseRole reads a role's name in the settings.
func ParseRole(s string) (Role, error) {
	switch s {
	case "viewer":
		return Viewer, nil
	case "editor":
		return Editor, nil
	case "confirmer":
		return Confirmer, nil
	}
	return 0, Error.New("role %q: want viewer, editor or confirmer", s)
}

// Operator is one who may call the API.
type Operator struct {
	Name      string
	TokenHash string // SHA-256 of the token, hex
	Role      Role
}

type handler func(http.ResponseWriter, *http.Request, Operator)

// allow lets in operators of at least the given role.
func (a *API) allow(least Role, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		op, ok := a.operator(r)
		if !ok {
			a.refuse(w, r, http.StatusUnauthorized, Problem{Code: CodeUnauthorized, Message: "a valid operator token is needed"})
			return
		}
		if op.Role < least {
			a.refuse(w, r, http.StatusForbidden, Problem{Code: CodeForbidden, Message: "the operator's role doesn't allow this"})
			return
		}
		h(w, r, op)
	})
}

// RequireRole lets operators of at least the given role through to another handler of
// the same listener, such as the state dump.
func (a *API) RequireRole(least Role, next http.Handler) http.Handler {
	return a.allow(least, func(w http.ResponseWriter, r *http.Request, _ Operator) { next.ServeHTTP(w, r) })
}

func (a *API) refuse(w http.ResponseWriter, r *http.Request, status int, p Problem) {
	a.refused.Inc()
	a.cfg.Events.Emit(event.OperatorRefused, "path", r.URL.Path, "code", p.Code, "remote", r.RemoteAddr)
	writeError(w, status, p)
}

// operator finds whose token a call carries. All are compared, each in constant
// time, so that the time taken tells nothing about the tokens.
func (a *API) operator(r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return Operator{}, false
	}
	sum := sha256.Sum256([]byte(token))
	var match Operator
	hit := false
	for _, op := range a.cfg.Operators {
		want, err := hex.DecodeString(op.TokenHash)
		if err == nil && subtle.ConstantTimeCompare(want, sum[:]) == 1 {
			match, hit = op, true
		}
	}
	return match, hit
}
