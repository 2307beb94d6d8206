package intent

import "slices"

// hashShown is how many digits of a key's hash are shown: enough to tell keys
// apart, too few to test guesses of a weak key against.
const hashShown = 8

// Redacted returns a copy of the state for showing: without key hashes in full
// and without history.
func (s *State) Redacted() *State {
	c := s.clone()
	for id, a := range c.Accounts {
		c.Accounts[id] = a.redacted()
	}
	c.Touched, c.Plans = nil, nil
	return c
}

// Redacted returns a copy of the revision for showing.
func (r Revision) Redacted() Revision {
	r.Changes = slices.Clone(r.Changes)
	for i, c := range r.Changes {
		if c.Account == nil {
			continue
		}
		a := c.Account.redacted()
		r.Changes[i].Account = &a
	}
	return r
}

func (a Account) redacted() Account {
	a.KeyHashes = slices.Clone(a.KeyHashes)
	for i, h := range a.KeyHashes {
		a.KeyHashes[i] = h[:min(len(h), hashShown)] + "..."
	}
	return a
}

// shown hides key hashes in an object that a plan's diff prints.
func shown(v any) any {
	if a, ok := v.(Account); ok {
		return a.redacted()
	}
	return v
}
