package quarantine

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Crash is a backend server that ended alone while it ran a request.
type Crash struct {
	Incarnation string        // of the backend server
	At          time.Duration // on the clock of the Book
	SentAt      time.Duration // when the request was sent there
	Submission  uint64        // one try of a client, which is at one backend server after the other
	From        string        // router that told it, empty for this one
}

// suspect is one suspected request.
type suspect struct {
	digest            Digest
	account           string
	crashes           []Crash
	heldSince, heldTo time.Duration // 0 while it isn't held back
	pending           bool          // it is to be confirmed that it is held back
	cleared           bool          // it was held back, and then taken for a bystander
	touched           time.Duration
}

func (s *suspect) has(lifetime string) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Incarnation == lifetime })
}

// Report is one suspected request as operators see it.
type Report struct {
	Digest  string `json:"digest"`
	Account string `json:"account"`
	// HeldForMS is how much longer it is held back, 0 if it isn't.
	HeldForMS int64           `json:"held_for_ms"`
	Crashes   []ReportedCrash `json:"crashes"`
}

// ReportedCrash is one crash under it.
type ReportedCrash struct {
	Backend string `json:"backend"`
	AgeMS   int64  `json:"age_ms"`
	From    string `json:"from,omitempty"` // router that told it, empty for this one
}

// report is s as operators see it.
func (s *suspect) report(now time.Duration) Report {
	out := Report{Digest: s.digest.String(), Account: s.account, HeldForMS: max(s.heldTo-now, 0).Milliseconds()}
	for _, c := range s.crashes {
		out.Crashes = append(out.Crashes, ReportedCrash{c.Incarnation, (now - c.At).Milliseconds(), c.From})
	}
	return out
}

// String is for the log.
func (r *Report) String() string {
	var out []string
	for _, c := range r.Crashes {
		out = append(out, fmt.Sprintf("%s age_ms=%d from=%s", c.Backend, c.AgeMS, cmp.Or(c.From, "here")))
	}
	return strings.Join(out, "; ")
}

// weakest is the suspect with the least held against it, of those the oldest.
func (b *Tracker) weakest(now time.Duration, among func(*suspect) bool) *suspect {
	var least *suspect
	for _, s := range b.suspects {
		if among(s) && (least == nil || weaker(s, least, now)) {
			least = s
		}
	}
	return least
}

func weaker(a, b *suspect, now time.Duration) bool {
	held := func(s *suspect) int {
		if s.heldTo > now {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(held(a), held(b)),
		cmp.Compare(len(a.crashes), len(b.crashes)),
		cmp.Compare(a.touched, b.touched),
		bytes.Compare(a.digest[:], b.digest[:]),
	) < 0
}
