package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopGrace is the time from the signal to end to the platform's kill with Config.Stops.
	stopGrace = 2500 * time.Millisecond
	// stopWork is the longest work of a plain service on a request then, while it isn't slow.
	stopWork = 2 * time.Second
	// openEnd is how long before the kill a router ends what is still open (docs/design/stopping.md).
	openEnd = 550 * time.Millisecond
)

// stopRecord holds the requests that ended without a whole answer, and how the processes ended.
type stopRecord struct {
	mu sync.Mutex
	// stops are the planned stops and harmed the incarnations that were killed or paused, by incarnation.
	stops  map[string]*plannedStop
	harmed map[string]bool
	harms  timeline // of anyRouter: kills and pauses
	ended  []result
}

// anyRouter stands for all routers in a timeline.
const anyRouter = "any router"

// plannedStop is the stop of one process.
type plannedStop struct {
	log        processLog
	signalled  time.Time
	begunOnce  sync.Once
	begunSince time.Time
}

// processLog is what one process wrote to a router's log.
type processLog struct {
	path string
	pid  int
}

// harm records that a router is killed or paused, until the returned function is called.
func (s *stopRecord) harm() (end func()) { return s.harms.begin(anyRouter) }

// graceEnded reports whether the grace of a router ended between two moments, so that what was passed on to it before its signal may have
// been cut.
func (s *stopRecord) graceEnded(from, to time.Time) bool {
	for _, stop := range s.stops {
		if end := stop.cutsFrom(); end.After(from) && end.Before(to) {
			return true
		}
	}
	return false
}

// cutsFrom returns from when on the process may cut what it got before its signal.
func (p *plannedStop) cutsFrom() time.Time { return p.signalled.Add(stopGrace - openEnd) }

// signalled records a signal to an incarnation of a router.
func (s *stopRecord) signalled(incarnation string, sig syscall.Signal, log processLog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stops == nil {
		s.stops, s.harmed = map[string]*plannedStop{}, map[string]bool{}
	}
	switch sig {
	case syscall.SIGTERM:
		if s.stops[incarnation] == nil {
			s.stops[incarnation] = &plannedStop{log: log, signalled: time.Now()}
		}
	case syscall.SIGKILL, syscall.SIGSTOP:
		s.harmed[incarnation] = true
	}
}

// wasHarmed reports whether an incarnation of a router was killed or paused.
func (s *stopRecord) wasHarmed(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.harmed[incarnation]
}

// add keeps a result for check if its client got no whole answer, or 502.
func (s *stopRecord) add(r result) {
	if r.abandoned || r.err == nil && r.status != http.StatusBadGateway {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, r)
}

// begun returns when the process had begun to stop, by its log; zero if it hasn't logged that.
func (p *plannedStop) begun() time.Time {
	p.begunOnce.Do(func() { p.begunSince = p.log.timeOf(`"shutdown-begun"`) })
	return p.begunSince
}

// timeOf returns the time of the first line of the process with an event; zero if there is none.
func (l processLog) timeOf(event string) time.Time {
	f, err := os.Open(l.path)
	if err != nil {
		return time.Time{}
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || fields[2] != fmt.Sprint(l.pid) || fields[4] != event {
			continue
		}
		at, err := time.ParseInLocation("20060102 15:04:05.999999", fmt.Sprint(time.Now().Year(), fields[0][1:], " ", fields[1]), time.Local)
		if err != nil {
			return time.Time{}
		}
		return at
	}
	return time.Time{}
}

// brokenStop returns the promise that a result breaks which ran at replicas through a router in a planned stop, or "".
func (c *checks) brokenStop(r *result, stop *plannedStop, visits []visit) string {
	if r.status == 0 && r.duration < maxAnswerTime {
		return "a request that runs in a planned stop gets an answer"
	}
	from, to := r.startedAt, r.startedAt.Add(r.duration)
	if r.duration >= r.timeLimit() || to.Before(stop.signalled) || c.excused(r, from, to, visits) {
		return ""
	}
	if begun := stop.begun(); !begun.IsZero() && from.After(begun) {
		return "a request that begins in a planned stop ends before it"
	}
	if to.Before(stop.cutsFrom()) && (r.err != nil || !c.stops.graceEnded(from, to)) {
		return "a request that is open in a planned stop may go on until its end"
	}
	return ""
}

// excused reports whether the trouble of a replica, or of a router that may have got the request from another one, explains an end.
func (c *checks) excused(r *result, from, to time.Time, visits []visit) bool {
	if r.err == nil && c.stops.harms.overlaps(anyRouter, from, to) {
		return true
	}
	for _, v := range visits {
		if c.ends.trouble.overlaps(v.replica, from, to.Add(troubleDelay)) || c.ends.silences.overlaps(v.replica, from, to) {
			return true
		}
	}
	return false
}

// checkStops records a violation for each request that ran at a replica through a router in a planned stop and that got neither its
// whole answer nor a true failure. visits are the arrivals of all requests at replicas.
func (c *checks) checkStops(visits map[string][]visit) {
	c.stops.mu.Lock()
	defer c.stops.mu.Unlock()
	for _, r := range c.stops.ended {
		through := cmp.Or(r.through, r.connection, r.incarnation)
		stop := c.stops.stops[through]
		if stop == nil || c.stops.harmed[through] || !ran(visits[r.id]) {
			continue
		}
		if promise := c.brokenStop(&r, stop, visits[r.id]); promise != "" {
			c.violated(promise, r.id, fmt.Sprintf("%s through %s, %v after its signal: status %d, cut %v, %d bytes, after %v of %v", r.kind, through,
				r.startedAt.Sub(stop.signalled), r.status, r.err, len(r.body), r.duration, r.timeLimit()))
		}
	}
}

// ran reports whether a replica began to run a request.
func ran(visits []visit) bool {
	for _, v := range visits {
		if !v.refused {
			return true
		}
	}
	return false
}

// awaitField waits until the process has logged an event, and returns the value of one of its fields; false if it hasn't in time.
func (l processLog) awaitField(event, field string, limit time.Duration) (value string, ok bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		data, err := os.ReadFile(l.path)
		if err != nil {
			return "", false
		}
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) < 5 || fields[2] != fmt.Sprint(l.pid) || fields[4] != event || !strings.HasSuffix(line, "\n") {
				continue
			}
			_, value, _ := strings.Cut(line, " "+field+"=")
			if text, quoted := strings.CutPrefix(value, `"`); quoted {
				text, _, _ = strings.Cut(text, `"`)
				return `"` + text + `"`, true
			}
			value, _, _ = strings.Cut(value, " ")
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}
