package daemon

import (
	"testing"
	"time"

	"wigeondale/event"
	"wigeondale/fakes/bubble"
	"wigeondale/intent"
)

// A leaving router must keep accepting requests for the notice period after its readiness
// fails, or callers that the balancer still sends there are refused. A later plan may
// cancel the leaving. But a VM that the list showed as leaving stays so, even if the
// lagging list shows it as live later: otherwise a VM that was given back to the platform
// takes work again.
func TestDrainGivesNotice(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const notice = 5 * time.Second
		d := &drain{vm: "vm1", notice: notice, log: event.New("n1")}
		expect := func(leaving, closed bool) {
			t.Helper()
			if d.leaving() != leaving || d.noticeOver(time.Now()) != closed {
				t.Fatalf("leaving %v, closed %v; want %v, %v", d.leaving(), d.noticeOver(time.Now()), leaving, closed)
			}
		}
		list := func(leaving bool) { d.setListed([]intent.EntryVM{{VM: "vm2"}, {VM: "vm1", Leaving: leaving}}) }
		list(false)
		expect(false, false)
		d.setPlanned(true)
		expect(true, false)
		time.Sleep(notice - time.Nanosecond)
		d.setPlanned(true) // repeated by the next revision
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
