package directory

import "slices"

// mark remembers that an incarnation leaves. Only a new incarnation clears it:
// sources lag behind each other, so a later "live" may be the older news, and
// believing it would send new work to an engine about to go.
func (r *record) mark(incarnation string) {
	if slices.Contains(r.marks, incarnation) {
		return
	}
	r.marks = append(r.marks, incarnation)
	if len(r.marks) > keptMarks {
		r.marks = r.marks[1:]
	}
}

// markLeaving marks an incarnation, or the known one if empty; it returns true
// when the backend server was not leaving before and is now.
func (r *record) markLeaving(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation == "" {
		incarnation = r.last.Incarnation
	}
	r.mark(incarnation)
	if r.last.Incarnation == "" {
		// It never reported: any mark counts until an incarnation is known.
		r.mark("")
	}
	return r.settleLeaving()
}

// setIntent sets the level that the configuration asks for.
func (r *record) setIntent(leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intent = leaving
	return r.settleLeaving()
}

// settleLeaving works out the flag; it returns true when it rises.
func (r *record) settleLeaving() bool {
	now := r.intent || r.backend.Leaving || slices.Contains(r.marks, r.last.Incarnation)
	was := r.leaving.Swap(now)
	return now && !was
}
