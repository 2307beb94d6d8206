package hosted

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ConfigKey is where the operator's configuration lies in the store.
const ConfigKey = "op/config"

// Host is the host of all routes of a Config.
const Host = "h.example"

// Route is one route of a Config: its prefix is its name.
type Route struct {
	Name     string
	Kind     string // streaming, idempotent or non_idempotent
	Service  string
	Attempts int
	Timeout  time.Duration
}

// Config is the operator's configuration, with one account that has all keys.
type Config struct {
	Version       int
	Account       string
	Keys          []string
	EngineService string // service whose replicas keep copies of each other's runs
	OtherService  string // service of the other replicas
	Routes        []Route
}

// PutConfig writes a configuration.
func (s *Store) PutConfig(c Config) {
	var routes []any
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": Host, "prefix": "/" + r.Name + "/", "route_type": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": 1500, "max_attempts": r.Attempts, "resumable": r.Kind == "streaming",
		})
	}
	s.PutJSON(ConfigKey, map[string]any{
		"version": c.Version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": c.EngineService, "health_path": HealthPath, "engine": map[string]any{"kv_capacity": KVCapacity, "backups": true, "moves": true}},
			map[string]any{"name": c.OtherService},
		},
		"tenants": []any{map[string]any{"name": c.Account, "api_keys": c.Keys}},
	})
}

// OrderRollout orders that a service moves to a version within some time.
func (s *Store) OrderRollout(service, version string, within time.Duration) {
	s.PutJSON(rolloutOrder+service, map[string]any{"service": service, "target": version, "duration_s": within.Seconds()})
}

// WithdrawRollout takes the order back.
func (s *Store) WithdrawRollout(service string) { s.Delete(rolloutOrder + service) }

// RolloutState is what the operator is told of a roll-out, empty before the first word.
func (s *Store) RolloutState(service string) (state, version string) {
	item, ok := s.Get("status/rollout/" + service)
	if !ok {
		return "", ""
	}
	var told struct{ State, Target string }
	if err := json.Unmarshal(item.Value, &told); err != nil {
		return err.Error(), ""
	}
	return told.State, told.Target
}

const rolloutOrder = "op/rollout/"

// Register writes the entry of a replica that serves, or leaves.
func (s *Store) Register(r *Replica, leaving bool) {
	state := "ready"
	if leaving {
		state = "draining"
	}
	s.PutJSON("servers/"+r.ID, r.Entry(state))
}

// Unregister removes the entry of a replica.
func (s *Store) Unregister(r *Replica) { s.Delete("servers/" + r.ID) }

// ClientRequest is one request as a client of the platform sends it.
type ClientRequest struct {
	Addr      string // of the node's front
	Path      string
	ID        string
	Key       string
	Budget    time.Duration
	LastChunk int // number of the last piece that the client has; 0 for none
	Prompt    string
	Body      string // empty for the usual one
}

// HTTPRequest makes the HTTP request, in a form that net/http never sends twice.
func (a ClientRequest) HTTPRequest() (*http.Request, error) {
	body := cmp.Or(a.Body, "q")
	req, err := http.NewRequest(http.MethodPost, "http://"+a.Addr+a.Path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Host = Host
	req.Header = http.Header{
		"X-Attempt-Id": {a.ID}, "X-Api-Key": {a.Key}, "X-Deadline-Ms": {strconv.FormatInt(a.Budget.Milliseconds(), 10)},
		"X-Token-Usage": {"100,280"}, "X-Prompt-Prefix": {a.Prompt},
	}
	if a.LastChunk > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(a.LastChunk))
	}
	return req, nil
}

// Account is what a replica was told of the client's account, and whether it was
// also given a key.
func (a *Arrival) Account() (name string, gotKey bool) {
	return a.Header.Get("X-Tenant-Id"), a.Header.Get("X-Api-Key") != ""
}

// CountRuns counts the requests that ran at some replicas.
func CountRuns(replicas []*Replica) (n int) {
	for _, r := range replicas {
		for _, a := range r.Arrivals() {
			if a.Ran {
				n++
			}
		}
	}
	return n
}

// FromCopy tells whether the run went on from a copy.
func (a *Arrival) FromCopy() bool { return a.Header.Get("Kv-From") != "" }
