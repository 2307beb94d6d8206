package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"slices"
	"sync"
	"time"
)

const (
	// maxParts bounds how many parts of one prompt are considered, the first ones.
	maxParts = 512
	// clearTime is how long after a crash a router can still learn that a run with the same part, begun
	// after the crash, has lasted for earlyWindow. Crashes under a part that is known to be answered count
	// only after that time.
	clearTime = earlyWindow + time.Second
	// maxPartAnswers is the least number of pairs of part and model whose latest answers are remembered.
	maxPartAnswers = 4096
	// maxPartSuspects bounds the table of suspected parts, maxPartSuspectsPerAccount those that only
	// requests of one client account named.
	maxPartSuspects           = 2048
	maxPartSuspectsPerAccount = 1024
	// maxCrashesPerRequest is how many crashes of one request count against a part of it. The remaining
	// crashes may be due to the request as a whole.
	maxCrashesPerRequest = 2
	// minMomentsUnanswered is at how many moments backend servers must have crashed under a part while no request of
	// the model is answered, so that no run can clear it.
	minMomentsUnanswered = 2
	// expireInterval is how often the table of parts is searched for expired entries.
	expireInterval = time.Second
	// minPartRequests is the least number of different requests with a part under which backend servers
	// must have crashed before the part is quarantined.
	minPartRequests = 2
)

// Content describes what several requests can have in common: the parts of a prompt.
type Content struct {
	// Parts are the ids of the parts of the prompt that other requests may share. The part that belongs
	// to the request itself isn't among them.
	Parts []string
	Model string // the service and model that read the prompt
}

// SharedParts returns the ids of a prompt's parts without the last one, which belongs to the
// request or its session. Each id is listed once, and no more than maxParts are.
func SharedParts(ids []string) []string {
	if len(ids) < 2 {
		return nil
	}
	own := ids[len(ids)-1]
	seen := map[string]bool{"": true, own: true}
	var out []string
	for _, id := range ids[:len(ids)-1] {
		if seen[id] || len(out) == maxParts {
			continue
		}
		seen[id] = true
		out = append(out, id)
	}
	return out
}

// partDigest returns the keyed digest of the id of a part. No request has the same digest, since the
// input of a request's digest starts with the length of a field.
func partDigest(key []byte, id string) Digest {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("prompt part\x00"))
	h.Write([]byte(id))
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// partDigests caches the digests of parts that recur. Like answerTimes, it has two generations of
// bounded size. It is safe for concurrent use.
type partDigests struct {
	mu                sync.Mutex
	key               []byte
	current, previous map[string]Digest
}

const (
	maxCachedDigests = 4096 // per generation
	maxCachedID      = 64   // length in bytes of the longest id that is cached
)

func newPartDigests(key []byte) *partDigests {
	return &partDigests{key: key, current: map[string]Digest{}}
}

// of returns the digests of parts.
func (p *partDigests) of(ids []string) []Digest {
	if len(ids) == 0 {
		return nil
	}
	out := make([]Digest, len(ids))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, id := range ids {
		out[i] = p.digest(id)
	}
	return out
}

func (p *partDigests) digest(id string) Digest {
	if d, ok := p.current[id]; ok {
		return d
	}
	d, ok := p.previous[id]
	if !ok {
		d = partDigest(p.key, id)
	}
	if len(id) > maxCachedID {
		return d
	}
	if len(p.current) >= maxCachedDigests {
		p.previous, p.current = p.current, make(map[string]Digest, maxCachedDigests)
	}
	p.current[id] = d
	return d
}

// PartCrash is the exit of a backend server on its own while it ran a request with the parts.
type PartCrash struct {
	Crash
	Request Digest
	Account string
	Model   string
	Parts   []Digest
}

// partSuspect is one suspected part.
type partSuspect struct {
	digest               Digest
	crashes              []partRecord // in order of time
	accounts, models     []string     // of the requests under which backend servers crashed, sorted
	holdStart, holdUntil time.Duration
	pending              bool
	asked                bool          // some router has asked the others about the part
	askedAt              time.Duration // of the first question within askValid
	// tied lists the other parts that were quarantined together with this one for the same crashes.
	// Attempts of requests that contain only some of them are trials, one at a time.
	tied []Digest
	// provisional is set while the evidence is too weak to refuse all requests with the part: one is sent as
	// a trial. It ends with a crash of a trial, or after more crashes of runs that began before the hold.
	provisional  bool
	trials       []trial
	trialCrashes int         // since the hold
	lostTrials   []PartCrash // crashes of trials that confirmHeld is to evaluate
	// toldAt is when an answer to a request with the part was last broadcast, by model.
	toldAt    map[string]time.Duration
	updatedAt time.Duration
	partial   bool // see suspect
}

// partRecord is one crash in the record of a part. Several requests with the part may have been
// running at the backend server.
type partRecord struct {
	incarnation string
	at, sentAt  time.Duration
	model       string
	requests    []Digest
}

func (s *partSuspect) crashedAt(incarnation string) bool { return s.record(incarnation) != nil }

func (s *partSuspect) record(incarnation string) *partRecord {
	for i := range s.crashes {
		if s.crashes[i].incarnation == incarnation {
			return &s.crashes[i]
		}
	}
	return nil
}

// covers reports whether the hold of the part applies to requests of an account for a model. A hold
// applies to the accounts and models for which backend servers crashed, and to all of them once there
// are two: an account that names the parts of another one in crashing requests must not have its
// requests refused.
func (s *partSuspect) covers(account, model string) bool {
	return covers(s.accounts, account) && covers(s.models, model)
}

func covers(seen []string, one string) bool { return len(seen) > 1 || slices.Contains(seen, one) }

// insert returns a sorted list with one more entry, if it isn't in the list already.
func insert(list []string, one string) []string {
	i, found := slices.BinarySearch(list, one)
	if found || len(list) > maxScopes {
		return list
	}
	return slices.Insert(slices.Clone(list), i, one)
}

// maxScopes bounds the accounts and models that are listed for a part.
const maxScopes = 8

// PartReport describes one suspected part to operators.
type PartReport struct {
	Digest    string          `json:"digest"`
	Accounts  []string        `json:"accounts"`
	Models    []string        `json:"models"`
	HeldForMS int64           `json:"held_for_ms"` // how much longer it is quarantined, 0 if it isn't
	Trial     bool            `json:"trial,omitempty"`
	Crashes   []ReportedCrash `json:"crashes"`
}

func (s *partSuspect) report(now time.Duration) PartReport {
	out := PartReport{
		Digest: s.digest.String(), Accounts: s.accounts, Models: s.models,
		HeldForMS: max(s.holdUntil-now, 0).Milliseconds(), Trial: s.provisional || len(s.tied) > 0,
	}
	for _, c := range s.crashes {
		out.Crashes = append(out.Crashes, ReportedCrash{Backend: c.incarnation, AgeMS: (now - c.at).Milliseconds()})
	}
	return out
}

// String formats the crashes of the report as text for the log.
func (r *PartReport) String() string {
	whole := Report{Crashes: r.Crashes}
	return whole.String()
}
