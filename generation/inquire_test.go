package generation

import "testing"

// Symptom: a draft whose prompt is read for long is begun again elsewhere. Sequence: the
// backend server is asked about it, and names only runs that have made a piece. Cause:
// one that isn't named was taken for gone.
func TestRunThatIsNotNamed(t *testing.T) {
	for name, c := range map[string]struct {
		report  RunReport
		mayHave bool
	}{
		"named":                       {RunReport{Active: 2, ChunksMade: map[string]int{"q0": 1, "q1": 1}}, true},
		"nothing there":               {RunReport{}, false},
		"others run":                  {RunReport{Active: 1, ChunksMade: map[string]int{"q0": 1}}, false},
		"a prompt is read":            {RunReport{Active: 2, ChunksMade: map[string]int{"q0": 1}}, true},
		"somebody waits in the queue": {RunReport{Queued: 1, Active: 1, ChunksMade: map[string]int{"q0": 1}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.report.mayHave("q1"); got != c.mayHave {
				t.Errorf("may have it: %v, want %v", got, c.mayHave)
			}
		})
	}
}
