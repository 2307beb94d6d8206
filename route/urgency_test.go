package route

import "testing"

// Guards against an order among requests that have one priority, which would send messages and
// delay requests for nothing, and against none among requests that differ by their client account.
func TestLeastUrgent(t *testing.T) {
	high, low := Account{Priority: 1, HasPriority: true}, Account{Priority: 7, HasPriority: true}
	for name, c := range map[string]struct {
		cfg  Config
		want int
		ok   bool
	}{
		"one route":                      {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 3}}}, 0, false},
		"two routes":                     {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 0}, {Service: "s", Priority: 2}}}, 1, true},
		"routes of other services":       {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 0}, {Service: "t", Priority: 2}}}, 0, false},
		"accounts":                       {Config{Accounts: []Account{high, low}, Routes: []Route{{Service: "s", Priority: 9}}}, 1, true},
		"an account, a route":            {Config{Accounts: []Account{high, {}}, Routes: []Route{{Service: "s", Priority: 4}}}, 1, true},
		"one account, two routes":        {Config{Accounts: []Account{high}, Routes: []Route{{Service: "s", Priority: 4}, {Service: "s", Priority: 5}}}, 1, true},
		"an open route":                  {Config{Accounts: []Account{high}, Routes: []Route{{Service: "s", Priority: 4, Open: true}}}, 1, true},
		"a split route, one weight is 0": {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 1}, {Priority: 8, Split: []WeightedService{{"s", 0}, {"t", 1}}}}}, 0, false},
		"a split route":                  {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 1}, {Priority: 8, Split: []WeightedService{{"s", 1}, {"t", 1}}}}}, 1, true},
		"out of range":                   {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: -1}, {Service: "s", Priority: 77}}}, 0, false},
		"unknown":                        {Config{}, 0, false},
	} {
		if got, ok := NewTable(&c.cfg).LeastUrgent("s"); got != c.want || ok != c.ok {
			t.Errorf("%s: %d, %v", name, got, ok)
		}
	}
}

// Guards against urgent requests that wait behind less urgent ones of the same client accounts: the priority of the account
// goes first, that of the route decides among accounts of equal priority.
func TestLevelIsThatOfTheAccountAndThenOfTheRoute(t *testing.T) {
	first, second, none := &Account{Priority: 0, HasPriority: true}, &Account{Priority: 1, HasPriority: true}, &Account{}
	report, summary := &Route{Service: "s", Priority: 0}, &Route{Service: "s", Priority: 2}
	table := NewTable(&Config{Accounts: []Account{*first, *second, *none}, Routes: []Route{*report, *summary}})
	for i, c := range []struct {
		a *Account
		r *Route
	}{{first, report}, {first, summary}, {second, report}, {second, summary}, {none, summary}} {
		if got := table.Level("s", c.a, c.r); got != i {
			t.Errorf("case %d: level %d", i, got)
		}
	}
	if got := table.Level("s", none, report); got != 0 {
		t.Errorf("an account without a priority has level %d, want that of its route", got)
	}
}
