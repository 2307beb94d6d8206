package clock

import (
	"testing"
	"time"
)

func TestDeadline(t *testing.T) {
	var none Deadline
	if !none.IsZero() || none.Passed() {
		t.Error("the zero deadline counts as set or passed")
	}
	if d := In(time.Hour); d.Passed() || d.Left() > time.Hour || d.Left() < time.Hour-time.Minute {
		t.Errorf("an hour from now: %v left", d.Left())
	}
	if d := In(-time.Second); !d.Passed() || d.Left() > -time.Second {
		t.Errorf("a second ago: %v left", d.Left())
	}
}
