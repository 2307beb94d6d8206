package binding

import (
	"maps"
	"slices"
	"time"
)

// Statement is what the store states of the versions of a service. It is one item, which routers replace on condition
// that it is still the one they have read: a write that is applied late fails if another one came first.
type Statement struct {
	// Versions are those at which streams may begin, or may have begun within a stream's life.
	Versions []string `json:"versions"`
	// Sole states that each stream of the service that may still be taken up began at the one version named, or
	// has a record in the store.
	Sole bool `json:"sole,omitempty"`
	// Era is that of the store when the statement was made. Sole does not hold in a later era: a store that has come
	// back from a copy states what held when the copy was made.
	Era int64 `json:"era"`
}

// SoleVersion returns the version at which each stream without a record in the store began, and false if
// that isn't stated.
func (s Statement) SoleVersion(era int64) (string, bool) {
	if !s.Sole || len(s.Versions) != 1 || s.Era != era {
		return "", false
	}
	return s.Versions[0], true
}

// holds reports whether the statement names the versions at which streams may begin.
func (s Statement) holds(era int64) bool { return len(s.Versions) > 0 && s.Era == era }

// excludes reports whether no stream may begin at a version, since the statement doesn't name it.
func (s Statement) excludes(version string, era int64) bool {
	return s.holds(era) && !slices.Contains(s.Versions, version)
}

// namesOnly reports whether streams may have begun at one version only since the statement was made.
func (s Statement) namesOnly(version string) bool {
	return len(s.Versions) == 1 && s.Versions[0] == version
}

// SetStatement takes in what the store states of a service. The zero value means that it states nothing.
func (t *Tracker) SetStatement(service string, s Statement, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history(service, now).statement = s
}

// StoreReturned takes in that the store has come back from a copy, which may lack records of streams.
func (t *Tracker) StoreReturned() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.unstore()
}

// Excluded reports whether no stream may begin at a version until the store's statement names it.
func (t *Tracker) Excluded(service, version string) bool {
	era := t.cfg.StoreEra()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	return h != nil && h.statement.excludes(version, era)
}

// NextStatement returns the statement about a service that the store should have, and false if it has that already
// or this router doesn't know enough. The first statement about a service, and each that names one more version, is never a
// sole one: streams may begin at a version that is named before the statement is certain.
func (t *Tracker) NextStatement(service string, now time.Duration) (Statement, bool) {
	era := t.cfg.StoreEra()
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	if h == nil || len(h.listedNow) == 0 {
		return Statement{}, false
	}
	stated, keep := h.statement, t.cfg.Lifetime(service)
	switch sole, one := single(h.recent(now, keep)); {
	case h.lacksName(now), len(stated.Versions) > 0 && stated.Era != era:
		names := map[string]bool{}
		for _, v := range slices.Concat(stated.Versions, h.recent(now, keep)) {
			names[v] = names[v] || slices.Contains(stated.Versions, v) || !h.announced(v, now)
		}
		maps.DeleteFunc(names, func(_ string, named bool) bool { return !named })
		return Statement{Versions: slices.Sorted(maps.Keys(names)), Era: era}, true
	case !one || !t.provesSole(h, keep, now):
		return Statement{}, false
	default:
		before, already := stated.SoleVersion(era)
		return Statement{Versions: []string{sole}, Sole: true, Era: era}, !already || before != sole
	}
}

// lacksName reports whether the statement has to name one more of the listed versions.
func (h *history) lacksName(now time.Duration) bool {
	return slices.ContainsFunc(h.listedNow, func(v string) bool { return !slices.Contains(h.statement.Versions, v) && !h.announced(v, now) })
}

// announced reports whether a version was listed a short time ago, beside one that is named. It is named later: streams can't begin
// there yet, and until it is named streams without a record are known to be of the other version. Meanwhile the routers send the
// records of their streams to each other.
func (h *history) announced(version string, now time.Duration) bool {
	s, seen := h.seen[version]
	served := slices.ContainsFunc(h.listedNow, func(v string) bool { return slices.Contains(h.statement.Versions, v) })
	return seen && served && now-s.first < announceTime
}

// ReachedAll reports whether this router was connected with each other router for the time keep, or for a short time since the
// deployment's first start. A router out of reach may follow an older list or configuration.
func (t *Tracker) ReachedAll(keep, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstStart {
		keep = settleTime
	}
	return t.reachedAllFor(now) >= keep
}

// ReachedAllFor returns for how long this router has been connected with each other router.
func (t *Tracker) ReachedAllFor(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachedAllFor(now)
}

func (t *Tracker) reachedAllFor(now time.Duration) time.Duration {
	if t.wholeSince == notConnected {
		return -1
	}
	return now - t.wholeSince
}

// provesSole reports whether this router has followed a current list, and was connected with each other router, for as
// long as a stream lasts, or since the first start of the deployment. A router out of reach may begin streams at a version that
// is listed no more.
func (t *Tracker) provesSole(h *history, keep, now time.Duration) bool {
	if t.wholeSince == notConnected || h.currentSince == notConnected {
		return false
	}
	if h.sinceFirstStart {
		return now-t.wholeSince >= settleTime
	}
	return now-max(t.wholeSince, h.currentSince) >= keep
}
