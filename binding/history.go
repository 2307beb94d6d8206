package binding

import (
	"slices"
	"time"
)

// history is what a router knows of the versions that a service has had.
//
// A version counts as long as a stream that began there may be taken up. A router that has started
// since, or was paused, did not see all of that time, and infers nothing from what it doesn't know of: it needs a
// record of the stream, or the store's statement.
type history struct {
	seen   map[string]seen
	stored map[string]bool
	// coveredSince is since when this router has seen all changes of the list.
	coveredSince time.Duration
	asOf         time.Duration // of the latest list
	listedNow    []string      // the versions on it
	// currentSince is since when the list was current at each tick, or notConnected. sinceFirstStart
	// means that it was so since before any stream of the deployment began.
	currentSince    time.Duration
	sinceFirstStart bool
	statement       Statement
}

// seen is when backend servers of a version were listed.
type seen struct {
	first, last time.Duration
	absentAt    time.Duration // when the version was not listed yet; never if that isn't known
	established bool          // all routers whose lists are current know the version
}

func newHistory(now time.Duration) *history {
	return &history{seen: map[string]seen{}, stored: map[string]bool{}, coveredSince: now, asOf: never, currentSince: notConnected}
}

// observe takes in the versions on a list that was current at asOf.
func (h *history) observe(versions []string, asOf, now time.Duration) {
	for _, v := range versions {
		s, ok := h.seen[v]
		if !ok {
			s.first, s.absentAt = now, h.asOf
		}
		s.last = now
		h.seen[v] = s
	}
	h.asOf, h.listedNow = max(h.asOf, asOf), versions
	if now-asOf > maxCopyAge {
		h.currentSince, h.sinceFirstStart = notConnected, false
	} else if h.currentSince == notConnected {
		h.currentSince = now
	}
}

func (h *history) setStored(version string, stored bool) {
	if stored {
		h.stored[version] = true
		return
	}
	delete(h.stored, version)
}

// listed returns the versions that were listed within keep.
func (h *history) listed(now, keep time.Duration) []string {
	var out []string
	for v, s := range h.seen {
		if now-s.last > keep {
			delete(h.seen, v)
			continue
		}
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}

// recent returns the versions that were listed within keep, and those that the store names.
func (h *history) recent(now, keep time.Duration) []string {
	out := h.listed(now, keep)
	for v := range h.stored {
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// several reports whether there is more than one recent version.
func (h *history) several(now, keep time.Duration) bool {
	if len(h.seen)+len(h.stored) < 2 {
		return false
	}
	return len(h.recent(now, keep)) > 1
}

// only returns the only recent version, and false if there is none or there are several.
func (h *history) only(now, keep time.Duration) (string, bool) {
	return single(h.recent(now, keep))
}

// onlyUnrecorded returns the only version at which a stream can have begun that has no record, and false if there
// may be several: no stream begins at a version without a record until settleTime after it was listed.
func (h *history) onlyUnrecorded(now, keep time.Duration) (string, bool) {
	return single(slices.DeleteFunc(h.recent(now, keep), func(v string) bool { return h.settling(v, now) }))
}

// beginnable returns the versions that were listed within keep, but those that are too new for streams.
func (h *history) beginnable(now, keep time.Duration) []string {
	return slices.DeleteFunc(h.listed(now, keep), func(v string) bool { return h.settling(v, now) })
}

// settling reports whether a version was absent less than settleTime ago.
func (h *history) settling(version string, now time.Duration) bool {
	s, known := h.seen[version]
	return known && now-s.absentAt < settleTime
}

func single(versions []string) (string, bool) {
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// establish marks the versions as established that were listed for settleTime, while this router was connected
// with others for as long, or that are the only ones.
func (h *history) establish(now, keep, connected time.Duration) {
	only, one := h.only(now, keep)
	for v, s := range h.seen {
		if one && v == only || now-s.first >= settleTime && connected >= settleTime {
			s.established = true
			h.seen[v] = s
		}
	}
}
