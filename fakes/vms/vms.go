// Package vms is a fake of the platform's VM list. It uses the HTTP service-discovery format
// of Prometheus, and shows changes only after a lag.
package vms

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fakes/fault"
)

// Error is the class of this package's errors.
var Error = errs.Class("fake VM list")

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Entry is one entry of the list: a backend server or a router.
type Entry struct {
	ID            string `json:"id"` // backend id or node id
	VM            string `json:"vm"`
	Role          string `json:"role"` // "engine", "service" or "entry"
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Service       string `json:"service"`
	ChecksFence   bool   `json:"checks_fence"`
	Leaving       bool   `json:"leaving"`
}

type target struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (e Entry) target() target {
	state := stateLive
	if e.Leaving {
		state = stateLeaving
	}
	return target{
		Targets: []string{e.Addr},
		Labels: map[string]string{
			"__meta_vm_id":          e.VM,
			"__meta_role":           e.Role,
			"__meta_backend_id":     e.ID,
			"__meta_failure_domain": e.FailureDomain,
			"__meta_state":          state,
			"__meta_service":        e.Service,
			"__meta_checks_fence":   strconv.FormatBool(e.ChecksFence),
		},
	}
}

// version holds the entries that the list has from a point in time until the next version.
type version struct {
	since   time.Time
	entries []Entry
}

// List is the fake of the VM list.
type List struct {
	server *fault.Server

	mu        sync.Mutex
	lag       time.Duration
	versions  []version // oldest first; never empty
	truncated bool      // only the first maxShown entries are shown
	maxShown  int
	calls     int
}

// New prepares an empty list at addr that shows changes only after lag.
func New(addr string, lag time.Duration) *List {
	l := &List{lag: lag, versions: make([]version, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.serveList)
	l.server = fault.NewServer(addr, mux)
	return l
}

// ID returns the list's name at the control listener.
func (l *List) ID() string { return "vms" }

// Addr returns the address of the list.
func (l *List) Addr() string { return l.server.Addr() }

// Start starts the service.
func (l *List) Start() error { return Error.Wrap(l.server.Start()) }

// Close stops the service.
func (l *List) Close() { l.server.Kill() }

// Seed sets the initial entries, which are shown at once.
func (l *List) Seed(entries []Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range entries {
		if entries[i].VM == "" {
			entries[i].VM = entries[i].ID
		}
	}
	l.versions = []version{{entries: entries}}
}

// Fault turns a switch: leave {vm,on}, add {an Entry}, remove {vm}, lag {ms}, show {n,on},
// which limits the list to its first n entries, and the switches of fault.Server.Apply.
func (l *List) Fault(name string, raw json.RawMessage) error {
	if name == "add" {
		return l.add(raw)
	}
	var args fault.Args
	if err := fault.Decode(raw, &args); err != nil {
		return err
	}
	switch name {
	case "leave":
		return l.change(args.VM, func(e []Entry, i int) []Entry {
			e[i].Leaving = args.Enabled()
			return e
		})
	case "remove":
		return l.change(args.VM, func(e []Entry, i int) []Entry { return slices.Delete(e, i, i+1) })
	case "lag":
		l.setLag(args.Duration())
		return nil
	case "show":
		l.setMaxShown(args.Enabled(), args.N)
		return nil
	}
	return l.server.Apply(name, args)
}

func (l *List) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

func (l *List) setMaxShown(on bool, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truncated, l.maxShown = on, n
}

// Calls returns how often the list has been read.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *List) add(raw json.RawMessage) error {
	var e Entry
	if err := fault.Decode(raw, &e); err != nil {
		return err
	}
	if e.ID == "" || e.Addr == "" {
		return fault.ErrArgs
	}
	if e.VM == "" {
		e.VM = e.ID
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(append(l.latest(), e))
	return nil
}

// change applies f to every entry of the VM, from the last to the first, so that f can
// delete an entry without shifting the entries to which it is applied next.
func (l *List) change(vm string, f func([]Entry, int) []Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := l.latest()
	found := false
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].VM == vm {
			entries = f(entries, i)
			found = true
		}
	}
	if !found {
		return fault.ErrArgs
	}
	l.addVersion(entries)
	return nil
}

// latest returns a copy of the latest entries, so that changes don't affect older versions.
func (l *List) latest() []Entry { return slices.Clone(l.versions[len(l.versions)-1].entries) }

func (l *List) addVersion(entries []Entry) {
	l.versions = append(l.versions, version{time.Now(), entries})
}

// visible counts a call and returns the entries of the latest version that is at least as old as
// the lag.
func (l *List) visible(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	entries := l.versions[0].entries
	for _, v := range slices.Backward(l.versions) {
		if now.Sub(v.since) >= l.lag {
			entries = v.entries
			break
		}
	}
	if l.truncated {
		return entries[:min(max(l.maxShown, 0), len(entries))]
	}
	return entries
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	targets := []target{}
	for _, e := range l.visible(time.Now()) {
		targets = append(targets, e.target())
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(targets)
}
