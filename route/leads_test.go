package route

import (
	"slices"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// Guards against a router that leaves out, of what it states to others, routes by which it has begun streams.
func TestAllRoutesThatWereInForceAreStated(t *testing.T) {
	a, b := routed(1, "a").leads(), routed(2, "b").leads()
	for name, c := range map[string]struct {
		within time.Duration
		want   []Leads
		covers bool
	}{
		"the present ones":       {4 * time.Second, []Leads{a}, true},
		"those before":           {6 * time.Second, []Leads{b, a}, true},
		"moved there and back":   {16 * time.Second, []Leads{a, b}, true},
		"longer than in service": {21 * time.Second, []Leads{a, b}, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				current := &Current{}
				for i, service := range []string{"a", "b", "a"} {
					current.Install(routed(int64(i+1), service))
					time.Sleep([]time.Duration{10, 5, 5}[i] * time.Second)
				}
				got, covers := current.LedWithin(c.within)
				slices.Sort(got)
				slices.Sort(c.want)
				if !slices.Equal(got, c.want) || covers != c.covers {
					t.Errorf("%v, covers %v, want %v, %v", got, covers, c.want, c.covers)
				}
			})
		})
	}
}

// Guards against a statement about a time of which a part was forgotten.
func TestForgottenRoutesAreNotCovered(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		current := &Current{}
		current.Install(routed(1, "b"))
		time.Sleep(time.Second)
		for i := range maxTenures {
			current.Install(routed(int64(i+2), "a"))
		}
		if got, covers := current.LedWithin(time.Second); covers {
			t.Errorf("%v counts as all routes", got)
		}
	})
}

// Guards against two tables that lead streams to different services and count as one.
func TestLeadsOfDifferentRoutesDiffer(t *testing.T) {
	split := func(weights ...int) []WeightedService {
		return []WeightedService{{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}}
	}
	seen := map[Leads]string{}
	for name, r := range map[string]Route{
		"one service": {Host: "h", Prefix: "/p/", Service: "a"}, "another": {Host: "h", Prefix: "/p/", Service: "b"},
		"other prefix": {Host: "h", Prefix: "/p", Service: "/a"}, "other host": {Host: "h/", Prefix: "p/", Service: "a"},
		"split": {Host: "h", Prefix: "/p/", Split: split(1, 2)}, "other weights": {Host: "h", Prefix: "/p/", Split: split(12, 0)},
	} {
		r.Kind, r.Resumable = Stream, true
		leads := NewTable(&Config{Version: 1, Routes: []Route{r}}).leads()
		if other, ok := seen[leads]; ok {
			t.Errorf("%s counts as %s", name, other)
		}
		seen[leads] = name
	}
}

// Guards against moves that count as none although another router may have had them in force.
func TestLostHistoryIsConfirmedForItsOwnConfigurationOnly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		current := &Current{FirstStart: true}
		current.Install(routed(1, "a"))
		current.SeenUpTo(1, 15, time.Now().Add(-time.Second)) // the copy of the store is as old
		time.Sleep(time.Second)
		current.Install(routed(3, "a"))
		if _, _, ok := current.Unconfirmed(); ok {
			t.Error("the store's history isn't asked for first")
		}
		since, unknown := current.UnknownSince()
		if since != fleet.Revision(15) || !unknown {
			t.Errorf("unknown since %v, %v", since, unknown)
		}
		current.HistoryLost(since)
		within, version, ok := current.Unconfirmed()
		if within != 2*time.Second || version != 3 || !ok {
			t.Errorf("unconfirmed for %v up to %d, %v", within, version, ok)
		}
		current.Install(routed(4, "a"))
		current.Confirm(version)
		if _, due := current.NextStated(true); due {
			t.Error("an answer about configuration 3 confirms configuration 4")
		}
		current.Confirm(4)
		if next, due := current.NextStated(true); !due || next.Version != 4 {
			t.Error("the history isn't complete")
		}
		current.Missed()
		current.Confirm(4)
		time.Sleep(time.Minute)
		if _, due := current.NextStated(true); due {
			t.Error("a configuration that can't be read counts as none after a stream's life")
		}
	})
}
