package intent

import "slices"

// shownHashDigits is the number of digits of a key hash that are shown: enough to
// distinguish keys, too few to check guesses of a weak key.
const shownHashDigits = 8

// Redacted returns a copy of the state for display, with shortened key hashes and
// without history.
func (s *State) Redacted() *State {
	c := s.clone()
	for id, a := range c.Accounts {
		c.Accounts[id] = a.redacted()
	}
	c.Touched, c.Plans = nil, nil
	return c
}

// Redacted returns a copy of the revision for display, with shortened key hashes.
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
		a.KeyHashes[i] = h[:min(len(h), shownHashDigits)] + "..."
	}
	return a
}

// redactedObject shortens the key hashes in an object that is part of a plan's diff.
func redactedObject(v any) any {
	if a, ok := v.(Account); ok {
		return a.redacted()
	}
	return v
}
