// Package chart loads state charts from JSON and runs them with looplab/fsm.
//
// A chart that can't be finished would leave a request hanging with nobody to
// answer it, and one with a misspelt state would do so only on the rare path
// that uses it. Load therefore proves at start what can be proved: every state
// is reachable, every target exists, every state leads to a final one, and no
// event is ambiguous.
package chart

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/looplab/fsm"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("chart")

// NotAllowedError says that a state has no transition for an event.
type NotAllowedError struct {
	Chart, State, Event string
}

func (e *NotAllowedError) Error() string {
	return "chart " + e.Chart + ": event " + e.Event + " not allowed in state " + e.State
}

// Transition leads from any of the states in From to To when Event fires.
type Transition struct {
	From  []string `json:"from"`
	Event string   `json:"event"`
	To    string   `json:"to"`
}

type file struct {
	Name        string       `json:"name"`
	Initial     string       `json:"initial"`
	Final       []string     `json:"final"`
	Transitions []Transition `json:"transitions"`
}

// Chart is a checked, immutable state chart. It may be shared by goroutines.
type Chart struct {
	name    string
	initial string
	states  []string
	final   map[string]bool
	events  []fsm.EventDesc
}

// Load reads a chart and checks it. Unknown fields are errors.
func Load(data []byte) (*Chart, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var f file
	if err := dec.Decode(&f); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := f.check(); err != nil {
		return nil, Error.New("%s: %v", f.Name, err)
	}
	return f.chart(), nil
}

func (f *file) chart() *Chart {
	c := &Chart{name: f.Name, initial: f.Initial, states: f.states(), final: map[string]bool{}}
	for _, s := range f.Final {
		c.final[s] = true
	}
	for _, t := range f.Transitions {
		c.events = append(c.events, fsm.EventDesc{Name: t.Event, Src: t.From, Dst: t.To})
	}
	return c
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// States returns every state, sorted.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// IsFinal reports whether state is a final one.
func (c *Chart) IsFinal(state string) bool { return c.final[state] }

// Next returns the state to which an event leads, for a procedure whose state is kept
// elsewhere, or a *NotAllowedError.
func (c *Chart) Next(state, event string) (string, error) {
	for _, e := range c.events {
		if e.Name == event && slices.Contains(e.Src, state) {
			return e.Dst, nil
		}
	}
	return "", Error.Wrap(&NotAllowedError{Chart: c.name, State: state, Event: event})
}

// New starts a machine in the chart's initial state.
func (c *Chart) New() *Machine {
	return &Machine{chart: c, fsm: fsm.NewFSM(c.initial, c.events, nil)}
}

// Machine is one run of a chart. It belongs to one goroutine; State may be
// read by others.
type Machine struct {
	chart *Chart
	fsm   *fsm.FSM
}

// State returns the current state.
func (m *Machine) State() string { return m.fsm.Current() }

// Final reports whether the machine has ended.
func (m *Machine) Final() bool { return m.chart.final[m.fsm.Current()] }

// Fire takes the transition of event, or returns a *NotAllowedError and stays.
func (m *Machine) Fire(event string) error {
	state := m.fsm.Current()
	err := m.fsm.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err == nil || errors.As(err, &same) {
		return nil
	}
	return Error.Wrap(&NotAllowedError{Chart: m.chart.name, State: state, Event: event})
}
