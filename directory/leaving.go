package directory

import "slices"

// mark records that an incarnation is leaving. Only a new incarnation clears it:
// sources lag behind each other, so a "live" that arrives later may be older
// information, and trusting it would send new work to an engine that is about to stop.
func (r *record) mark(incarnation string) {
	if slices.Contains(r.marks, incarnation) {
		return
	}
	r.marks = append(r.marks, incarnation)
	if len(r.marks) > maxMarks {
		r.marks = r.marks[1:]
	}
}

// markLeaving marks an incarnation, or the current one if empty. It returns true when
// the backend server was not leaving before and now is.
func (r *record) markLeaving(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation == "" {
		incarnation = r.last.Incarnation
	}
	r.mark(incarnation)
	if r.last.Incarnation == "" {
		// It never reported: any mark counts until its incarnation is known.
		r.mark("")
	}
	return r.updateLeaving()
}

// setIntent sets whether the VM should leave by the configuration.
func (r *record) setIntent(leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intent = leaving
	return r.updateLeaving()
}

// updateLeaving recomputes the flag and returns true when it becomes set.
func (r *record) updateLeaving() bool {
	now := r.intent || r.backend.Leaving || slices.Contains(r.marks, r.last.Incarnation)
	was := r.leaving.Swap(now)
	return now && !was
}
