package quarantine

import "time"

// FloodUpdate is the kind of the messages in which routers tell News.
const FloodUpdate = "quarantine.news"

// Update is what routers tell each other of suspected requests. Each part can be taken in
// more than once, and in any order.
type Update struct {
	Crashes []CrashUpdate  `cbor:"1,keyasint,omitempty"`
	Holds   []HoldUpdate   `cbor:"2,keyasint,omitempty"`
	Answers []AnswerUpdate `cbor:"3,keyasint,omitempty"`
	Lifted  []Digest       `cbor:"4,keyasint,omitempty"`
	Exits   []ExitUpdate   `cbor:"5,keyasint,omitempty"`
}

// CrashUpdate tells that a backend server ended alone under a request.
type CrashUpdate struct {
	Digest      Digest `cbor:"1,keyasint"`
	Account     string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	AgeMS       int64  `cbor:"4,keyasint"`
	Submission  uint64 `cbor:"5,keyasint"`
	RanMS       int64  `cbor:"6,keyasint"` // since the request was sent there
}

// ExitUpdate tells that a backend server ended alone.
type ExitUpdate struct {
	Incarnation string `cbor:"1,keyasint"`
	AgeMS       int64  `cbor:"2,keyasint"`
}

// HoldUpdate tells that a request is held back.
type HoldUpdate struct {
	Digest      Digest `cbor:"1,keyasint"`
	Account     string `cbor:"2,keyasint"`
	RemainingMS int64  `cbor:"3,keyasint"`
}

// AnswerUpdate tells that a suspected request was answered.
type AnswerUpdate struct {
	Digest Digest `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
}

func (n *Update) size() int {
	return len(n.Crashes) + len(n.Holds) + len(n.Answers) + len(n.Lifted) + len(n.Exits)
}

func (n *Update) add(m Update) {
	n.Crashes = append(n.Crashes, m.Crashes...)
	n.Holds = append(n.Holds, m.Holds...)
	n.Answers = append(n.Answers, m.Answers...)
	n.Lifted = append(n.Lifted, m.Lifted...)
	n.Exits = append(n.Exits, m.Exits...)
}

const (
	// tellDelay gathers news that come together in one message.
	tellDelay = 2 * time.Millisecond
	// tellBurst messages of one router go out at once, and then one each tellPause: a replica
	// set that crashes under many requests must not fill the lines of all routers.
	tellBurst = 8
	tellPause = 100 * time.Millisecond
	// maxPending bounds the news that wait for their message. More are lost: whoever misses
	// one learns of the next crash.
	maxPending = 256
)

// outbox gathers news, so that many that come at once cost few messages. The caller holds
// a lock around put and take.
type outbox struct {
	pending Update
	armed   bool
	// free is when the next message may go out if the burst is used up: each message moves
	// it on by tellPause.
	free time.Duration
}

// put adds news. It returns how long to wait before take, false if nothing is to be done.
func (o *outbox) put(n Update, now time.Duration) (wait time.Duration, arm, kept bool) {
	if o.pending.size()+n.size() > maxPending {
		return 0, false, false
	}
	o.pending.add(n)
	if o.armed {
		return 0, false, true
	}
	o.armed = true
	o.free = max(o.free, now-tellBurst*tellPause)
	return max(tellDelay, o.free-now), true, true
}

func (o *outbox) take() Update {
	n := o.pending
	o.pending, o.armed = Update{}, false
	o.free += tellPause
	return n
}
