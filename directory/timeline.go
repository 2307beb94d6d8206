package directory

import "time"

const (
	slotWidth    = 100 * time.Millisecond
	slots        = 64
	timelineSpan = slots * slotWidth
)

// timeline keeps, for the last seconds, how much own work began less how much
// ended in each tenth of a second. With it a late report is brought forward to
// the present.
type timeline struct {
	slot  [slots]int32 // net change in thousandths of a request
	stamp [slots]uint32
}

func slotOf(t time.Time) uint32 { return uint32(t.UnixMilli() / slotWidth.Milliseconds()) }

func (l *timeline) add(now time.Time, units int64) {
	n := slotOf(now)
	i := n % slots
	if l.stamp[i] != n {
		l.stamp[i], l.slot[i] = n, 0
	}
	l.slot[i] += int32(units)
}

// since is the net change after t, to the width of a slot.
func (l *timeline) since(t time.Time) float64 {
	from := slotOf(t)
	var sum int64
	for i := range l.slot {
		if l.stamp[i] > from {
			sum += int64(l.slot[i])
		}
	}
	return float64(sum)
}
