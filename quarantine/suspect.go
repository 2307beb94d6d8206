package quarantine

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Crash is the exit of a backend server on its own while it ran a request.
type Crash struct {
	Incarnation string        // of the backend server
	At          time.Duration // on the clock that is passed to the tracker
	SentAt      time.Duration // when the request was sent there
	Submission  uint64        // id of the client's submission, which may reach several backend servers
	From        string        // router that reported the crash, empty for this router
}

// suspect is one suspected request.
type suspect struct {
	digest               Digest
	account              string
	crashes              []Crash
	holdStart, holdUntil time.Duration // 0 while the request isn't quarantined
	pending              bool          // enough crashes are known, and Confirm is due
	cleared              bool          // the request was quarantined, and then found to be a bystander or lifted
	turns                []turn        // attempts in progress; see turn
	lastTurn             uint64        // submission whose attempt ended last
	turnEnded            time.Duration // when it ended
	updatedAt            time.Duration
	partial              bool // the first crashes are known from a case, and this router has not decided on them
}

func (s *suspect) crashedAt(incarnation string) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Incarnation == incarnation })
}

// mayBeCleared is the method of partSuspect for a request.
func (s *suspect) mayBeCleared(now time.Duration) bool {
	return s.holdUntil > now && len(s.crashes) >= minCrashes && !s.partial
}

// Report describes one suspected request to operators.
type Report struct {
	Digest  string `json:"digest"`
	Account string `json:"account"`
	// HeldForMS is how much longer the request is quarantined, 0 if it isn't.
	HeldForMS int64           `json:"held_for_ms"`
	Crashes   []ReportedCrash `json:"crashes"`
}

// ReportedCrash is one crash under the request of a Report.
type ReportedCrash struct {
	Backend string `json:"backend"`
	AgeMS   int64  `json:"age_ms"`
	From    string `json:"from,omitempty"` // router that reported the crash, empty for this router
}

// report returns the Report of s.
func (s *suspect) report(now time.Duration) Report {
	out := Report{Digest: s.digest.String(), Account: s.account, HeldForMS: max(s.holdUntil-now, 0).Milliseconds()}
	for _, c := range s.crashes {
		out.Crashes = append(out.Crashes, ReportedCrash{c.Incarnation, (now - c.At).Milliseconds(), c.From})
	}
	return out
}

// String formats the crashes of the report as text for the log.
func (r *Report) String() string {
	var out []string
	for _, c := range r.Crashes {
		out = append(out, fmt.Sprintf("%s age_ms=%d from=%s", c.Backend, c.AgeMS, cmp.Or(c.From, "here")))
	}
	return strings.Join(out, "; ")
}

// weakest returns the suspect with the least evidence against it. Of suspects with equal
// evidence it returns the one that was updated least recently.
func (t *Tracker) weakest(now time.Duration, among func(*suspect) bool) *suspect {
	var least *suspect
	for _, s := range t.suspects {
		if among(s) && (least == nil || weaker(s, least, now)) {
			least = s
		}
	}
	return least
}

func weaker(a, b *suspect, now time.Duration) bool {
	quarantined := func(s *suspect) int {
		if s.holdUntil > now {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(quarantined(a), quarantined(b)),
		cmp.Compare(len(a.crashes), len(b.crashes)),
		cmp.Compare(a.updatedAt, b.updatedAt),
		bytes.Compare(a.digest[:], b.digest[:]),
	) < 0
}
