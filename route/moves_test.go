package route

import (
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

func routed(version int64, service string) *Table {
	return NewTable(&Config{Version: version, Revision: fleet.Revision(10 * version), Routes: []Route{{Host: "h", Prefix: "/p/", Service: service, Kind: Stream, Resumable: true, Timeout: 20 * time.Second}}})
}

// Guards against a statement about the routes of streams that this process doesn't know to be true.
func TestRoutesAreStatedOnEvidence(t *testing.T) {
	type step func(c *Current)
	install := func(version int64, service string) step {
		return func(c *Current) { c.Install(routed(version, service)) }
	}
	stated := func(version int64) step {
		return func(c *Current) { c.SetStated(version, fleet.Revision(10*version-1)) }
	}
	learn := func(tables ...*Table) step { return func(c *Current) { c.LearnMoves(tables) } }
	next := func(version int64, service string) step {
		return func(c *Current) { c.InstallNext(routed(version, service)) }
	}
	missed := func(c *Current) { c.Missed() }
	wait := func(*Current) { time.Sleep(26 * time.Second) }
	const none = 0
	for name, c := range map[string]struct {
		first, connected bool
		steps            []step
		want             int64
	}{
		"before the first configuration":             {true, true, nil, none},
		"first start":                                {true, true, []step{install(1, "a")}, 1},
		"first start, others out of reach":           {true, false, []step{install(1, "a")}, none},
		"first start, stated":                        {true, true, []step{install(1, "a"), stated(1)}, none},
		"started":                                    {false, true, []step{install(5, "a")}, none},
		"started, a stream's life ago":               {false, true, []step{install(5, "a"), wait}, 5},
		"started, others out of reach":               {false, false, []step{install(5, "a"), wait}, none},
		"next version":                               {false, false, []step{stated(5), install(5, "a"), install(7, "a"), learn(routed(7, "a"))}, 7},
		"next version, not learned":                  {false, false, []step{stated(5), install(5, "a"), install(7, "a")}, none},
		"next version, moved and back between":       {false, false, []step{stated(5), install(5, "a"), install(7, "a"), learn(routed(6, "b"), routed(7, "a"))}, none},
		"moved":                                      {true, true, []step{stated(1), install(1, "a"), install(2, "b")}, none},
		"moved, a stream's life ago":                 {true, true, []step{stated(1), install(1, "a"), install(2, "b"), wait}, 2},
		"moved and back":                             {true, true, []step{stated(1), install(1, "a"), install(2, "b"), install(3, "a")}, none},
		"stated since the move":                      {false, false, []step{install(1, "a"), install(2, "b"), stated(2), install(3, "b"), learn(routed(3, "b"))}, 3},
		"next version in order":                      {true, true, []step{install(1, "a"), stated(1), next(2, "a")}, 2},
		"moved in order":                             {true, true, []step{install(1, "a"), stated(1), next(2, "b")}, none},
		"moved and back in order":                    {true, true, []step{install(1, "a"), stated(1), next(2, "b"), next(3, "a")}, none},
		"next version after one that can't be read":  {true, true, []step{install(1, "a"), stated(1), missed, next(3, "a")}, none},
		"learned that there was no move":             {false, false, []step{stated(4), install(5, "a"), learn(routed(4, "a"), routed(5, "a"))}, 5},
		"learned of a move":                          {false, true, []step{stated(4), install(5, "a"), learn(routed(4, "b"), routed(5, "a"))}, none},
		"learned of a move and back":                 {false, true, []step{stated(3), install(5, "a"), learn(routed(3, "a"), routed(4, "b"), routed(5, "a"))}, none},
		"learned since a later version only":         {false, true, []step{stated(3), install(5, "a"), learn(routed(4, "a"), routed(5, "a"))}, none},
		"learned up to an earlier version only":      {false, true, []step{stated(3), install(5, "a"), learn(routed(3, "a"), routed(4, "a"))}, none},
		"learned nothing":                            {false, true, []step{stated(3), install(5, "a"), learn()}, none},
		"moved after what was learned":               {false, true, []step{stated(4), install(5, "a"), install(6, "b"), learn(routed(4, "a"), routed(5, "a"))}, none},
		"stated of an earlier version than is known": {false, true, []step{stated(4), install(5, "a")}, none},
		"stated of a later version than is known":    {false, true, []step{stated(6), install(5, "a")}, none},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				current := &Current{FirstStart: c.first}
				for _, s := range c.steps {
					s(current)
				}
				got := int64(none)
				if next, due := current.NextStated(c.connected); due {
					got = next.Version
				}
				if got != c.want {
					t.Errorf("version %d is to be stated, want %d", got, c.want)
				}
			})
		})
	}
}
