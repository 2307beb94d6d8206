package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/event"
	"wigeondale/intent"
)

// Symptom: callers that the balancer still sends to a leaving router are turned
// away, or a VM that was given back to the platform takes work again.
// Sequence: a plan lets the VM leave, the balancer needs a while to notice, and
// the wish is taken back; then the VM list, which lags, says leaving and live.
// Cause: readiness and refusals that begin at the same moment; the list's later
// reading taken for the newer one.
func TestDrainGivesNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const notice = 5 * time.Second
		d := &drain{vm: "vm1", notice: notice, log: event.New("n1")}
		expect := func(leaving, closed bool) {
			t.Helper()
			if d.leaving() != leaving || d.closed(time.Now()) != closed {
				t.Fatalf("leaving %v, closed %v; want %v, %v", d.leaving(), d.closed(time.Now()), leaving, closed)
			}
		}
		list := func(leaving bool) { d.setListed([]intent.EntryVM{{VM: "vm2"}, {VM: "vm1", Leaving: leaving}}) }
		list(false)
		expect(false, false)
		d.setPlanned(true)
		expect(true, false)
		time.Sleep(notice - time.Nanosecond)
		d.setPlanned(true) // the next revision says it again
		expect(true, false)
		time.Sleep(time.Nanosecond)
		expect(true, true)
		d.setPlanned(false)
		expect(false, false)
		list(true)
		expect(true, false)
		list(false)
		time.Sleep(notice)
		expect(true, true)
	})
}
