package binding

import (
	"maps"
	"slices"
	"time"
)

// Report is what a router knows of one software version of a service, for state dumps and operators.
type Report struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Listed is the number of listed backend servers, and Leaving how many of them leave. FreeTokens is
	// the estimated room in the memory of the others, if they are model engines.
	Listed     int `json:"listed"`
	Leaving    int `json:"leaving"`
	FreeTokens int `json:"free_tokens"`
	// ListedMS is how long ago a backend server of the version was listed; -1 if this router has seen none.
	ListedMS int64 `json:"listed_ms_ago"`
	// MayBegin reports whether streams may begin at the version. Noted means that the store names it.
	MayBegin bool `json:"may_begin"`
	Noted    bool `json:"noted"`
	// Named means that the store's statement about the service names the version, and Sole that it is the only one.
	Named bool `json:"named"`
	Sole  bool `json:"sole"`
	// Own is the number of records of streams of this router's clients, and Kept of those of other routers.
	Own  int `json:"own_streams"`
	Kept int `json:"kept_records"`
}

// Reports returns a report on each recent version of each service.
func (t *Tracker) Reports(now time.Duration) []Report {
	era := t.cfg.StoreEra()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		h := t.services[service]
		for _, v := range h.recent(now, t.cfg.Lifetime(service)) {
			r := Report{Service: service, Version: v, ListedMS: -1, MayBegin: h.seen[v].established, Noted: h.stored[v]}
			if s, ok := h.seen[v]; ok {
				r.ListedMS = (now - s.last).Milliseconds()
			}
			sole, stated := h.statement.SoleVersion(era)
			r.Named, r.Sole = slices.Contains(h.statement.Versions, v), stated && sole == v
			r.Own, r.Kept = t.records.count(service, v)
			out = append(out, r)
		}
	}
	return out
}

// Evidence is what an inference of a stream's version, or its refusal, rests on, for logs.
type Evidence struct {
	Versions []string      // listed recently, or named by the store
	Followed time.Duration // how long this router has followed the list without a pause
	TickAge  time.Duration // since this router looked at the list and the time
	ListAge  time.Duration
}

// Evidence returns what this router knows of the versions of a service.
func (t *Tracker) Evidence(service string, now time.Duration) Evidence {
	e := Evidence{ListAge: t.cfg.CopyAge()}
	t.mu.Lock()
	defer t.mu.Unlock()
	e.TickAge = now - t.lastTick
	if h := t.services[service]; h != nil {
		e.Versions, e.Followed = h.recent(now, t.cfg.Lifetime(service)), now-h.coveredSince
	}
	return e
}

// count returns the numbers of own and other records of a version.
func (s *records) count(service, version string) (own, kept int) {
	for _, r := range s.byKey {
		switch {
		case r.Service != service || r.Version != version:
		case r.own:
			own++
		default:
			kept++
		}
	}
	return own, kept
}
