package schedule

import (
	"math"
	"testing"
	"time"
)

// Guards against accounts that are judged by what they state: of two that use the same, one states a maximum ten times as
// high, and would count as over its share.
func TestRecentUseIsCorrected(t *testing.T) {
	s := NewShares()
	grant := func(account string, stated float64, now time.Time) *Charge {
		it := &Item{Account: account, Cost: stated}
		s.Join(it, now)
		return s.Grant(it, now)
	}
	a, b := grant("a", 10000, epoch), grant("b", 1000, epoch)
	later := epoch.Add(recentHalfLife)
	grant("a", 1000, later)
	a.Settle(1000)
	b.Settle(1000)
	if got := s.accounts[shareKey{0, "a"}].recentAt(later); math.Abs(got-1500) > 1 {
		t.Errorf("an account that used 1000 a half-life ago and 1000 now has %v", got)
	}
	c := grant("c", 5000, epoch)
	c.Settle(0)
	if got := s.accounts[shareKey{0, "c"}].recent; got < 0 {
		t.Errorf("recent use %v", got)
	}
}

// Guards against a refund for a lead that has decayed: the account would go before all others for what it never paid.
func TestRefundGivesNoCredit(t *testing.T) {
	s := NewShares()
	it := &Item{Account: "a", Cost: 10000}
	s.Join(it, epoch)
	c := s.Grant(it, epoch)
	later := epoch.Add(10 * shareHalfLife)
	s.Join(it, later)
	c.Settle(0)
	if got := s.start(shareKey{0, "a"}); got < s.now[0] {
		t.Errorf("the account is %v behind virtual time", s.now[0]-got)
	}
}
