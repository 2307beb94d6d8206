package soak

import (
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	fakes "wigeondale/fakes/hosted"
)

// Guards against text or an early end in a stream that counts as right.
func TestTextInAStreamIsJudged(t *testing.T) {
	head := "HTTP/1.1 404 Not Found\r\n\r\n"
	for body, broken := range map[string]bool{
		fakes.Chunk("q", 4) + fakes.Chunk("q", 5): false, fakes.Chunk("q", 4): true, fakes.Chunk("q", 4) + "id: 5\ndata: " + fakes.ErrorText + "\n\n": true,
		fakes.Chunk("q", 4) + fakes.ErrorText: true, fakes.Chunk("q", 4) + head + fakes.Chunk("q", 5): true, ": " + fakes.ErrorText + "\n\n" + fakes.Chunk("q", 4): true,
	} {
		r := newPlatformRun(Config{Unfit: true, Chunks: 5})
		c := &platformClient{run: r, rng: rand.New(rand.NewPCG(1, 1))} // with this seed the client reads its stream to the end
		c.readStream(strings.NewReader(body), &softwareStream{id: "a", last: 3}, &result{id: "q"})
		if got := len(r.checks.violations) > 0; got != broken {
			t.Errorf("%q: broken %t: %v", body, got, r.checks.violations)
		}
	}
	if (&result{id: "q", kind: "draft", status: 404, body: fakes.ErrorText}).brokenPromise() == "" {
		t.Error("a new stream may get the answer to a request that continues one")
	}
}

// Guards against an answer to a take-up that isn't the replica's own, or an early end that no replica gave, and counts as right.
func TestUnfitAnswersAreJudged(t *testing.T) {
	cut := io.ErrUnexpectedEOF
	for name, c := range map[string]struct {
		answer unfitAnswer
		unfit  string // answer of the replica
		broken bool
	}{
		"passed on":                      {unfitAnswer{had: 3, status: 404, body: fakes.ErrorText}, "status 404", false},
		"passed on, chunks":              {unfitAnswer{had: 3, status: 404, body: fakes.ErrorText}, "status 404, chunks", false},
		"passed on in part":              {unfitAnswer{had: 3, status: 404, body: fakes.ErrorText[:4], err: cut}, "status 404", false},
		"a part that looks whole":        {unfitAnswer{had: 3, status: 200, body: fakes.ErrorText[:4]}, "JSON", true},
		"another status":                 {unfitAnswer{had: 3, status: 200, body: fakes.ErrorText}, "status 404", true},
		"text more":                      {unfitAnswer{had: 3, status: 404, body: "x" + fakes.ErrorText}, "status 404", true},
		"of no replica":                  {unfitAnswer{had: 3, status: 404, body: fakes.ErrorText}, "", true},
		"to a new stream":                {unfitAnswer{status: 404, body: fakes.ErrorText}, "status 404", true},
		"a refusal of the router":        {unfitAnswer{had: 3, status: 503, body: "busy"}, "", false},
		"a success that is no stream":    {unfitAnswer{had: 3, status: 200}, "", true},
		"its replica has nothing left":   {unfitAnswer{had: 3, status: 200, stream: true}, "stream, empty", false},
		"its replica gave an error":      {unfitAnswer{had: 3, status: 200, stream: true}, "status 404", true},
		"no replica says that it is all": {unfitAnswer{had: 3, status: 200, stream: true}, "", true},
	} {
		k := newChecks(false)
		c.answer.request = "q"
		k.unfit.add(c.answer)
		k.checkUnfit(map[string][]visit{"q": {{unfit: c.unfit}}})
		if got := len(k.violations) > 0; got != c.broken {
			t.Errorf("%s: broken %t: %v", name, got, k.violations)
		}
	}
}
