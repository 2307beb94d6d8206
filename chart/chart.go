// Package chart loads state charts from JSON and runs them with looplab/fsm.
//
// A request in a state without an exit would hang and never be answered, and a misspelt
// state would only do harm on the rare path that reaches it. Load therefore checks at
// start what can be checked: every state is reachable, every target exists, a final
// state can be reached from every state, and no event is ambiguous.
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

// NotAllowedError is the error for an event for which the current state of a chart has no
// transition.
type NotAllowedError struct {
	Chart, State, Event string
}

func (e *NotAllowedError) Error() string {
	return "chart " + e.Chart + ": event " + e.Event + " not allowed in state " + e.State
}

// Transition leads from each state in From to To when Event fires.
type Transition struct {
	From  []string `json:"from"`
	Event string   `json:"event"`
	To    string   `json:"to"`
}

type chartFile struct {
	Name        string       `json:"name"`
	Initial     string       `json:"initial"`
	Final       []string     `json:"final"`
	Transitions []Transition `json:"transitions"`
}

// Chart is a validated, immutable state chart. It may be shared by goroutines.
type Chart struct {
	name    string
	initial string
	states  []string
	final   map[string]bool
	events  []fsm.EventDesc
}

// Load decodes and validates a chart. Unknown fields are errors.
func Load(data []byte) (*Chart, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var f chartFile
	if err := dec.Decode(&f); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := f.validate(); err != nil {
		return nil, Error.New("%s: %v", f.Name, err)
	}
	return f.chart(), nil
}

func (f *chartFile) chart() *Chart {
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

// States returns all states, sorted.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// IsFinal reports whether state is final.
func (c *Chart) IsFinal(state string) bool { return c.final[state] }

// Next returns the state to which an event leads from a state, or a *NotAllowedError. Next
// is for code that stores the state itself instead of using a Machine.
func (c *Chart) Next(state, event string) (string, error) {
	for _, e := range c.events {
		if e.Name == event && slices.Contains(e.Src, state) {
			return e.Dst, nil
		}
	}
	return "", Error.Wrap(&NotAllowedError{Chart: c.name, State: state, Event: event})
}

// New returns a machine in the chart's initial state.
func (c *Chart) New() *Machine {
	return &Machine{chart: c, fsm: fsm.NewFSM(c.initial, c.events, nil)}
}

// Machine is one run of a chart. Only one goroutine may fire its events; others may
// call State.
type Machine struct {
	chart *Chart
	fsm   *fsm.FSM
}

// State returns the current state.
func (m *Machine) State() string { return m.fsm.Current() }

// Final reports whether the machine has reached a final state.
func (m *Machine) Final() bool { return m.chart.final[m.fsm.Current()] }

// Fire makes the transition of event. If the current state has no transition for the event,
// the machine stays in that state and Fire returns a *NotAllowedError.
func (m *Machine) Fire(event string) error {
	state := m.fsm.Current()
	err := m.fsm.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err == nil || errors.As(err, &same) {
		return nil
	}
	return Error.Wrap(&NotAllowedError{Chart: m.chart.name, State: state, Event: event})
}
