package route

const (
	maxPriority = 9
	// usualPriority replaces a priority out of range, as at the engines.
	usualPriority = 5
)

// ValidPriority returns the priority, or 5 if it is not between 0 and 9.
func ValidPriority(p int) int {
	if p < 0 || p > maxPriority {
		return usualPriority
	}
	return p
}

// urgencyRange is the range of the priorities of a service's requests; lower ones are more urgent.
type urgencyRange struct{ most, least int }

// addPriorities takes in the priorities that requests of a route can have. That of the client account
// replaces that of the route.
func (t *Table) addPriorities(r *Route, c *Config) {
	services := []string{r.Service}
	if len(r.Split) > 0 {
		services = nil
		for _, s := range r.Split {
			if s.Weight > 0 {
				services = append(services, s.Service)
			}
		}
	}
	keyless := r.Open || c.Keyless
	for _, service := range services {
		if keyless {
			t.addPriority(service, r.Priority)
		}
		for i := range c.Accounts {
			if a := &c.Accounts[i]; a.HasPriority {
				t.addPriority(service, a.Priority)
			} else {
				t.addPriority(service, r.Priority)
			}
		}
	}
}

func (t *Table) addPriority(service string, p int) {
	p = ValidPriority(p)
	u, known := t.urgency[service]
	if !known {
		u = urgencyRange{p, p}
	}
	t.urgency[service] = urgencyRange{min(u.most, p), max(u.least, p)}
}

// PriorityOf returns the priority of the requests of a client account on a route, by their names. The bool is false if the
// configuration doesn't have the route, and the account has no priority of its own.
func (t *Table) PriorityOf(route, account string) (int, bool) {
	for _, a := range t.keys {
		if a.Name == account && a.HasPriority {
			return ValidPriority(a.Priority), true
		}
	}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.Name == route {
				return ValidPriority(r.Priority), true
			}
		}
	}
	return 0, false
}

// LeastUrgent returns the least urgent priority that requests of a service can have. The bool is
// false if all of them have the same priority.
func (t *Table) LeastUrgent(service string) (int, bool) {
	u, known := t.urgency[service]
	return u.least, known && u.most != u.least
}
