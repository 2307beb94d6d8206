package stopping

import (
	"testing"
	"time"
)

// Guards against refused callers that return to another router that stops, and against waits that avoid no such router.
func TestRefusedCallersReturnToARouterThatStays(t *testing.T) {
	const now, unused = 100 * time.Second, 102 * time.Second
	stays, leaves, gone := Router{Near: true}, Router{Near: true, Unused: 103 * time.Second}, Router{Near: true, Unused: 99 * time.Second}
	far, farLeaves := Router{}, Router{Unused: 104 * time.Second}
	for _, c := range []struct {
		name     string
		patience time.Duration
		others   []Router
		want     time.Duration
	}{
		{"nothing known of others", time.Minute, nil, 2 * time.Second},
		{"others stay", time.Minute, []Router{stays, stays}, minElsewhereAfter},
		{"another has left", time.Minute, []Router{stays, gone}, minElsewhereAfter},
		{"another leaves, too", time.Minute, []Router{stays, leaves}, 3 * time.Second},
		{"another leaves, few do, and the caller is in a hurry", time.Second, []Router{stays, stays, leaves}, minElsewhereAfter},
		{"another leaves, half do, and the caller is in a hurry", time.Second, []Router{stays, leaves}, 3 * time.Second},
		{"one of another failure domain leaves", time.Minute, []Router{stays, farLeaves}, minElsewhereAfter},
		{"none of the failure domain stays", time.Second, []Router{leaves, far}, 3 * time.Second},
		{"none of the failure domain stays, others leave", time.Second, []Router{far, farLeaves}, 4 * time.Second},
		{"alone in the failure domain", time.Second, []Router{far}, 2 * time.Second},
		{"alone in the failure domain, few others leave, and the caller is in a hurry", time.Second, []Router{far, far, farLeaves}, 2 * time.Second},
	} {
		if got := elsewhereAfter(now, unused, c.patience, c.others); got != c.want {
			t.Errorf("%s: after %v, want %v", c.name, got, c.want)
		}
	}
}
