package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

func drawItems(t *rapid.T) []*Item {
	n := rapid.IntRange(1, 40).Draw(t, "items")
	items := make([]*Item, n)
	for i := range items {
		items[i] = &Item{
			ID: fmt.Sprint("r", i), Stage: rapid.SampledFrom([]Stage{Started, New, Late}).Draw(t, "stage"),
			Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
			Cost:     rapid.Float64Range(0, 9000).Draw(t, "cost"),
			FirstTry: epoch.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "first try")) * time.Second), QueuedAt: epoch,
		}
	}
	return items
}

// Guards against an order that depends on which of several requests of one instant was added first: two routers, or
// two runs of a test, would then decide differently on the same requests.
func TestOrderDoesNotDependOnArrivalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := drawItems(t)
		turns, shares := &Turns{}, NewShares()
		for _, it := range items {
			turns.Observe(it.Priority, epoch)
		}
		other := slices.Clone(items)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)).Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		now := epoch.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		Sort(items, turns, shares, now)
		Sort(other, turns, shares, now)
		if !slices.Equal(items, other) {
			t.Fatal("two orders of the same items")
		}
		if !slices.IsSortedFunc(items, func(a, b *Item) int { return min(int(a.Stage), 1) - min(int(b.Stage), 1) }) {
			t.Fatal("a started answer is behind another request")
		}
	})
}

// Guards against charges that are lost or counted twice: an account would get more or less than its share for as long
// as the router runs. Answers are cut, refused or end as expected, in any order.
func TestChargesEqualRealCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, real, now := NewShares(), map[string]float64{}, epoch
		type open struct {
			c       *Charge
			account string
		}
		var all []open
		for _, it := range drawItems(t) {
			now = now.Add(10 * time.Millisecond)
			s.Join(it, now)
			if rapid.Bool().Draw(t, "given up") {
				s.Leave(it, now)
				continue
			}
			it.Priority = 0
			s.Join(it, now)
			all = append(all, open{s.Grant(it, now), it.Account})
		}
		for _, o := range all {
			cost := rapid.Float64Range(0, 9000).Draw(t, "real")
			o.c.Settle(cost)
			o.c.Settle(1e9)
			real[o.account] += cost
		}
		for account, want := range real {
			if got := s.accounts[shareKey{0, account}].charged; math.Abs(got-want) > 1e-6*max(want, 1) {
				t.Fatalf("%s was charged %v for %v", account, got, want)
			}
		}
	})
}

// Guards against memory that invented account names fill.
func TestAccountsAreBounded(t *testing.T) {
	s := NewShares()
	for i := range 3 * maxAccounts {
		s.Join(&Item{Account: fmt.Sprint(i), Cost: 1e6}, epoch)
		s.Grant(&Item{Account: fmt.Sprint(i), Cost: 1e6}, epoch)
	}
	if len(s.accounts) > maxAccounts+1 {
		t.Errorf("%d records", len(s.accounts))
	}
	s.Join(&Item{Account: "later", Cost: 1}, epoch.Add(10*time.Minute))
	if len(s.accounts) > 2 {
		t.Errorf("%d records after ten minutes without work", len(s.accounts))
	}
}
