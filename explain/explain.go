// Package explain groups the requests in routers' logs by outcome and reason, so that an
// operator on call sees in one table where service was lost.
//
// It only needs the lines that routers log about their decisions on a request (events 14xx
// and 19xx). Lines of other programs and truncated lines are counted and skipped.
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

// Limits are the times after which an answer counts as late.
type Limits struct {
	FirstChunk time.Duration // time to the first chunk of a stream, or to a complete answer
	ChunkPause time.Duration // time between two chunks
}

// Cause is one row of a Report: the requests with the same outcome for the same reason.
type Cause struct {
	Outcome string // in time, late, refused, failed, or gone (the client disconnected)
	Reason  string
	Count   int
	Example string // id of the first of these requests
}

// Report is the result of reading a log.
type Report struct {
	Requests     int
	SkippedLines int // lines that are not events
	Causes       []Cause
}

// request collects what the log lines of one request say before the line that reports its
// end.
type request struct {
	waited    bool
	lostCause string // cause of the last attempt that ended early
}

// maxLine is the maximum length of one log line in bytes.
const maxLine = 1 << 20

var (
	eventName = regexp.MustCompile(`\] "(?:[a-z]+: )?([a-z-]+)"`)
	field     = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Read reads a log and groups its requests by outcome and reason. limits decide which
// answers are late.
func Read(r io.Reader, limits Limits) (Report, error) {
	s := logReader{limits: limits, requests: map[string]*request{}, rows: map[[2]string]*Cause{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		s.readLine(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return Report{}, Error.Wrap(err)
	}
	return s.report(), nil
}

type logReader struct {
	limits   Limits
	requests map[string]*request
	rows     map[[2]string]*Cause
	total    int
	skipped  int
}

func (s *logReader) readLine(text string) {
	name := eventName.FindStringSubmatch(text)
	if name == nil {
		s.skipped++
		return
	}
	f := fields(text)
	id := f["request"]
	if id == "" {
		return
	}
	switch name[1] {
	case "request-waits":
		s.request(id).waited = true
	case "attempt-lost":
		s.request(id).lostCause = f["cause"]
	case "relay-refused":
		s.add(id, "refused", f["reason"])
	case "relay-ended":
		outcome, reason := s.classify(s.request(id), f)
		s.add(id, outcome, reason)
		delete(s.requests, id)
	}
}

func (s *logReader) request(id string) *request {
	r := s.requests[id]
	if r == nil {
		r = &request{}
		s.requests[id] = r
	}
	return r
}

// classify returns the outcome of a request that has ended, and the reason.
func (s *logReader) classify(r *request, f map[string]string) (outcome, reason string) {
	code := f["code"]
	switch {
	case f["outcome"] == "not-run":
		return "refused", code
	case code == "caller_gone":
		return "gone", "the client left, " + r.describe(f)
	case f["outcome"] != "complete" && r.lostCause != "":
		return "failed", code + " after an attempt was lost: " + r.lostCause
	case f["outcome"] != "complete":
		return "failed", code + ", " + r.describe(f)
	case parseMillis(f["first_ms"]) > s.limits.FirstChunk:
		return "late", "first piece, " + r.describe(f)
	case parseMillis(f["pause_ms"]) > s.limits.ChunkPause:
		return "late", "pause, " + r.describe(f)
	}
	return "in time", ""
}

// describe describes what had happened to the request before it ended.
func (r *request) describe(f map[string]string) string {
	switch {
	case r.lostCause != "":
		return "an attempt was lost: " + r.lostCause
	case r.waited:
		return "it waited for an engine"
	case f["pieces"] == "0":
		return "no piece had come"
	}
	return "nothing was lost"
}

func (s *logReader) add(id, outcome, reason string) {
	s.total++
	key := [2]string{outcome, reason}
	row := s.rows[key]
	if row == nil {
		row = &Cause{Outcome: outcome, Reason: reason, Example: id}
		s.rows[key] = row
	}
	row.Count++
}

func (s *logReader) report() Report {
	out := Report{Requests: s.total, SkippedLines: s.skipped}
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

// parseMillis parses a number of milliseconds; a missing or malformed one is 0.
func parseMillis(s string) time.Duration {
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
