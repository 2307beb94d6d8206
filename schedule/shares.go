package schedule

import (
	"math"
	"time"
)

// Shares records what each client account has used of the capacity, in virtual time, by start-time fair queuing (Goyal,
// Vin, Cheng 1996). An account is charged the expected cost at the grant, and the charge is corrected when the real cost
// is known. The load for which it decides: one account sends ten times as much as each of the others, and more than
// there is capacity for.
//
// Virtual time is kept for each priority: otherwise what is served at one priority would write off the use of accounts
// at another. A Shares is not safe for concurrent use.
type Shares struct {
	now      [Priorities]float64 // virtual time: start tag of the most recently served request
	accounts map[shareKey]*usage
	swept    time.Time
	mean     [Priorities]meanUse
}

type shareKey struct {
	priority int
	account  string
}

// usage is what one account has used at one priority.
type usage struct {
	finish  float64 // virtual time at which all charged work of the account ends
	waiting int
	idle    time.Time // when its last request stopped waiting
	charged float64   // all that was charged, corrected
	recent  float64   // by cost and weight, in which older charges count less
	at      time.Time // of recent
}

func (u *usage) recentAt(now time.Time) float64 {
	return u.recent * math.Exp2(-now.Sub(u.at).Seconds()/recentHalfLife.Seconds())
}

const (
	// maxAccounts bounds the accounts that are distinguished: more than the 5,600 of the largest fleet. All others share
	// one record, so that invented names take no memory.
	maxAccounts = 8192
	// shareHalfLife is the time in which half of an account's use is written off while none of its requests waits: an
	// account that sent a burst a minute ago is not behind others now.
	shareHalfLife = 5 * time.Second
	// recentHalfLife is the time in which what an account has used counts half in OverShare: long enough for some requests
	// of each account at one of 59 routers.
	recentHalfLife = 15 * time.Second
	// overShareFactor is how much more than its share an account must have used: a few requests more are chance.
	overShareFactor = 1.1
	// meanMaxAge is how long a mean of all accounts is used.
	meanMaxAge = 200 * time.Millisecond
	// sweepInterval is how often records without use are removed.
	sweepInterval = time.Second
	// otherAccounts is the record that accounts beyond maxAccounts share.
	otherAccounts = "\x00others"
)

// NewShares returns Shares in which no account has used anything.
func NewShares() *Shares { return &Shares{accounts: map[shareKey]*usage{}} }

// key returns the key of the record for an account.
func (s *Shares) key(priority int, account string) shareKey {
	k := shareKey{priority, account}
	if _, known := s.accounts[k]; known || len(s.accounts) < maxAccounts {
		return k
	}
	return shareKey{priority, otherAccounts}
}

func (s *Shares) record(priority int, account string, now time.Time) *usage {
	k := s.key(priority, account)
	u := s.accounts[k]
	if u == nil {
		u = &usage{finish: s.now[priority], idle: now}
		s.accounts[k] = u
	}
	return u
}

// start returns the start tag of the next request of an account.
func (s *Shares) start(k shareKey) float64 {
	if u := s.accounts[s.key(k.priority, k.account)]; u != nil {
		return u.finish
	}
	return s.now[k.priority]
}

// Join records that a request of an account begins to wait. An account that had none waiting saves up nothing: it
// starts at the present virtual time at the earliest.
func (s *Shares) Join(it *Item, now time.Time) {
	s.sweep(now)
	u := s.record(it.Priority, it.Account, now)
	if u.waiting == 0 {
		u.finish = s.now[it.Priority] + s.lead(it.Priority, u, now)
	}
	u.waiting++
}

// Leave records that a request of an account no longer waits.
func (s *Shares) Leave(it *Item, now time.Time) {
	u := s.record(it.Priority, it.Account, now)
	if u.waiting = max(u.waiting-1, 0); u.waiting == 0 {
		u.idle = now
	}
}

// lead returns how far an account is ahead of virtual time, after decay.
func (s *Shares) lead(priority int, u *usage, now time.Time) float64 {
	lead := max(u.finish-s.now[priority], 0)
	if u.waiting > 0 {
		return lead
	}
	return lead * math.Exp2(-now.Sub(u.idle).Seconds()/shareHalfLife.Seconds())
}

// Lead returns how far an account is ahead of virtual time: what it has used beyond the account that was served last.
func (s *Shares) Lead(priority int, account string, now time.Time) float64 {
	u := s.accounts[s.key(priority, account)]
	if u == nil {
		return 0
	}
	return s.lead(priority, u, now)
}

// sweep removes the records of accounts that have nothing waiting and no use left.
func (s *Shares) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for k, u := range s.accounts {
		if u.waiting == 0 && s.lead(k.priority, u, now) < 1 && u.recentAt(now) < 1 {
			delete(s.accounts, k)
		}
	}
}

// Charge is what an account was charged for one grant.
type Charge struct {
	usage    *usage
	weight   float64
	expected float64
	settled  bool
	shares   *Shares
	priority int
	at       time.Time // of the grant
}

// Grant charges an account the expected cost of a request that is served now. The request must have joined.
func (s *Shares) Grant(it *Item, now time.Time) *Charge {
	u := s.record(it.Priority, it.Account, now)
	s.now[it.Priority] = max(s.now[it.Priority], u.finish)
	c := &Charge{usage: u, weight: it.weight(), expected: max(it.Cost, 1), shares: s, priority: it.Priority, at: now}
	u.add(c.expected, c.weight)
	u.recent, u.at = u.recentAt(now)+c.expected/c.weight, now
	s.Leave(it, now)
	return c
}

// Settle corrects a charge when the real cost is known. Further calls do nothing.
func (c *Charge) Settle(actual float64) {
	if c == nil || c.settled || math.IsNaN(actual) {
		return
	}
	c.settled = true
	u, off := c.usage, max(actual, 0)-c.expected
	before, now := u.finish, c.shares.now[c.priority]
	u.add(off, c.weight)
	// The account's lead may have decayed since the grant: a refund of what was written off would be credit.
	u.finish = max(u.finish, min(before, now))
	// recent is as of u.at, by which the charge has decayed since the grant.
	decayed := math.Exp2(-u.at.Sub(c.at).Seconds() / recentHalfLife.Seconds())
	u.recent = max(u.recent+off/c.weight*decayed, 0)
}

func (u *usage) add(cost, weight float64) {
	u.charged += cost
	u.finish += cost / weight
}

// OverShare reports whether an account has lately used more than its share: clearly more than the mean of the accounts that
// used anything at the priority or have requests waiting.
func (s *Shares) OverShare(it *Item, now time.Time) bool {
	own := s.accounts[s.key(it.Priority, it.Account)]
	if own == nil {
		return false
	}
	mean, several := s.meanUse(it.Priority, now)
	return several && own.recentAt(now) > overShareFactor*mean+it.span()
}

// meanUse returns what the accounts have used lately on average at a priority, and whether there are several. It is computed
// once in meanMaxAge, since it visits all accounts.
func (s *Shares) meanUse(priority int, now time.Time) (mean float64, several bool) {
	m := &s.mean[priority]
	if !m.at.IsZero() && now.Sub(m.at) < meanMaxAge {
		return m.use, m.accounts > 1
	}
	*m = meanUse{at: now}
	for k, u := range s.accounts {
		if k.priority != priority {
			continue
		}
		if used := u.recentAt(now); used >= 1 || u.waiting > 0 {
			m.use += used
			m.accounts++
		}
	}
	m.use /= float64(max(m.accounts, 1))
	return m.use, m.accounts > 1
}

type meanUse struct {
	at       time.Time
	use      float64
	accounts int
}
