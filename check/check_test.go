package check

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func randSource(t *rapid.T, name string) func() uint16 {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, name), 0))
	return func() uint16 { return uint16(rng.Uint32()) }
}

func join(tokens []string) string { return strings.Join(tokens, "") }

// Each kind of damage must be detected: missing or repeated tokens, and a text that
// continues with another generation. Such damage occurs when an engine dies, another engine
// continues from a wrong position or with a text of its own, and the parts are joined
// without regard to index or generation.
func TestAnswerFindsEachDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		n := rapid.IntRange(2, 40).Draw(t, "n")
		tokens := strings.SplitAfter(Text(prompt, n, randSource(t, "a")), " ")[1:]
		for i, w := range tokens {
			tokens[i] = " " + strings.TrimSpace(w)
		}
		other := Text(prompt, n, randSource(t, "b"))
		at := rapid.IntRange(1, n-1).Draw(t, "at")
		size := rapid.IntRange(1, n-at).Draw(t, "size")
		prefix, rest := join(tokens[:at]), join(tokens[at:])

		resumed := NewChain(prompt, prefix, at)
		text := []byte(prefix)
		for resumed.NextIndex() < n {
			text = resumed.Append(text, 7)
		}
		want := func(text string, r Report) {
			r.OK = r == Report{Tokens: n}
			if diff := cmp.Diff(r, Answer(prompt, text)); diff != "" {
				t.Fatalf("%q: %s", text, diff)
			}
		}
		want(prefix+rest, Report{Tokens: n})
		want(string(text), Report{Tokens: n})
		want(prefix+join(tokens[at-1:at])+rest, Report{Tokens: n + 1, Repeated: 1})
		want(prefix+rest+join(tokens[at:at+size]), Report{Tokens: n + size, Repeated: size})
		want(join(tokens[at:]), Report{Tokens: n - at, Missing: at})
		want(prefix+" x"+rest, Report{Tokens: n, Malformed: 1})
		if other[:len(prefix)] != prefix {
			want(prefix+other[len(prefix):], Report{Tokens: n, Spliced: 1})
		}
	})
}
