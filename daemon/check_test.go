package daemon

import (
	"strings"
	"testing"

	"wigeondale/settings"
)

// Symptom: no router of the fleet comes up again after a rollout of settings
// that --check had found good.
// Sequence: a step of routing is misspelt, or a weight is 0; the settings parse.
// Cause: what only the parts themselves know was asked at the start alone.
func TestCheckAsksTheParts(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*settings.Settings)
		want   string
	}{
		"defaults":     {func(*settings.Settings) {}, ""},
		"unknown step": {func(s *settings.Settings) { s.Routing.Steps = []settings.Step{{Name: "servs"}} }, "routing.steps"},
		"weight of 0":  {func(s *settings.Settings) { s.Policy.ExtraWorkWeight = 0 }, "policy"},
		"equal bounds": {func(s *settings.Settings) { s.Policy.MinSuspectMS = s.Policy.MaxSuspectMS }, "policy"},
	} {
		set := settings.Default()
		tc.change(set)
		err := check(set)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want %q", name, err, tc.want)
		}
	}
}
