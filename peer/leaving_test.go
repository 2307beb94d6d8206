package peer

import (
	"testing"
	"time"
)

// Guards against a member that has started again and stops once more, and that counts as leaving since its earlier stop.
func TestLeavingSinceIsOfTheIncarnation(t *testing.T) {
	m, err := New(Config{ID: "n0", Addr: "n0:1", FailureDomain: "d0"}, testKey, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	first, second := time.Now(), time.Now().Add(20*time.Second)
	m.table.merge(first, Record{ID: "n1", Addr: "n1:1", FailureDomain: "d0", Incarnation: 1, Version: 2, Leaving: true})
	m.table.merge(second, Record{ID: "n1", Addr: "n1:1", FailureDomain: "d0", Incarnation: 2, Version: 2, Leaving: true})
	if got := m.member(m.table.byID["n1"]).LeavingSince; !got.Equal(second) {
		t.Errorf("leaving since its first stop, %v before the second one", second.Sub(got))
	}
}
