package route

import (
	"cmp"
	"slices"
)

const (
	maxPriority = 9
	// usualPriority replaces a priority out of range, as at the engines.
	usualPriority = 5
)

// ValidPriority returns p, or the usual priority if p is out of range.
func ValidPriority(p int) int {
	if p < 0 || p > maxPriority {
		return usualPriority
	}
	return p
}

// urgency is the order of a request among those of its service. The priority of the client account takes
// precedence over that of the route; among requests of accounts of equal priority, that of the route decides. A
// request whose account has no priority counts with that of its route.
//
// Load: all client accounts of a deployment have a priority, and a flood of requests of a less urgent route comes
// from the same accounts as the urgent requests. If the priority of the account alone counted, the urgent ones
// would wait behind the flood.
type urgency struct{ account, route int }

func urgencyOf(a *Account, r *Route) urgency {
	u := urgency{ValidPriority(r.Priority), ValidPriority(r.Priority)}
	if a != nil && a.HasPriority {
		u.account = ValidPriority(a.Priority)
	}
	return u
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.account, o.account), cmp.Compare(u.route, o.route))
}

// addUrgencies records how urgent the requests of a route can be for its services: of each client account, and of
// callers without a key.
func (t *Table) addUrgencies(r *Route, c *Config) {
	services := []string{r.Service}
	if len(r.Split) > 0 {
		services = nil
		for _, s := range r.Split {
			if s.Weight > 0 {
				services = append(services, s.Service)
			}
		}
	}
	for _, service := range services {
		if r.Open || c.Keyless {
			t.addUrgency(service, urgencyOf(nil, r))
		}
		for i := range c.Accounts {
			t.addUrgency(service, urgencyOf(&c.Accounts[i], r))
		}
	}
}

func (t *Table) addUrgency(service string, u urgency) {
	levels := t.urgencies[service]
	if at, known := slices.BinarySearchFunc(levels, u, urgency.compare); !known {
		t.urgencies[service] = slices.Insert(levels, at, u)
	}
}

// Level returns how urgent a request is among those of its service: 0 is the most urgent, and maxPriority the least
// urgent that is distinguished. The account is nil if it isn't known.
func (t *Table) Level(service string, a *Account, r *Route) int {
	at, _ := slices.BinarySearchFunc(t.urgencies[service], urgencyOf(a, r), urgency.compare)
	return min(at, maxPriority)
}

// LeastUrgent returns the level of the least urgent requests of a service, and false if all are equally urgent.
func (t *Table) LeastUrgent(service string) (int, bool) {
	least := min(max(len(t.urgencies[service])-1, 0), maxPriority)
	return least, least > 0
}

// LevelOf returns the level of the requests of a client account on a route, by their names. The bool is false if the
// configuration doesn't have the route.
func (t *Table) LevelOf(service, route, account string) (int, bool) {
	var known *Account
	for _, a := range t.keys {
		if a.Name == account {
			known = a
			break
		}
	}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.Name == route {
				return t.Level(service, known, r), true
			}
		}
	}
	return 0, false
}
