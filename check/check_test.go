package check

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func source(t *rapid.T, name string) func() uint16 {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, name), 0))
	return func() uint16 { return uint16(rng.Uint32()) }
}

func join(tokens []string) string { return strings.Join(tokens, "") }

// Symptom: a caller's text lacks tokens, has some twice, or goes over from one
// generation to another, and nobody notices.
// Sequence: an engine dies; another continues, from a wrong place or with a
// text of its own.
// Cause: the answer was joined without regard to index or generation.
func TestAnswerFindsEachDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		n := rapid.IntRange(2, 40).Draw(t, "n")
		whole := strings.SplitAfter(Text(prompt, n, source(t, "a")), " ")[1:]
		for i, w := range whole {
			whole[i] = " " + strings.TrimSpace(w)
		}
		other := Text(prompt, n, source(t, "b"))
		at := rapid.IntRange(1, n-1).Draw(t, "at")
		size := rapid.IntRange(1, n-at).Draw(t, "size")
		prefix, rest := join(whole[:at]), join(whole[at:])

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
		want(prefix+join(whole[at-1:at])+rest, Report{Tokens: n + 1, Repeated: 1})
		want(prefix+rest+join(whole[at:at+size]), Report{Tokens: n + size, Repeated: size})
		want(join(whole[at:]), Report{Tokens: n - at, Missing: at})
		want(prefix+" x"+rest, Report{Tokens: n, Malformed: 1})
		if other[:len(prefix)] != prefix {
			want(prefix+other[len(prefix):], Report{Tokens: n, Spliced: 1})
		}
	})
}
