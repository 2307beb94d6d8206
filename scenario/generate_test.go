package scenario

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeondale/client"
	"wigeondale/fleet"
	"wigeondale/load"
)

// gen is one generation that runs in the background of the script.
type gen struct {
	name, prompt, key string
	maxTokens         int
	nonIdempotent     bool
	cancel            context.CancelFunc
	done              chan struct{}

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change of the fields below
	tokens   int
	endpoint string
	cursor   string        // id of the latest event
	proto    string        // HTTP version of the latest answer
	res      client.Result // valid once done is closed
	err      error         // valid once done is closed
}

// generate starts a generation: NAME [-key k] [-non-idempotent] [-router i]
// [-tokens n] [-timeout d] [-idle d] [-tries n] [-prompt text] [-http1]. It runs in the background.
func (f *testFleet) generate(args []string) error {
	args = slices.DeleteFunc(slices.Clone(args), func(s string) bool { return s == "&" })
	if len(args) == 0 || f.gen(args[0]) != nil {
		return fmt.Errorf("the generation has no name, or the name is in use")
	}
	fs := flag.NewFlagSet("generate", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	key := fs.String("key", args[0], "idempotency key")
	nonIdempotent := fs.Bool("non-idempotent", false, "")
	firstRouter := fs.Int("router", 1, "number of the router to begin with")
	tokens := fs.Int("tokens", 300, "")
	timeout := fs.Duration("timeout", hangTimeout, "")
	idle := fs.Duration("idle", 0, "leave a router that is silent for so long")
	tries := fs.Int("tries", 0, "")
	prompt := fs.String("prompt", "", "made from the key if empty")
	http1 := fs.Bool("http1", false, "no HTTP/2 where it would be negotiated")
	if err := fs.Parse(args[1:]); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &gen{
		name: args[0], key: *key, maxTokens: *tokens, nonIdempotent: *nonIdempotent, cancel: cancel,
		prompt: cmp.Or(*prompt, "Summarise for "+*key+": "+strings.Repeat("fix a lost line break; ", 40)),
		done:   make(chan struct{}), changed: make(chan struct{}),
	}
	c := client.New(f.endpoints(*firstRouter), apiKey, client.Options{
		IdleTimeout: *idle, MaxTries: *tries, HTTP: &http.Client{Transport: &cursorRecorder{g: g, next: f.tls.transport(*http1)}},
		OnConnect: func(e string) { g.change(func() { g.endpoint = e }) },
	})
	f.mu.Lock()
	f.gens[g.name] = g
	f.mu.Unlock()
	go g.run(ctx, c, *timeout)
	return nil
}

func (g *gen) run(ctx context.Context, c *client.Client, timeout time.Duration) {
	res, err := c.Generate(ctx, client.Request{
		Model: model, Prompt: g.prompt, MaxTokens: g.maxTokens, Key: g.key,
		NonIdempotent: g.nonIdempotent, Timeout: timeout, Priority: fleet.Batch,
	}, func(text string) {
		g.change(func() { g.tokens += strings.Count(text, " ") })
	})
	g.change(func() { g.res, g.err = res, err })
	close(g.done)
}

func (g *gen) change(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

// await returns nil once the answer has n tokens, or an error if the generation ends before
// or hangTimeout passes.
func (g *gen) await(n int) error {
	deadline := time.After(hangTimeout)
	for {
		g.mu.Lock()
		got, news := g.tokens, g.changed
		g.mu.Unlock()
		if got >= n {
			return nil
		}
		select {
		case <-news:
		case <-g.done:
			return fmt.Errorf("%s ended with %d tokens: %s, %v", g.name, got, g.res.Outcome, g.err)
		case <-deadline:
			return fmt.Errorf("hung: %s has %d tokens, not %d", g.name, got, n)
		}
	}
}

func (g *gen) awaitDone() error {
	select {
	case <-g.done:
		return nil
	case <-time.After(hangTimeout):
		return fmt.Errorf("hung: %s has %d tokens", g.name, g.tokens)
	}
}

// field returns the value of the named property of a generation, which the script command
// expect compares. It may be called only once done is closed.
func (g *gen) field(name string) string {
	switch name {
	case "outcome":
		return string(g.res.Outcome)
	case "reconnects":
		return fmt.Sprint(g.res.Reconnects)
	case "tokens":
		return fmt.Sprint(g.tokens)
	case "proto":
		return g.proto
	case "finish":
		return g.res.Finish
	}
	return "no such field"
}

func (f *testFleet) gen(name string) *gen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gens[name]
}

func (f *testFleet) allGens() []*gen {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*gen
	for _, g := range f.gens {
		list = append(list, g)
	}
	return list
}

func (f *testFleet) endpoints(first int) []string {
	var list []string
	for i := range f.routers {
		list = append(list, f.tls.scheme()+f.routers[(first-1+i)%len(f.routers)].caller)
	}
	return list
}

// checkAll checks the text of every answer token by token, and every outcome against the
// record of the engines.
func (f *testFleet) checkAll() error {
	ran := make(map[string]int) // dispatches that engines started, by request
	for _, e := range f.set.Record().Engines {
		for _, s := range e.Streams {
			ran[s.Request]++
		}
	}
	known := f.postedIDs()
	for _, g := range f.allGens() {
		if err := g.awaitDone(); err != nil {
			return err
		}
		id := load.RequestID(account, g.key)
		known[id] = true
		if err := g.check(ran[id]); err != nil {
			return err
		}
	}
	for id := range ran {
		if !known[id] {
			return fmt.Errorf("engines ran request %s, which no caller sent", id)
		}
	}
	return nil
}

func (g *gen) check(ran int) error {
	if rep := load.Check(g.prompt, g.maxTokens, g.res); !rep.OK {
		return fmt.Errorf("%s: answer fails its check: %+v (outcome %s, %v)", g.name, rep, g.res.Outcome, g.err)
	}
	switch {
	case g.res.Outcome == fleet.NotRun && ran > 0:
		return fmt.Errorf("%s: not-run, but engines started it %d times", g.name, ran)
	case g.res.Outcome == fleet.Complete && ran == 0:
		return fmt.Errorf("%s: complete, but no engine has it on record", g.name)
	case g.nonIdempotent && ran > 1:
		return fmt.Errorf("%s: non-idempotent, but engines started it %d times", g.name, ran)
	}
	return nil
}
