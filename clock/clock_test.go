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
	if d := DeadlineIn(time.Hour); d.Passed() || d.Remaining() > time.Hour || d.Remaining() < time.Hour-time.Minute {
		t.Errorf("an hour from now: %v left", d.Remaining())
	}
	if d := DeadlineIn(-time.Second); !d.Passed() || d.Remaining() > -time.Second {
		t.Errorf("a second ago: %v left", d.Remaining())
	}
}
