package settings_test

import (
	"errors"
	"testing"

	"wigeondale/settings"
)

// Invalid policy values must be rejected. Otherwise a node resumes streams at once or
// never, and no message says why.
func TestPolicyKnobsAreChecked(t *testing.T) {
	for path, setInvalid := range map[string]func(p *settings.Policy){
		"policy.failures_per_hour":        func(p *settings.Policy) { p.FailuresPerHour = 0 },
		"policy.tail_exponent":            func(p *settings.Policy) { p.TailExponent = -1 },
		"policy.prefill_bytes_per_second": func(p *settings.Policy) { p.PrefillBytesPerSecond = 0 },
		"policy.fixed_timeout_ms":         func(p *settings.Policy) { p.FixedTimeoutMS = -1 },
	} {
		s, err := settings.Parse([]byte(demo(t)))
		if err != nil {
			t.Fatal(err)
		}
		setInvalid(&s.Policy)
		var problems settings.Problems
		if !errors.As(s.Check(), &problems) || len(problems) != 1 || problems[0].Path != path {
			t.Errorf("%s: got %v", path, problems)
		}
	}
}
