package quarantine

import "time"

// FloodNews is the kind of the messages in which routers broadcast updates.
const FloodNews = "quarantine.news"

// News is what routers broadcast about suspected requests. Each part can be applied more than
// once, and in any order.
type News struct {
	Crashes  []CrashNews  `cbor:"1,keyasint,omitempty"`
	Held     []HeldNews   `cbor:"2,keyasint,omitempty"`
	Answered []AnswerNews `cbor:"3,keyasint,omitempty"`
	Lifted   []Digest     `cbor:"4,keyasint,omitempty"`
	Ended    []EndNews    `cbor:"5,keyasint,omitempty"`
}

// CrashNews reports that a backend server exited on its own under a request.
type CrashNews struct {
	Digest   Digest `cbor:"1,keyasint"`
	Account  string `cbor:"2,keyasint"`
	Lifetime string `cbor:"3,keyasint"`
	AgeMS    int64  `cbor:"4,keyasint"`
	Try      uint64 `cbor:"5,keyasint"`
	RanMS    int64  `cbor:"6,keyasint"` // since the request was sent there
}

// EndNews reports that a backend server exited on its own.
type EndNews struct {
	Lifetime string `cbor:"1,keyasint"`
	AgeMS    int64  `cbor:"2,keyasint"`
}

// HeldNews reports that a request is quarantined.
type HeldNews struct {
	Digest  Digest `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint"`
	LeftMS  int64  `cbor:"3,keyasint"`
}

// AnswerNews reports that a suspected request was answered.
type AnswerNews struct {
	Digest Digest `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
}

func (n *News) size() int {
	return len(n.Crashes) + len(n.Held) + len(n.Answered) + len(n.Lifted) + len(n.Ended)
}

func (n *News) add(m News) {
	n.Crashes = append(n.Crashes, m.Crashes...)
	n.Held = append(n.Held, m.Held...)
	n.Answered = append(n.Answered, m.Answered...)
	n.Lifted = append(n.Lifted, m.Lifted...)
	n.Ended = append(n.Ended, m.Ended...)
}

const (
	// sendDelay lets updates that arise together go out in one message.
	sendDelay = 2 * time.Millisecond
	// sendBurst messages of one router go out at once, and after that one each sendInterval: a
	// replica set that crashes under many requests must not saturate the connections of all
	// routers.
	sendBurst    = 8
	sendInterval = 100 * time.Millisecond
	// maxPending bounds the updates that wait for their message. Updates beyond it are
	// dropped: a router that misses one receives the report of the next crash.
	maxPending = 256
)

// outbox batches updates, so that many that arise at once cost few messages. The caller holds
// a lock around put and take.
type outbox struct {
	pending News
	armed   bool
	// nextFree is when the next message may go out if the burst is used up: each message moves
	// it later by sendInterval.
	nextFree time.Duration
}

// put adds an update. If arm is true the caller must call take after wait. kept is false if the
// update was dropped.
func (o *outbox) put(n News, now time.Duration) (wait time.Duration, arm, kept bool) {
	if o.pending.size()+n.size() > maxPending {
		return 0, false, false
	}
	o.pending.add(n)
	if o.armed {
		return 0, false, true
	}
	o.armed = true
	o.nextFree = max(o.nextFree, now-sendBurst*sendInterval)
	return max(sendDelay, o.nextFree-now), true, true
}

func (o *outbox) take() News {
	n := o.pending
	o.pending, o.armed = News{}, false
	o.nextFree += sendInterval
	return n
}
