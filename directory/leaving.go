package directory

import "slices"

// mark records that an incarnation is leaving. Only a new incarnation clears the mark.
// The sources lag behind each other, so a message that shows the incarnation live may
// be older than the mark although it arrives later; if it cleared the mark, new work
// would be sent to an engine that is about to stop.
func (r *record) mark(incarnation string) {
	if slices.Contains(r.marks, incarnation) {
		return
	}
	r.marks = append(r.marks, incarnation)
	if len(r.marks) > maxMarks {
		r.marks = r.marks[1:]
	}
}

// markLeaving marks an incarnation as leaving; an empty incarnation means the current
// one. It returns true if the backend server was not leaving before and is leaving now.
func (r *record) markLeaving(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation == "" {
		incarnation = r.last.Incarnation
	}
	r.mark(incarnation)
	if r.last.Incarnation == "" {
		// The backend server has never sent a report, so its incarnation is unknown.
		// The mark "" makes it count as leaving until its first report.
		r.mark("")
	}
	return r.updateLeaving()
}

// setIntent sets whether the backend server's VM should leave by the configuration. It
// returns true if the backend server was not leaving before and is leaving now.
func (r *record) setIntent(leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intent = leaving
	return r.updateLeaving()
}

// marked reports whether the current incarnation is marked as leaving.
func (r *record) marked() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.marks, r.last.Incarnation)
}

// withdraw makes the backend server count as leaving until it is listed again.
func (r *record) withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = true
	r.updateLeaving()
}

// updateLeaving recomputes the flag leaving and returns true if the flag was not set
// before and is set now.
func (r *record) updateLeaving() bool {
	now := r.intent || r.withdrawn || r.backend.Leaving || slices.Contains(r.marks, r.last.Incarnation)
	was := r.leaving.Swap(now)
	return now && !was
}
