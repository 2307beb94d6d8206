package backend

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a limit that is misread: taken for none, for a limit that stops all requests, or applied although
// the answer states something else.
func TestLimitsOfAllForms(t *testing.T) {
	unclear := Statement{LimitUnclear: true}
	for _, c := range []struct {
		values []string
		want   Statement
	}{
		{nil, Statement{}},
		{[]string{"2.8"}, Statement{Limit: 2.8, HasLimit: true}},
		{[]string{" 0.05 "}, Statement{Limit: 0.05, HasLimit: true}},
		{[]string{"0"}, Statement{HasLimit: true}},
		{[]string{"1e300"}, Statement{Limit: 1e300, HasLimit: true}},
		{[]string{"3", "2"}, Statement{Limit: 2, HasLimit: true}},
		{[]string{"few", "2"}, Statement{Limit: 2, HasLimit: true}},
		{[]string{"2", "few"}, Statement{Limit: 2, HasLimit: true}},
		{[]string{""}, unclear},
		{[]string{"few"}, unclear},
		{[]string{"-1"}, unclear},
		{[]string{"NaN"}, unclear},
		{[]string{"Inf"}, unclear},
		{[]string{"1e999"}, unclear},
		{[]string{strings.Repeat("9", 10<<20)}, unclear},
	} {
		var s Statement
		s.ParseLimit(c.values)
		if s != c.want {
			t.Errorf("%.40q: got %+v, want %+v", c.values, s, c.want)
		}
	}
}

// Guards against a rest that is misread: not kept, or kept for hours because of a date or a huge number.
func TestRestsOfAllForms(t *testing.T) {
	now := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	for _, c := range []struct {
		retryAfter, date string
		want             time.Duration
	}{
		{"", "", 0},
		{"3", "", 3 * time.Second},
		{" 0.25 ", "", 250 * time.Millisecond},
		{"0", "", 0},
		{"-3", "", 0},
		{"soon", "", 0},
		{"NaN", "", 0},
		{"Inf", "", maxRestSeconds * time.Second},
		{"1e300", "", maxRestSeconds * time.Second},
		{date(4 * time.Second), "", 4 * time.Second},
		{date(4 * time.Second), date(-time.Hour), time.Hour + 4*time.Second},
		{date(-time.Minute), "", 0},
		{strings.Repeat("9", 1<<20), "", 0},
	} {
		var s Statement
		s.ParseRest(http.StatusServiceUnavailable, http.Header{"Retry-After": {c.retryAfter}, "Date": {c.date}}, now)
		if s.Rest != c.want {
			t.Errorf("%.40q at %q: got %v, want %v", c.retryAfter, c.date, s.Rest, c.want)
		}
	}
}
