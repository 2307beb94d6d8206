package backend

import (
	"strings"
	"testing"
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
