package hosted

import (
	"fmt"
	"testing"
	"time"

	"wigeondale/admission"
	"wigeondale/schedule"
)

// Guards against a dump or a summary for other routers that leaves out who waits, or grows with the number of client accounts.
func TestWaitingStateNamesWhoWaits(t *testing.T) {
	q := &queues{sharing: admission.ShareByAccount}
	now := time.Now()
	for i := range 50 {
		q.of("llm").waitQueue.Poll(schedule.Item{ID: fmt.Sprint(i), Stage: schedule.New, Priority: i % 2, Account: fmt.Sprint("a", i), Cost: 10}, now)
	}
	q.of("llm").waitQueue.Poll(schedule.Item{ID: "bad", Stage: schedule.New, Priority: 77, Account: "a0", Cost: 10}, now.Add(100*time.Millisecond))
	q.of("llm").waitQueue.RecordGrant("48", now.Add(200*time.Millisecond))
	s := q.state(now.Add(300 * time.Millisecond))
	want := []schedule.Waiting{
		{Service: "llm", Priority: 0, Count: 24, Oldest: 300 * time.Millisecond}, {Service: "llm", Priority: 1, Count: 25, Oldest: 300 * time.Millisecond},
		{Service: "llm", Priority: 5, Count: 1, Oldest: 200 * time.Millisecond},
	}
	if fmt.Sprint(s.Waiting) != fmt.Sprint(want) {
		t.Errorf("got %+v", s.Waiting)
	}
	if n := len(s.Accounts["llm"]); n != maxDumpAccounts {
		t.Errorf("%d accounts", n)
	}
}

// Guards against a less urgent request that leaves room where no more urgent one has arrived, or fills an engine further than an
// urgent one accepts.
func TestRoomIsLeftForWhatWasSeen(t *testing.T) {
	var u urgentRequests
	now := time.Now()
	less, urgent := newPickRequest("less", 5000), newPickRequest("urgent", 7000)
	less.Urgency, less.FirstChunkTarget = 2, 10*time.Second
	u.observe(less, now)
	if r := u.reserveOf(less, now); r != (reserve{}) || u.strictest(less, now) != 10*time.Second {
		t.Errorf("room is left for nobody: %+v", r)
	}
	u.observe(urgent, now)
	r := u.reserveOf(less, now)
	if r.prompt != 7000 || r.memory != 7500 || r.part < 1 || !r.at("e0") || u.strictest(less, now) != 4*time.Second {
		t.Errorf("left: %+v", r)
	}
	if r := u.reserveOf(urgent, now); r != (reserve{}) {
		t.Errorf("the urgent request leaves room: %+v", r)
	}
	for range 2000 {
		u.observe(less, now)
	}
	if r := u.reserveOf(less, now); r.part > 0.01 || r.at("e0") && r.at("e1") && r.at("e2") {
		t.Errorf("one request in 2,000 is urgent: %+v", r)
	}
	if r := u.reserveOf(less, now.Add(urgentMaxAge+time.Second)); r != (reserve{}) {
		t.Errorf("room is left for a request of long ago: %+v", r)
	}
}
