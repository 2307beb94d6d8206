package route

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A request must be handled by the route with the longest prefix. If the first match were used
// instead, a request would go to the service of a shorter prefix after a route was added below
// that prefix.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "c"})
		prefixes := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) string {
			parts := rapid.SliceOfN(segment, 1, 3).Draw(t, "parts")
			return "/" + strings.Join(parts, "/") + "/"
		}), 1, 8, rapid.ID).Draw(t, "prefixes")
		cfg := &Config{Version: 1}
		for _, p := range prefixes {
			cfg.Routes = append(cfg.Routes, Route{Name: p, Host: "h.example", Prefix: p})
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 1, 5).Draw(t, "path"), "/")
		got, ok := NewTable(cfg).Match("H.example:8080", path)
		want := ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		if ok != (want != "") || (ok && got.Prefix != want) {
			t.Fatalf("path %s over %v: got %v, want %q", path, prefixes, got, want)
		}
	})
}

// The highest version must be in force, not the version that arrived last. If a stale read
// that delivers an older version replaced the new version, an account whose key was revoked
// would be served again.
func TestVersionOnlyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Current
		highest := int64(0)
		for _, v := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(t, "versions") {
			installed := c.Install(NewTable(&Config{Version: v}))
			if installed != (v > highest) {
				t.Fatalf("version %d after %d: installed %v", v, highest, installed)
			}
			highest = max(highest, v)
			if got := c.Get().Version; got != highest {
				t.Fatalf("in force %d, want %d", got, highest)
			}
		}
	})
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Service: "a", Split: []WeightedService{{"a", 90}, {"b", 10}}}
	n := map[string]int{}
	for i := range uint64(1000) {
		n[r.Pick(i)]++
	}
	if n["a"] != 900 || n["b"] != 100 {
		t.Errorf("got %v", n)
	}
}

func TestWhatMayBeRepeated(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Once}, false},
		{Route{Kind: Repeatable}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: Once, Resumable: true}, false},
	} {
		if got := c.route.Replayable(); got != c.want {
			t.Errorf("%s, resumable %v: got %v", c.route.Kind, c.route.Resumable, got)
		}
	}
}

// Guards against records of all streams that are sent since routes were added or removed, and against a move that isn't noticed.
func TestOnlyStreamsThatAreLedElsewhereCountAsMoved(t *testing.T) {
	stream := func(prefix, service string) Route {
		return Route{Host: "h", Prefix: prefix, Service: service, Kind: Stream, Timeout: time.Minute}
	}
	plain := Route{Host: "h", Prefix: "/plain/", Service: "app", Kind: Repeatable}
	shorter := stream("/a/", "s")
	shorter.Timeout = time.Second
	for name, c := range map[string]struct {
		next []Route
		want int
	}{
		"the same":              {[]Route{stream("/a/", "s"), stream("/b/", "s")}, 0},
		"in another order":      {[]Route{stream("/b/", "s"), stream("/a/", "s")}, 0},
		"another timeout":       {[]Route{shorter, stream("/b/", "s")}, 0},
		"one is added":          {[]Route{stream("/a/", "s"), stream("/b/", "s"), stream("/c/", "t")}, 0},
		"a plain one is added":  {[]Route{stream("/a/", "s"), stream("/b/", "s"), plain}, 0},
		"one is removed":        {[]Route{stream("/a/", "s")}, 0},
		"one moves":             {[]Route{stream("/a/", "s"), stream("/b/", "t")}, 1},
		"one is split off":      {[]Route{stream("/a/", "s"), stream("/a/x/", "t"), stream("/b/", "s")}, 1},
		"split off to the same": {[]Route{stream("/a/", "s"), stream("/a/x/", "s"), stream("/b/", "s")}, 0},
	} {
		var cur Current
		cur.Install(NewTable(&Config{Version: 1, Routes: []Route{stream("/a/", "s"), stream("/b/", "s")}}))
		cur.Install(NewTable(&Config{Version: 2, Routes: c.next}))
		if got := cur.RecentMoves(); got != c.want {
			t.Errorf("%s: %d moves, want %d", name, got, c.want)
		}
	}
}
