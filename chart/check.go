package chart

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// validate returns all faults, not only the first.
func (f *chartFile) validate() error {
	return errors.Join(
		f.checkHeader(),
		f.checkTransitions(),
		f.checkReachable(),
		f.checkEnds(),
	)
}

func (f *chartFile) checkHeader() error {
	var all []error
	if f.Name == "" {
		all = append(all, errors.New("name is missing"))
	}
	if f.Initial == "" {
		all = append(all, errors.New("initial state is missing"))
	}
	if len(f.Final) == 0 {
		all = append(all, errors.New("no final state"))
	}
	return errors.Join(all...)
}

// sources returns the states from which at least one transition leads.
func (f *chartFile) sources() map[string]bool {
	from := map[string]bool{}
	for _, t := range f.Transitions {
		for _, s := range t.From {
			from[s] = true
		}
	}
	return from
}

func (f *chartFile) checkTransitions() error {
	type arc struct{ from, event string }
	seen := map[arc]bool{}
	sources := f.sources()
	var all []error
	for _, t := range f.Transitions {
		if t.Event == "" || t.To == "" || len(t.From) == 0 {
			all = append(all, fmt.Errorf("transition %+v is incomplete", t))
		}
		if !sources[t.To] && !slices.Contains(f.Final, t.To) {
			all = append(all, fmt.Errorf("event %q leads to %q, which is unknown or a dead end and not final", t.Event, t.To))
		}
		for _, s := range t.From {
			if seen[arc{s, t.Event}] {
				all = append(all, fmt.Errorf("state %q has event %q twice", s, t.Event))
			}
			seen[arc{s, t.Event}] = true
			if slices.Contains(f.Final, s) {
				all = append(all, fmt.Errorf("final state %q has event %q", s, t.Event))
			}
		}
	}
	return errors.Join(all...)
}

func (f *chartFile) states() []string {
	set := f.sources()
	set[f.Initial] = true
	for _, s := range f.Final {
		set[s] = true
	}
	for _, t := range f.Transitions {
		set[t.To] = true
	}
	return slices.Sorted(maps.Keys(set))
}

func (f *chartFile) checkReachable() error {
	next := map[string][]string{}
	for _, t := range f.Transitions {
		for _, s := range t.From {
			next[s] = append(next[s], t.To)
		}
	}
	return f.checkCovered(next, []string{f.Initial}, "can't be reached")
}

func (f *chartFile) checkEnds() error {
	prev := map[string][]string{}
	for _, t := range f.Transitions {
		prev[t.To] = append(prev[t.To], t.From...)
	}
	return f.checkCovered(prev, f.Final, "leads to no final state")
}

func (f *chartFile) checkCovered(arcs map[string][]string, start []string, fault string) error {
	seen := map[string]bool{}
	todo := slices.Clone(start)
	for len(todo) > 0 {
		s := todo[0]
		todo = todo[1:]
		if seen[s] {
			continue
		}
		seen[s] = true
		todo = append(todo, arcs[s]...)
	}
	var all []error
	for _, s := range f.states() {
		if !seen[s] {
			all = append(all, fmt.Errorf("state %q %s", s, fault))
		}
	}
	return errors.Join(all...)
}
