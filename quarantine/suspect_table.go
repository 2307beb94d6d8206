package quarantine

import (
	"slices"
	"time"
)

// suspect returns the entry of a request, and adds an entry if the request has none. If the
// table or the share of the client account is full, the new entry replaces the weakest.
func (t *Tracker) suspect(d Digest, account string, now time.Duration) *suspect {
	if s := t.suspects[d]; s != nil {
		return s
	}
	if t.countByAccount[account] >= maxSuspectsPerAccount {
		t.drop(t.weakest(now, func(s *suspect) bool { return s.account == account }))
	} else if len(t.suspects) >= maxSuspects {
		t.drop(t.weakest(now, func(*suspect) bool { return true }))
	}
	s := &suspect{digest: d, account: account, updatedAt: now}
	t.suspects[d] = s
	t.countByAccount[account]++
	return s
}

func (t *Tracker) drop(s *suspect) {
	for _, c := range s.crashes {
		t.unindex(s, c.Incarnation)
	}
	delete(t.suspects, s.digest)
	if t.countByAccount[s.account]--; t.countByAccount[s.account] == 0 {
		delete(t.countByAccount, s.account)
	}
}

// unindex removes s from the list of requests that are suspected of the crash of an
// incarnation.
func (t *Tracker) unindex(s *suspect, incarnation string) {
	remaining := slices.DeleteFunc(t.suspectsByCrash[incarnation], func(d Digest) bool { return d == s.digest })
	if len(remaining) == 0 {
		delete(t.suspectsByCrash, incarnation)
		return
	}
	t.suspectsByCrash[incarnation] = remaining
}
