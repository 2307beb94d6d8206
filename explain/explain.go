// Package explain sorts the requests of routers' logs by what became of them and why, so
// that whoever is on call sees in one table where service was lost.
//
// It reads the lines that a request's decisions left (events 14xx and 19xx) and needs
// nothing else: lines of other programs, and such as were cut, are counted and passed over.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("explain")

// Limits say when an answer is late.
type Limits struct {
	FirstChunk time.Duration // first piece of a stream, or a whole answer
	ChunkPause time.Duration // between two pieces
}

// Cause is one row: requests that ended in the same way for the same reason.
type Cause struct {
	Outcome string // in time, late, refused, failed, gone
	Reason  string
	Count   int
	Example string // id of the first one
}

// Report is what the logs tell.
type Report struct {
	Requests     int
	SkippedLines int // lines that are no events
	Causes       []Cause
}

// request is what was logged of one request until its end.
type request struct {
	waited bool
	lost   string // cause of the latest attempt that ended early
}

// maxLine bounds one line of a log.
const maxLine = 1 << 20

var (
	eventName = regexp.MustCompile(`\] "(?:[a-z]+: )?([a-z-]+)"`)
	field     = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Read sorts the requests of a log.
func Read(r io.Reader, limits Limits) (Report, error) {
	s := sorter{limits: limits, open: map[string]*request{}, rows: map[[2]string]*Cause{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		s.line(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return Report{}, Error.Wrap(err)
	}
	return s.report(), nil
}

type sorter struct {
	limits   Limits
	open     map[string]*request
	rows     map[[2]string]*Cause
	requests int
	unread   int
}

func (s *sorter) line(text string) {
	name := eventName.FindStringSubmatch(text)
	if name == nil {
		s.unread++
		return
	}
	f := fields(text)
	id := f["request"]
	if id == "" {
		return
	}
	switch name[1] {
	case "request-waits":
		s.of(id).waited = true
	case "attempt-lost":
		s.of(id).lost = f["cause"]
	case "relay-refused":
		s.add(id, "refused", f["reason"])
	case "relay-ended":
		outcome, reason := s.judge(s.of(id), f)
		s.add(id, outcome, reason)
		delete(s.open, id)
	}
}

func (s *sorter) of(id string) *request {
	r := s.open[id]
	if r == nil {
		r = &request{}
		s.open[id] = r
	}
	return r
}

// judge says how a request ended and why.
func (s *sorter) judge(r *request, f map[string]string) (outcome, reason string) {
	code := f["code"]
	switch {
	case f["outcome"] == "not-run":
		return "refused", code
	case code == "caller_gone":
		return "gone", "the client left, " + r.before(f)
	case f["outcome"] != "complete" && r.lost != "":
		return "failed", code + " after an attempt was lost: " + r.lost
	case f["outcome"] != "complete":
		return "failed", code + ", " + r.before(f)
	case millis(f["first_ms"]) > s.limits.FirstChunk:
		return "late", "first piece, " + r.before(f)
	case millis(f["pause_ms"]) > s.limits.ChunkPause:
		return "late", "pause, " + r.before(f)
	}
	return "in time", ""
}

// before names what the request had met when it ended.
func (r *request) before(f map[string]string) string {
	switch {
	case r.lost != "":
		return "an attempt was lost: " + r.lost
	case r.waited:
		return "it waited for an engine"
	case f["pieces"] == "0":
		return "no piece had come"
	}
	return "nothing was lost"
}

func (s *sorter) add(id, outcome, reason string) {
	s.requests++
	key := [2]string{outcome, reason}
	row := s.rows[key]
	if row == nil {
		row = &Cause{Outcome: outcome, Reason: reason, Example: id}
		s.rows[key] = row
	}
	row.Count++
}

func (s *sorter) report() Report {
	out := Report{Requests: s.requests, SkippedLines: s.unread}
	for _, row := range s.rows {
		out.Causes = append(out.Causes, *row)
	}
	slices.SortFunc(out.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

func fields(text string) map[string]string {
	out := map[string]string{}
	for _, m := range field.FindAllStringSubmatch(text, -1) {
		out[m[1]] = strings.Trim(m[2], `"`)
	}
	return out
}

// millis reads a count of milliseconds; a missing one is 0.
func millis(s string) time.Duration {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "REQUESTS\tOUTCOME\tREASON\tEXAMPLE\n")
	for _, c := range r.Causes {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", c.Count, c.Outcome, c.Reason, c.Example)
	}
	fmt.Fprintf(t, "%d\tall\t%d lines were no events\t\n", r.Requests, r.SkippedLines)
	return Error.Wrap(t.Flush())
}
