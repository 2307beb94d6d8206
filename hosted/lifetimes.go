package hosted

import (
	"slices"

	"wigeondale/fleet"
)

// lifetimes decides which of two words about a replica's name is the newer one.
//
// Words come late and out of order: an old page, a neighbour's news, a heartbeat that
// was on its way when the replica crashed. Times of birth don't order them, since the
// clock of a machine may be set back between two starts. So the word that was learnt
// last counts, the store's in the order of its revisions, but a lifetime that another
// one has followed never comes back.
type lifetimes struct {
	current map[string]fleet.Incarnation   // by name
	ended   map[string][]fleet.Incarnation // by name, the latest last
}

// keptEnded is how many ended lifetimes are remembered for a name. A word that is
// older than so many starts does not come any more: the store's history covers fewer.
const keptEnded = 16

func newLifetimes() lifetimes {
	return lifetimes{current: map[string]fleet.Incarnation{}, ended: map[string][]fleet.Incarnation{}}
}

// newness is what a word about a name is, against what is known.
type newness uint8

const (
	first    newness = iota // nothing was known of the name
	same                    // of the lifetime that is known
	reborn                  // of a later lifetime
	outdated                // of an earlier one
)

// follow takes in the lifetime that a word names. before is the one known until then.
func (l *lifetimes) follow(word fleet.Incarnation) (before fleet.Incarnation, n newness) {
	known, ok := l.current[word.Name]
	switch {
	case !ok:
		l.current[word.Name] = word
		return known, first
	case known == word:
		return known, same
	case slices.Contains(l.ended[word.Name], word):
		return known, outdated
	}
	l.current[word.Name] = word
	l.end(known)
	return known, reborn
}

func (l *lifetimes) end(life fleet.Incarnation) {
	kept := append(l.ended[life.Name], life)
	if len(kept) > keptEnded {
		kept = kept[len(kept)-keptEnded:]
	}
	l.ended[life.Name] = kept
}

// of returns the lifetime that a name stands for now.
func (l *lifetimes) of(name string) (fleet.Incarnation, bool) {
	life, ok := l.current[name]
	return life, ok
}

// forget drops a name whose entry is gone.
func (l *lifetimes) forget(name string) {
	delete(l.current, name)
	delete(l.ended, name)
}
