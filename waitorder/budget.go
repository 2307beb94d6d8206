package waitorder

import "time"

// The load for which this decision is made: urgent requests start and stop to wait many times a
// second at 985 routers, and each such change would be sent over every link of the fleet. All
// control messages together may cost a router 3 KB/s, and other parts need half of that.
const (
	bytesPerSecond = 1500
	// maxBurst allows for some changes in quick succession, which are sent at once.
	maxBurst = 4 * time.Second
	// frameBytes is the size of a message without its entries: the envelope of a flood, with the
	// name of the sender, and the header of the WebSocket message.
	frameBytes = 60
	// minGap joins the changes of one moment in one message. It bounds the cost of processing, too.
	minGap = 10 * time.Millisecond
)

// budget limits the bytes that this router sends over its links. It is a token bucket in units of
// time: paidUntil is the time at which all messages sent so far will have been paid for.
type budget struct {
	paidUntil, last time.Time
}

// allows reports whether a message may be sent now. A message that costs more than the whole burst
// may be sent when nothing is owed.
func (b *budget) allows(now time.Time, cost time.Duration) bool {
	if now.Sub(b.last) < minGap {
		return false
	}
	owed := max(b.paidUntil.Sub(now), 0)
	return owed == 0 || owed+cost <= maxBurst
}

func (b *budget) spend(now time.Time, cost time.Duration) {
	if b.paidUntil.Before(now) {
		b.paidUntil = now
	}
	b.paidUntil, b.last = b.paidUntil.Add(cost), now
}

// costOf returns the time in which the budget yields the bytes of a message sent over some links.
func costOf(m *Message, links int) time.Duration {
	return time.Duration(m.Size()*links) * time.Second / bytesPerSecond
}

// Size returns the approximate size of the message on a link, in bytes.
func (m *Message) Size() int {
	n := frameBytes
	for i := range m.Entries {
		n += m.Entries[i].size()
	}
	return n
}
