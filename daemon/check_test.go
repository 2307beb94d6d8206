package daemon

import (
	"strings"
	"testing"

	"wigeondale/settings"
)

// The --check flag must find errors that only the packages themselves can find, such as
// a misspelt routing step or a weight of 0. When these were only found at start, no
// router came up again after a roll-out of settings that had passed --check.
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
		err := checkSettings(set)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want %q", name, err, tc.want)
		}
	}
}
