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

// ConfigKey is the key of the operator's configuration in the store.
const ConfigKey = "op/config"

// Host is the host of all routes of a Config.
const Host = "h.example"

// Route is one route of a Config. Its path prefix is "/" + Name + "/".
type Route struct {
	Name     string
	Kind     string // streaming, idempotent or non_idempotent
	Service  string
	Split    []string // services that get equal parts of the requests, in place of Service
	Attempts int
	Timeout  time.Duration
}

// Config is the operator's configuration. Its single account has all API keys.
type Config struct {
	Version       int
	Account       string
	Keys          []string
	EngineService string   // service of the model engines, which keep copies of each other's runs
	MoreEngines   []string // further such services
	OtherService  string   // service of the replicas that are not model engines
	Routes        []Route
	MaxBody       int // bytes of a request's body; 0 for the routers' default
}

// PutConfig writes a configuration.
func (s *Store) PutConfig(c Config) {
	var routes []any
	for _, r := range c.Routes {
		var split []any
		for _, service := range r.Split {
			split = append(split, map[string]any{"service": service, "weight": 50})
		}
		routes = append(routes, map[string]any{
			"split": split,
			"name":  r.Name, "host": Host, "prefix": "/" + r.Name + "/", "route_type": r.Kind, "service": r.Service,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": 1500, "max_attempts": r.Attempts, "resumable": r.Kind == "streaming",
		})
	}
	services := []any{map[string]any{"name": c.OtherService}}
	for _, name := range append([]string{c.EngineService}, c.MoreEngines...) {
		services = append(services, map[string]any{"name": name, "health_path": HealthPath, "engine": map[string]any{"kv_capacity": KVCapacity, "backups": true, "moves": true}})
	}
	limits := map[string]any{}
	if c.MaxBody > 0 {
		limits["max_body_bytes"] = c.MaxBody
	}
	s.PutJSON(ConfigKey, map[string]any{
		"version":  c.Version,
		"limits":   limits,
		"routes":   routes,
		"services": services,
		"tenants":  []any{map[string]any{"name": c.Account, "api_keys": c.Keys}},
	})
}

// OrderRollout orders a roll-out that moves a service to a version within the given time.
func (s *Store) OrderRollout(service, version string, within time.Duration) {
	s.PutJSON(rolloutOrderPrefix+service, map[string]any{"service": service, "target": version, "duration_s": within.Seconds()})
}

// WithdrawRollout deletes the order of a roll-out.
func (s *Store) WithdrawRollout(service string) { s.Delete(rolloutOrderPrefix + service) }

// RolloutState returns the state and target version that the routers have published for a roll-out.
// Both are empty before the first report.
func (s *Store) RolloutState(service string) (state, version string) {
	item, ok := s.Get("status/rollout/" + service)
	if !ok {
		return "", ""
	}
	var status struct{ State, Target string }
	if err := json.Unmarshal(item.Value, &status); err != nil {
		return err.Error(), ""
	}
	return status.State, status.Target
}

const rolloutOrderPrefix = "op/rollout/"

// Register writes the entry of a replica: as draining if it is leaving, else as ready.
func (s *Store) Register(r *Replica, leaving bool) {
	state := "ready"
	if leaving {
		state = "draining"
	}
	s.PutJSON("servers/"+r.ID, r.Entry(state))
}

// Unregister removes the entry of a replica, as if the lease to which the entry is attached
// had expired.
func (s *Store) Unregister(r *Replica) { s.Delete("servers/" + r.ID) }

// ClientRequest describes one request as a client of the platform sends it.
type ClientRequest struct {
	Addr      string // of the router's front listener
	Path      string
	ID        string
	Key       string
	Budget    time.Duration
	LastChunk int    // number of the last chunk that the client has received; 0 for none
	BeganAs   string // id of the attempt that brought the client's first chunk; empty if none
	Prompt    string
	Body      string // empty for a default body
}

// HTTPRequest builds the HTTP request. Its body can't be read again, so that net/http never retries it.
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
	if a.BeganAs != "" {
		req.Header.Set("Resumes", a.BeganAs)
	}
	return req, nil
}

// Account returns the account name in the request that the replica received, and whether
// the request also contained an API key.
func (a *Arrival) Account() (name string, gotKey bool) {
	return a.Header.Get("X-Tenant-Id"), a.Header.Get("X-Api-Key") != ""
}

// CountRuns counts the requests that ran at the given replicas.
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

// CrashesReplica reports whether the request makes each replica crash that starts to run it.
func (a *Arrival) CrashesReplica() bool {
	return strings.Contains(a.Body, CrashMark) || a.HasCrashPart()
}

// HasCrashPart reports whether the prompt of the request contains CrashPart.
func (a *Arrival) HasCrashPart() bool {
	for part := range strings.SplitSeq(a.Header.Get("X-Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); id == CrashPart {
			return true
		}
	}
	return false
}

// FromCopy reports whether the run continued from a copy of an earlier run.
func (a *Arrival) FromCopy() bool { return a.Header.Get("Kv-From") != "" }
