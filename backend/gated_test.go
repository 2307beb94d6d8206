package backend

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wigeondale/fleet"
)

// testGate withholds all requests if closed is set, and keeps what was stated last.
type testGate struct {
	closed bool
	stated Statement
}

func (g *testGate) Permit(fleet.Backend, Purpose, time.Time) error {
	if g.closed {
		return ErrWithheld
	}
	return nil
}

func (g *testGate) Observe(_ fleet.Backend, _, _ time.Time, s Statement) { g.stated = s }

// Guards against new work that is sent past the gate, and against statements in answers that are not read or that
// reach the caller of a service.
func TestNewWorkPassesTheGate(t *testing.T) {
	arrived := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived++
		echoID(w, r)
		w.Header().Set(limitHeader, "2.5")
		w.Header().Set(leavingHeader, "1")
		w.Header().Set("Retry-After", "3")
		w.Header().Set(incarnationHeader, "i1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	b := fleet.Backend{ID: "e1", Addr: strings.TrimPrefix(srv.URL, "http://")}
	gate := &testGate{closed: true}
	engines, services := NewClient(), NewServiceClient()
	defer engines.CloseIdle()
	defer services.CloseIdle()
	engines.Gate, services.Gate = gate, gate
	send := map[string]func() error{
		"engine": func() error {
			_, err := engines.Open(t.Context(), b, StartRequest{ID: "q", Attempt: 1})
			return err
		},
		"service": func() error {
			resp, err := services.Do(t.Context(), b, Call{Method: http.MethodPost, Path: "/book", RequestID: "q"})
			if err == nil {
				resp.Body.Close()
				if resp.Header.Get(limitHeader) != "" || resp.Header.Get(leavingHeader) != "" {
					t.Error("the caller of a service gets what the service asks of routers")
				}
			}
			return err
		},
	}
	for name, do := range send {
		gate.closed = true
		if err := do(); !errors.Is(err, ErrWithheld) || arrived != 0 {
			t.Errorf("%s: error %v, %d requests arrived through a closed gate", name, err, arrived)
		}
		gate.closed, gate.stated = false, Statement{}
		_ = do()
		want := Statement{Limit: 2.5, HasLimit: true, Leaving: true, Rest: 3 * time.Second, Incarnation: "i1"}
		if arrived != 1 || gate.stated != want {
			t.Errorf("%s: %d requests arrived, the gate was told %+v", name, arrived, gate.stated)
		}
		arrived = 0
	}
}
