package daemon

import (
	"testing"
	"time"

	"wigeondale/settings"
)

// Each setting of the policy must reach the failure detector. A setting that is checked
// but not passed on has no effect, and the operator does not notice.
func TestPolicyReachesTheDetector(t *testing.T) {
	got := policyOf(settings.Policy{
		ResumeLatencyWeight: 2, ExtraWorkWeight: 3, MinSuspectMS: 4, MaxSuspectMS: 5,
		FailuresPerHour: 6, TailExponent: 7, PrefillBytesPerSecond: 8, FixedTimeoutMS: 9,
	})
	if got.ResumeLatencyWeight != 2 || got.ExtraWorkWeight != 3 ||
		got.MinSilence != 4*time.Millisecond || got.MaxSilence != 5*time.Millisecond ||
		got.FailuresPerHour != 6 || got.TailExponent != 7 ||
		got.PrefillBytesPerSecond != 8 || got.FixedTimeout != 9*time.Millisecond {
		t.Errorf("got %+v", got)
	}
}
