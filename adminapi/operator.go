package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"wigeondale/event"
)

// Role is a set of permissions; each role includes the permissions of the roles listed
// before it.
type Role int

// The roles.
const (
	Viewer    Role = iota + 1 // read
	Editor                    // make plans
	Confirmer                 // confirm plans
)

// ParseRole parses the name of a role in the settings.
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

// Operator is a person or program that may call the API.
type Operator struct {
	Name      string
	TokenHash string // SHA-256 of the token, hex
	Role      Role
}

type operatorHandler func(http.ResponseWriter, *http.Request, Operator)

// allow calls h for operators with at least the given role and refuses all others.
func (a *API) allow(minRole Role, h operatorHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		op, ok := a.authenticate(r)
		if !ok {
			a.refuse(w, r, http.StatusUnauthorized, Problem{Code: CodeUnauthorized, Message: "a valid operator token is needed"})
			return
		}
		if op.Role < minRole {
			a.refuse(w, r, http.StatusForbidden, Problem{Code: CodeForbidden, Message: "the operator's role doesn't allow this"})
			return
		}
		h(w, r, op)
	})
}

// RequireRole protects another handler of the same listener, such as the state dump: only
// operators with at least the given role may use it.
func (a *API) RequireRole(minRole Role, next http.Handler) http.Handler {
	return a.allow(minRole, func(w http.ResponseWriter, r *http.Request, _ Operator) { next.ServeHTTP(w, r) })
}

func (a *API) refuse(w http.ResponseWriter, r *http.Request, status int, p Problem) {
	a.refused.Inc()
	a.cfg.Events.Emit(event.OperatorRefused, "path", r.URL.Path, "code", p.Code, "remote", r.RemoteAddr)
	writeError(w, status, p)
}

// authenticate returns the operator whose token the call carries. It compares the token
// with all operators, each in constant time, so that the time taken reveals nothing
// about the tokens.
func (a *API) authenticate(r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return Operator{}, false
	}
	sum := sha256.Sum256([]byte(token))
	var match Operator
	found := false
	for _, op := range a.cfg.Operators {
		want, err := hex.DecodeString(op.TokenHash)
		if err == nil && subtle.ConstantTimeCompare(want, sum[:]) == 1 {
			match, found = op, true
		}
	}
	return match, found
}
