package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wigeondale/fleet"
)

// Purpose is why a request is sent to a backend server.
type Purpose uint8

const (
	// Work starts or continues the work of a client's request.
	Work Purpose = iota
	// RunQuery asks about work in progress.
	RunQuery
	// Optional is a request without which the work goes on.
	Optional
)

// Gate withholds requests from backend servers that ask for fewer.
type Gate interface {
	// Permit is called as the last step before the bytes of a request are sent. An error means
	// that the request must not be sent; it wraps ErrWithheld.
	Permit(b fleet.Backend, why Purpose, now time.Time) error
	// Observe is called with what the answer to a request that was sent at sentAt states.
	Observe(b fleet.Backend, sentAt, now time.Time, s Statement)
}

// Statement is what a backend server states about itself in an answer, whatever the answer's
// status.
type Statement struct {
	// Limit is the number of requests a second that it takes from all routers together, if
	// HasLimit is set.
	Limit    float64
	HasLimit bool
	// LimitUnclear means that the answer states a limit that can't be read.
	LimitUnclear bool
	// Leaving means that it takes no more work.
	Leaving bool
	// Rest is how long it wants no request of this router; 0 means that it asks for no rest.
	Rest time.Duration
	// Brittle is the number of requests that it may refuse within a second for want of room before
	// it fails, if HasBrittle is set.
	Brittle    float64
	HasBrittle bool
	// NoRoom means that it refused the request for want of room.
	NoRoom bool
	// Slots is the number of requests that it runs at once, if it says so.
	Slots int
	// Incarnation is the incarnation that states it, or "" if the answer does not say.
	Incarnation string
}

// Asks reports whether the backend server asks anything.
func (s *Statement) Asks() bool {
	return s.HasLimit || s.LimitUnclear || s.Leaving || s.Rest > 0 || s.HasBrittle
}

// maxLimitBytes limits the length of a limit's text.
const maxLimitBytes = 64

// ParseLimit sets the limit from the values of its header. Of several limits the lowest counts.
// A value that is not a number of 0 or more is unclear: neither a limit nor the absence of one.
func (s *Statement) ParseLimit(values []string) {
	for _, v := range values {
		limit, ok := parseLimit(strings.TrimSpace(v))
		switch {
		case !ok:
			s.LimitUnclear = !s.HasLimit
		case !s.HasLimit || limit < s.Limit:
			s.Limit, s.HasLimit, s.LimitUnclear = limit, true, false
		}
	}
}

// ParseBrittle sets Brittle from the values of its header. Of several values the lowest counts; one
// that can't be read counts as 0.
func (s *Statement) ParseBrittle(values []string) {
	for _, v := range values {
		n, ok := parseLimit(strings.TrimSpace(v))
		if !ok {
			n = 0
		}
		if !s.HasBrittle || n < s.Brittle {
			s.Brittle, s.HasBrittle = n, true
		}
	}
}

func parseLimit(v string) (float64, bool) {
	if len(v) > maxLimitBytes {
		return 0, false
	}
	limit, err := strconv.ParseFloat(v, 64)
	return limit, err == nil && limit >= 0 && !math.IsInf(limit, 0)
}

// maxRestSeconds is far above any rest that is kept, and far below what a time.Duration can hold.
const maxRestSeconds = 1e6

// ParseRest sets the rest from an answer with status 429 or 503: its Retry-After in seconds, which
// may have a fraction, or as a date. A date counts from the answer's own date, since clocks
// differ. A value that can't be read asks for no rest.
func (s *Statement) ParseRest(status int, h http.Header, now time.Time) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	v := strings.TrimSpace(h.Get("Retry-After"))
	if len(v) > maxLimitBytes {
		return
	}
	if seconds, err := strconv.ParseFloat(v, 64); err == nil {
		if seconds > 0 {
			s.Rest = time.Duration(min(seconds, maxRestSeconds) * float64(time.Second))
		}
		return
	}
	until, err := http.ParseTime(v)
	if err != nil {
		return
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		now = date
	}
	s.Rest = max(until.Sub(now), 0)
}
