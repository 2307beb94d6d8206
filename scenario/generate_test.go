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

// gen is one generation that runs beside the script.
type gen struct {
	name, prompt, key string
	maxTokens         int
	nonIdempotent     bool
	cancel            context.CancelFunc
	done              chan struct{}

	mu       sync.Mutex
	news     chan struct{} // closed at each change, then replaced
	tokens   int
	endpoint string
	cursor   string        // id of the latest event
	proto    string        // of the latest answer
	res      client.Result // after done
	err      error         // after done
}

// generate starts a generation: NAME [-key k] [-non-idempotent] [-router i]
// [-tokens n] [-timeout d] [-idle d] [-tries n] [-prompt text] [-http1]. It runs in the background.
func (b *bench) generate(args []string) error {
	args = slices.DeleteFunc(slices.Clone(args), func(s string) bool { return s == "&" })
	if len(args) == 0 || b.gen(args[0]) != nil {
		return fmt.Errorf("want a new name")
	}
	fs := flag.NewFlagSet("generate", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	key := fs.String("key", args[0], "idempotency key")
	non := fs.Bool("non-idempotent", false, "")
	first := fs.Int("router", 1, "number of the router to begin with")
	tokens := fs.Int("tokens", 300, "")
	timeout := fs.Duration("timeout", hung, "")
	idle := fs.Duration("idle", 0, "leave a router that is silent for so long")
	tries := fs.Int("tries", 0, "")
	prompt := fs.String("prompt", "", "made from the key if empty")
	http1 := fs.Bool("http1", false, "no HTTP/2 where it would be negotiated")
	if err := fs.Parse(args[1:]); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &gen{
		name: args[0], key: *key, maxTokens: *tokens, nonIdempotent: *non, cancel: cancel,
		prompt: cmp.Or(*prompt, "Summarise for "+*key+": "+strings.Repeat("fix a lost line break; ", 40)),
		done:   make(chan struct{}), news: make(chan struct{}),
	}
	c := client.New(b.endpoints(*first), apiKey, client.Options{
		IdleTimeout: *idle, MaxTries: *tries, HTTP: &http.Client{Transport: &cursorTap{g: g, next: b.tls.transport(*http1)}},
		OnConnect: func(e string) { g.change(func() { g.endpoint = e }) },
	})
	b.mu.Lock()
	b.gens[g.name] = g
	b.mu.Unlock()
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
	close(g.news)
	g.news = make(chan struct{})
}

// await returns once the answer has n tokens.
func (g *gen) await(n int) error {
	deadline := time.After(hung)
	for {
		g.mu.Lock()
		got, news := g.tokens, g.news
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
	case <-time.After(hung):
		return fmt.Errorf("hung: %s has %d tokens", g.name, g.tokens)
	}
}

// field is what the command expect compares; only after done.
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

func (b *bench) gen(name string) *gen {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gens[name]
}

func (b *bench) all() []*gen {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*gen
	for _, g := range b.gens {
		list = append(list, g)
	}
	return list
}

func (b *bench) endpoints(first int) []string {
	var list []string
	for i := range b.routers {
		list = append(list, b.tls.scheme()+b.routers[(first-1+i)%len(b.routers)].caller)
	}
	return list
}

// checkAll proves every answer by its own text, and every outcome by what the
// engines recorded.
func (b *bench) checkAll() error {
	ran := make(map[string]int) // dispatches that an engine began, by request
	for _, e := range b.set.Record().Engines {
		for _, s := range e.Streams {
			ran[s.Request]++
		}
	}
	known := b.postedIDs()
	for _, g := range b.all() {
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
		return fmt.Errorf("%s: not-run, but engines began it %d times", g.name, ran)
	case g.res.Outcome == fleet.Complete && ran == 0:
		return fmt.Errorf("%s: complete, but no engine has it on record", g.name)
	case g.nonIdempotent && ran > 1:
		return fmt.Errorf("%s: non-idempotent, but engines began it %d times", g.name, ran)
	}
	return nil
}
