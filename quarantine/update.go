package quarantine

import "time"

// FloodUpdate is the kind of the flooded messages in which routers broadcast an Update.
const FloodUpdate = "quarantine.news"

// Update is what routers broadcast about suspected requests. Each part can be applied more than
// once, and in any order.
type Update struct {
	Crashes []CrashUpdate  `cbor:"1,keyasint,omitempty"`
	Holds   []HoldUpdate   `cbor:"2,keyasint,omitempty"`
	Answers []AnswerUpdate `cbor:"3,keyasint,omitempty"`
	Lifted  []Digest       `cbor:"4,keyasint,omitempty"`
	Exits   []ExitUpdate   `cbor:"5,keyasint,omitempty"`
	Turns   []TurnUpdate   `cbor:"6,keyasint,omitempty"`

	PartHolds   []PartHold         `cbor:"7,keyasint,omitempty"`
	PartAnswers []PartAnswerUpdate `cbor:"8,keyasint,omitempty"`
	PartsLifted []Digest           `cbor:"9,keyasint,omitempty"`
	// PartsAsked are parts that the sender is about to quarantine. A router that knows an answer to a
	// request with such a part replies.
	PartsAsked []Digest `cbor:"10,keyasint,omitempty"`
	// Informed is set in the reply to CallHolds by a router that knows what is quarantined. Routers of builds that
	// don't know the field never set it.
	Informed bool `cbor:"11,keyasint,omitempty"`
	// Evidence is set in the reply to CallHolds if the request asks for it.
	Evidence *Update `cbor:"12,keyasint,omitempty"`
}

// PartAnswerUpdate reports that a run with a part lasted for earlyWindow or was answered, and that its
// answer began AgeMS milliseconds before the update was made.
type PartAnswerUpdate struct {
	Digest Digest `cbor:"1,keyasint"`
	Model  string `cbor:"2,keyasint"`
	AgeMS  int64  `cbor:"3,keyasint"`
}

// TurnUpdate reports that an attempt of a suspected request, or a trial of a part, has begun or has ended.
type TurnUpdate struct {
	Digest     Digest `cbor:"1,keyasint"`
	Submission uint64 `cbor:"2,keyasint"`
	Ended      bool   `cbor:"3,keyasint,omitempty"`
}

// CrashUpdate reports that a backend server exited on its own while it ran a request, AgeMS
// milliseconds before the update was made.
type CrashUpdate struct {
	Digest      Digest `cbor:"1,keyasint"`
	Account     string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	AgeMS       int64  `cbor:"4,keyasint"`
	Submission  uint64 `cbor:"5,keyasint"`
	RanMS       int64  `cbor:"6,keyasint"` // since the request was sent there
	// Parts are the parts of the prompt that other requests may share; routers of builds that don't know
	// them state none.
	Parts []Digest `cbor:"7,keyasint,omitempty"`
	Model string   `cbor:"8,keyasint,omitempty"`
}

// ExitUpdate reports that a backend server exited on its own, AgeMS milliseconds before the
// update was made. The exit counts against no request.
type ExitUpdate struct {
	Incarnation string `cbor:"1,keyasint"`
	AgeMS       int64  `cbor:"2,keyasint"`
}

// HoldUpdate reports that a request is quarantined, for RemainingMS more milliseconds.
type HoldUpdate struct {
	Digest      Digest `cbor:"1,keyasint"`
	Account     string `cbor:"2,keyasint"`
	RemainingMS int64  `cbor:"3,keyasint"`
}

// AnswerUpdate reports that a suspected request was answered, AgeMS milliseconds before the
// update was made, so that earlier crashes no longer count against the request.
type AnswerUpdate struct {
	Digest Digest `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
}

// partsPerEntry is how many parts take about as much of a message as one entry.
const partsPerEntry = 8

// size returns the number of entries, as a measure of the length of the message.
func (n *Update) size() int {
	size := len(n.Crashes) + len(n.Holds) + len(n.Answers) + len(n.Lifted) + len(n.Exits) + len(n.Turns) +
		len(n.PartHolds) + len(n.PartAnswers) + len(n.PartsLifted) + len(n.PartsAsked)/partsPerEntry
	for i := range n.Crashes {
		size += len(n.Crashes[i].Parts) / partsPerEntry
	}
	for i := range n.PartHolds {
		size += len(n.PartHolds[i].Tied) / partsPerEntry
	}
	return size
}

func (n *Update) add(m Update) {
	n.Crashes = append(n.Crashes, m.Crashes...)
	n.Holds = append(n.Holds, m.Holds...)
	n.Answers = append(n.Answers, m.Answers...)
	n.Lifted = append(n.Lifted, m.Lifted...)
	n.Exits = append(n.Exits, m.Exits...)
	n.Turns = append(n.Turns, m.Turns...)
	n.PartHolds = append(n.PartHolds, m.PartHolds...)
	n.PartAnswers = append(n.PartAnswers, m.PartAnswers...)
	n.PartsLifted = append(n.PartsLifted, m.PartsLifted...)
	n.PartsAsked = append(n.PartsAsked, m.PartsAsked...)
}

const (
	// sendDelay is how long an update waits, so that updates that arise together go out in one
	// message.
	sendDelay = 2 * time.Millisecond
	// A router sends sendBurst messages without delay, and after that one message per
	// sendInterval: a replica set that crashes under many requests must not saturate the
	// connections of all routers.
	sendBurst    = 8
	sendInterval = 100 * time.Millisecond
	// maxPending is the largest number of updates that may wait for the next message. Further
	// updates are dropped. This does little harm: a router that misses the report of one crash
	// under a request still receives the reports of later crashes under the same request.
	maxPending = 256
)

// outbox collects updates until the next message goes out, so that many updates that arise at
// once cost few messages. The caller holds a lock around put and take.
type outbox struct {
	pending Update
	armed   bool
	// nextFree is when the next message may go out if the burst is used up: each message moves
	// this time later by sendInterval.
	nextFree time.Duration
}

// put adds an update. If arm is true, the caller must call take after the duration wait, and
// send what take returns. kept is false if the update was dropped because too many updates
// wait.
func (o *outbox) put(n Update, now time.Duration) (wait time.Duration, arm, kept bool) {
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

func (o *outbox) take() Update {
	n := o.pending
	o.pending, o.armed = Update{}, false
	o.nextFree += sendInterval
	return n
}
