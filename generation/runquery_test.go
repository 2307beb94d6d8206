package generation

import "testing"

// A generation must not be started again elsewhere while its prompt is still being read, which
// can take long. The backend server is queried for the run, and lists only runs that have
// produced a chunk: a run that isn't listed must not be treated as one that doesn't exist.
func TestRunThatIsNotNamed(t *testing.T) {
	for name, c := range map[string]struct {
		report  RunReport
		mayHave bool
	}{
		"named":               {RunReport{Active: 2, ChunksMade: map[string]int{"q0": 1, "q1": 1}}, true},
		"nothing there":       {RunReport{}, false},
		"only others run":     {RunReport{Active: 1, ChunksMade: map[string]int{"q0": 1}}, false},
		"a prompt is read":    {RunReport{Active: 2, ChunksMade: map[string]int{"q0": 1}}, true},
		"a request is queued": {RunReport{Queued: 1, Active: 1, ChunksMade: map[string]int{"q0": 1}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.report.mayHave("q1"); got != c.mayHave {
				t.Errorf("may have the request: %v, want %v", got, c.mayHave)
			}
		})
	}
}
