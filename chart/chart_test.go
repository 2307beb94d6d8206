package chart

import (
	"errors"
	"strings"
	"testing"
)

// Load must reject faulty charts at start. Otherwise a rare path reaches a misspelt or
// orphaned state in production, and the request hangs or ends in a state that no code
// handles.
func TestLoadFindsFaults(t *testing.T) {
	const good = `{"name":"n","initial":"a","final":["z"],"transitions":[{"from":["a"],"event":"go","to":"b"},{"from":["a","b"],"event":"end","to":"z"}]}`
	if _, err := Load([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown target", `"to":"b"`, `"to":"bb"`, `leads to "bb"`},
		{"unreachable", `"to":"b"`, `"to":"a"`, `"b" can't be reached`},
		{"dead end", `["a","b"],"event":"end"`, `["a"],"event":"end"`, `leads to "b"`},
		{"duplicate", `["a","b"]`, `["a","a","b"]`, `event "end" twice`},
		{"no final", `["z"]`, `[]`, "no final state"},
		{"final left", `["a","b"]`, `["a","b","z"]`, `final state "z"`},
		{"unknown field", `"name"`, `"nmae":"x","name"`, "unknown field"},
	} {
		_, err := Load([]byte(strings.Replace(good, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", tc.name, err, tc.want)
		}
	}
}

func TestMachine(t *testing.T) {
	c, err := Load([]byte(`{"name":"n","initial":"a","final":["z"],"transitions":[{"from":["a"],"event":"stay","to":"a"},{"from":["a"],"event":"end","to":"z"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	m := c.New()
	if err := m.Fire("stay"); err != nil || m.State() != "a" {
		t.Fatal(m.State(), err)
	}
	var no *NotAllowedError
	if err := m.Fire("nope"); !errors.As(err, &no) || no.State != "a" {
		t.Fatalf("got %v", err)
	}
	if err := m.Fire("end"); err != nil || !m.Final() {
		t.Fatal(m.State(), err)
	}
}
