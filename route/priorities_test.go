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
		"one route":                      {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 3}}}, 3, false},
		"two routes":                     {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 0}, {Service: "s", Priority: 2}}}, 2, true},
		"routes of other services":       {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 0}, {Service: "t", Priority: 2}}}, 0, false},
		"accounts":                       {Config{Accounts: []Account{high, low}, Routes: []Route{{Service: "s", Priority: 9}}}, 7, true},
		"an account, a route":            {Config{Accounts: []Account{high, {}}, Routes: []Route{{Service: "s", Priority: 4}}}, 4, true},
		"accounts replace the route":     {Config{Accounts: []Account{high}, Routes: []Route{{Service: "s", Priority: 4}, {Service: "s", Priority: 5}}}, 1, false},
		"an open route":                  {Config{Accounts: []Account{high}, Routes: []Route{{Service: "s", Priority: 4, Open: true}}}, 4, true},
		"a split route, one weight is 0": {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 1}, {Priority: 8, Split: []WeightedService{{"s", 0}, {"t", 1}}}}}, 1, false},
		"a split route":                  {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: 1}, {Priority: 8, Split: []WeightedService{{"s", 1}, {"t", 1}}}}}, 8, true},
		"out of range":                   {Config{Keyless: true, Routes: []Route{{Service: "s", Priority: -1}, {Service: "s", Priority: 77}}}, 5, false},
		"unknown":                        {Config{}, 0, false},
	} {
		if got, ok := NewTable(&c.cfg).LeastUrgent("s"); got != c.want || ok != c.ok {
			t.Errorf("%s: %d, %v", name, got, ok)
		}
	}
}
