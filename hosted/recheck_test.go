package hosted

import (
	"fmt"
	"testing"
	"time"

	"wigeondale/health"
)

// Guards against a domain that is well and that routers avoid for a whole backoff, because its reports
// are not read or not reported to the other routers.
func TestDomainThatAnswersIsUsedByAllRouters(t *testing.T) {
	f := newFleet(t)
	f.startEngines(8, 3, time.Millisecond)
	nodes := f.startServingNodes(2)
	for i := range 16 {
		if status, _ := nodes[0].get("/draft/x", fmt.Sprint("q", i), key); status != 200 {
			t.Fatal(status)
		}
	}
	suspects := func() (count int) {
		for _, n := range nodes {
			for _, id := range n.dir.IDs() {
				if n.mon.State(id) == health.Suspect {
					count++
				}
			}
		}
		return count
	}
	time.Sleep(200 * time.Millisecond) // a report of a domain with recent activity is ignored
	begun := time.Now()
	nodes[0].mon.HandleDomainReport("elsewhere", "llm/d0")
	await(t, "the suspicion of four replicas at both nodes", func() bool { return suspects() == 8 })
	await(t, "the end of the suspicion", func() bool { return suspects() == 0 })
	backoff := policyOf(nodes[0].set.Hosted).MinBackoff
	if took := time.Since(begun); took > backoff-time.Second {
		t.Errorf("the domain is avoided for %v, its backoff is %v", took, backoff)
	}
}
