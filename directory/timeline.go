package directory

import "time"

const (
	bucketWidth  = 100 * time.Millisecond
	bucketCount  = 64
	timelineSpan = bucketCount * bucketWidth
)

// timeline records, for the last seconds, the number of requests of this router that
// started minus the number that ended in each tenth of a second. With it, a late report
// is corrected for the requests that started and ended after the report was made.
type timeline struct {
	netChange [bucketCount]int32 // net change in thousandths of a request
	stamp     [bucketCount]uint32
}

func bucketOf(t time.Time) uint32 { return uint32(t.UnixMilli() / bucketWidth.Milliseconds()) }

func (l *timeline) add(now time.Time, units int64) {
	n := bucketOf(now)
	i := n % bucketCount
	if l.stamp[i] != n {
		l.stamp[i], l.netChange[i] = n, 0
	}
	l.netChange[i] += int32(units)
}

// changeSince returns the net change after t, in thousandths of a request. It counts
// whole buckets, and leaves out the bucket that contains t.
func (l *timeline) changeSince(t time.Time) float64 {
	from := bucketOf(t)
	var sum int64
	for i := range l.netChange {
		if l.stamp[i] > from {
			sum += int64(l.netChange[i])
		}
	}
	return float64(sum)
}
