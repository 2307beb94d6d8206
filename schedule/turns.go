package schedule

import (
	"slices"
	"time"
)

// Turns records when each priority was last served, and decides which priorities are lifted by ageing. The load for
// which it decides: more urgent requests than there is capacity for, so that without ageing the less urgent ones are
// never served.
type Turns struct {
	since [Priorities]time.Time // since when the priority has had waiting requests without a grant
	seen  [Priorities]time.Time // when a request of the priority last waited
}

const (
	// Window is the time in which each priority with waiting requests gets a grant, if there are enough grants.
	Window = 5 * time.Second
	// DueAfter is the time without a grant after which a priority is due. It is half of Window, since the grant follows
	// only when a slot is free, and other priorities may be due at the same time.
	DueAfter = Window / 2
)

// Observe records that a request of a priority waits.
func (t *Turns) Observe(priority int, now time.Time) {
	if now.Sub(t.seen[priority]) > DueAfter {
		t.since[priority] = now
	}
	t.seen[priority] = now
}

// Granted records that a request of a priority was served.
func (t *Turns) Granted(priority int, now time.Time) {
	t.since[priority], t.seen[priority] = now, now
}

// Due reports whether the next grant goes to a priority whatever waits in more urgent ones.
func (t *Turns) Due(priority int, now time.Time) bool {
	return now.Sub(t.seen[priority]) <= DueAfter && now.Sub(t.since[priority]) >= DueAfter
}

// LessUrgentWaited reports whether a request of a less urgent priority waited within Window.
func (t *Turns) LessUrgentWaited(priority int, now time.Time) bool {
	for p := priority + 1; p < Priorities; p++ {
		if !t.seen[p].IsZero() && now.Sub(t.seen[p]) <= Window {
			return true
		}
	}
	return false
}

// Until returns the time until a priority is due.
func (t *Turns) Until(priority int, now time.Time) time.Duration {
	return max(DueAfter-now.Sub(t.since[priority]), 0)
}

// due returns the priorities that are due, the one that was passed over for longest first.
func (t *Turns) due(now time.Time) []int {
	var out []int
	for p := range Priorities {
		if t.Due(p, now) {
			out = append(out, p)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return t.since[a].Compare(t.since[b]) })
	return out
}
