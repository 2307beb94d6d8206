package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"mime"
	"net/http"
	"slices"
	"strings"
	"sync"

	"wigeondale/fakes/engine"
	fakes "wigeondale/fakes/hosted"
)

const (
	// unfitShare is how often the fault of Config.Unfit is in the list of faults.
	unfitShare = 8
	// maxErrorBody bounds what a client reads of an answer that is no stream.
	maxErrorBody = 4 << 10
)

// unfitFaults lists the faults of Config.Unfit.
func (r *platformRun) unfitFaults() []fault {
	if !r.cfg.Unfit {
		return nil
	}
	return slices.Repeat([]fault{{"streams break off, and engines answer unfit", r.answerUnfit}}, unfitShare)
}

// answerUnfit makes some engines give unfit answers to requests that continue a stream, while streams break off at some engines or are
// reset at all, or one engine crashes.
func (r *platformRun) answerUnfit() (end func()) {
	engines := slices.Concat(r.replicasOf("llm"), r.replicasOf(movedService))
	r.rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	name := drawUnfit(r.rng, fakes.UnfitAnswers(1))
	unfit, breaking := drawPart(r.rng, len(engines)), drawPart(r.rng, len(engines))
	if fakes.NothingLeft(name) {
		unfit = 1
	}
	how := r.rng.IntN(3)
	r.history.add(fmt.Sprintf("%q at %d engines, %s", name, unfit, []string{fmt.Sprint(breaking, " break off"), "all are reset", "one crashes"}[how]))
	var ends []func()
	for i, rep := range engines {
		r.mu.Lock()
		f := r.baseFaults(rep)
		r.mu.Unlock()
		f.BreaksOff = how == 0 && len(engines)-i <= breaking
		if i < unfit {
			f.Unfit = name
		}
		ends = append(ends, r.misbehaveAt(rep, f))
		if how == 1 {
			ends = append(ends, r.recordHarm(rep))
			rep.Listener().Reset()
		}
	}
	if how == 2 {
		ends = append(ends, r.crash(engines[len(engines)-1]))
	}
	return func() { endAll(ends) }
}

func endAll(ends []func()) {
	for _, end := range ends {
		end()
	}
}

// drawPart draws one, half or all of n.
func drawPart(rng *rand.Rand, n int) int { return []int{1, (n + 1) / 2, n}[rng.IntN(3)] }

// drawUnfit draws the name of an answer. Half of the draws exclude answers that differ by their status alone.
func drawUnfit[A any](rng *rand.Rand, answers map[string]A) string {
	names := slices.Sorted(maps.Keys(answers))
	if rng.IntN(2) == 0 {
		names = slices.DeleteFunc(names, func(name string) bool { return strings.HasPrefix(name, "status ") })
	}
	return names[rng.IntN(len(names))]
}

// unfitFaults lists the faults of Config.Unfit.
func (r *productRun) unfitFaults() []fault {
	if !r.cfg.Unfit {
		return nil
	}
	return slices.Repeat([]fault{{"streams break off, and engines answer unfit", r.answerUnfit}}, unfitShare)
}

// answerUnfit makes some engines give unfit answers to requests that continue or attach to a stream, while connections of engines are reset or
// an engine crashes.
func (r *productRun) answerUnfit() (end func()) {
	name, order := drawUnfit(r.rng, engine.UnfitAnswers), r.rng.Perm(r.cfg.Engines)
	unfit, breaking, crashes := drawPart(r.rng, len(order)), drawPart(r.rng, len(order)), r.rng.IntN(3) == 0
	r.history.add(fmt.Sprintf("%q at %d engines, %d are reset, one crashes: %t", name, unfit, breaking, crashes))
	var ends []func()
	turn := func(i int, on, args, off, offArgs string) {
		id := fmt.Sprintf("e%d", i)
		r.setFault(id, on, args)
		ends = append(ends, func() { r.setFault(id, off, offArgs) })
	}
	kind, _ := json.Marshal(name) // a string has an encoding
	for _, i := range order[:unfit] {
		turn(i, "unfit", fmt.Sprintf(`{"kind":%s}`, kind), "unfit", `{"on":false}`)
	}
	for _, i := range order[len(order)-breaking:] {
		r.setFault(fmt.Sprintf("e%d", i), "break", "")
	}
	if crashes {
		turn(order[len(order)-1], "kill", "", "start", "")
	}
	return func() { endAll(ends) }
}

// unfitRecord holds the answers to streams of clients that aren't streams with chunks.
type unfitRecord struct {
	mu      sync.Mutex
	answers []unfitAnswer
}

type unfitAnswer struct {
	request string
	had     int // chunks that the client had; 0 for a new stream
	stream  bool
	status  int
	body    string
	err     error // the connection failed within the body
}

// isStream reports whether a client reads an answer as a stream.
func isStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && resp.StatusCode == http.StatusOK && mediaType == "text/event-stream"
}

// belongsToChunk reports whether a line, or the beginning of one, may be a line of a chunk.
func belongsToChunk(line string) bool {
	return slices.ContainsFunc([]string{"id: ", "data: "}, func(field string) bool {
		return strings.HasPrefix(line, field) || strings.HasPrefix(field, line)
	})
}

// addAnswer keeps an answer that is no stream.
func (u *unfitRecord) addAnswer(resp *http.Response, request string, had int) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	u.add(unfitAnswer{request, had, false, resp.StatusCode, string(body), err})
}

// addEmpty keeps a stream that ends without a chunk.
func (u *unfitRecord) addEmpty(request string, had int) {
	u.add(unfitAnswer{request: request, had: had, stream: true, status: http.StatusOK})
}

func (u *unfitRecord) add(a unfitAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers = append(u.answers, a)
}

// checkUnfit records a violation for each answer that isn't one that a replica gave to the request of the client. An empty stream may be
// passed on to a client that takes its stream up if no replica that can be asked has more.
func (c *checks) checkUnfit(visits map[string][]visit) {
	for _, a := range c.unfit.answers {
		if !a.stream && a.status != http.StatusOK && !strings.Contains(a.body, fakes.ErrorText) {
			continue // of the router, or without a body to tell it by
		}
		if !slices.ContainsFunc(visits[a.request], func(v visit) bool { return a.isOf(v.unfit) }) {
			c.violated(a.promise(), a.request, fmt.Sprintf("after %d pieces: status %d, a stream: %t, cut %v, body %.80q", a.had, a.status, a.stream, a.err, a.body))
		}
	}
}

func (a *unfitAnswer) promise() string {
	if a.stream {
		return "an answer that ends early does not look whole"
	}
	return "the first answer to a client that takes a stream up is passed on unchanged"
}

// isOf reports whether the answer of a client is one of fakes.UnfitAnswers.
func (a *unfitAnswer) isOf(name string) bool {
	if a.had == 0 || name == "" {
		return false
	}
	if a.stream {
		return fakes.NothingLeft(name)
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(fakes.UnfitAnswers(a.had + 1)[name])), nil)
	if err != nil || resp.StatusCode != a.status {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && (string(body) == a.body || a.err != nil && strings.HasPrefix(string(body), a.body))
}
