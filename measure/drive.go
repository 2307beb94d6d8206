package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeondale/client"
	"wigeondale/fleet"
	"wigeondale/load"
)

// Class describes the requests of one kind in the load of an experiment.
type Class struct {
	Name        string
	Rate        float64 // requests per second
	MaxTokens   int
	PromptBytes int
	Documents   int // distinct prompt prefixes
	Priority    fleet.Priority
	Timeout     time.Duration
}

// These are the classes of the detection experiment. Drafts are long generations of batch
// priority, and Lookups are short interactive generations. With a decode step of 30 ms, a
// draft takes 9 s.
var (
	Drafts = Class{Name: "draft", Rate: 5, MaxTokens: 300, PromptBytes: 8 << 10, Documents: 64,
		Priority: fleet.Batch, Timeout: 60 * time.Second}
	Lookups = Class{Name: "lookup", Rate: 20, MaxTokens: 8, PromptBytes: 512, Documents: 64,
		Priority: fleet.Interactive, Timeout: 10 * time.Second}
)

// Load is an open-loop load with seeded arrivals.
type Load struct {
	Classes  []Class
	Seed     uint64
	Duration time.Duration // arrivals stop after it; Drive waits for open requests to end
}

// Answer is the result of one request. Times are offsets from the start.
type Answer struct {
	Class      string
	Request    string // request id in the record of the stand-ins
	Prompt     string
	MaxTokens  int // tokens requested
	StartedAt  time.Duration
	EndedAt    time.Duration
	Tokens     []time.Duration // arrival of each token
	Text       string
	Outcome    fleet.Outcome
	Reason     string        // error or code of an incomplete answer
	RetryAfter time.Duration // Retry-After of an incomplete answer
	Losses     []Loss        // set by the start-over client only
}

// Sender sends one request and returns its answer when the request has ended.
type Sender func(ctx context.Context, start time.Time, a *Arrival) Answer

// Arrival is one request to send.
type Arrival struct {
	Class  Class
	At     time.Duration
	Prompt string
	Key    string
}

// ThroughRouters returns a Sender that uses the client library, for the main client account.
func ThroughRouters(r *Running) Sender { return clientSender(r, Account, APIKey) }

func newAnswer(start time.Time, a *Arrival) Answer {
	return Answer{
		Class: a.Class.Name, Request: load.RequestID(Account, a.Key), Prompt: a.Prompt, MaxTokens: a.Class.MaxTokens,
		StartedAt: time.Since(start), Tokens: make([]time.Duration, 0, a.Class.MaxTokens),
	}
}

// Drive sends all requests of the load and returns the answers once all requests have ended.
// It returns an error if an answer is wrong.
func Drive(ctx context.Context, start time.Time, l Load, send Sender) ([]Answer, error) {
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []Answer
	)
	for _, a := range l.arrivals() {
		if !load.SleepUntil(ctx, start.Add(a.At)) {
			break
		}
		wg.Go(func() {
			got := send(ctx, start, &a)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got)
		})
	}
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return answers, Error.Wrap(err)
	}
	return answers, checkAll(answers)
}

// checkAll fails on the first answer that is not the text of a single generation. An answer
// that ended with an error may be truncated, but its tokens must be right.
func checkAll(answers []Answer) error {
	for i := range answers {
		a := &answers[i]
		finish := ""
		if len(a.Tokens) == a.MaxTokens {
			finish = "length"
		}
		rep := load.Check(a.Prompt, a.MaxTokens, client.Result{Text: a.Text, Outcome: a.Outcome, Finish: finish})
		if !rep.OK {
			return Error.New("wrong answer to request %s (%s): %+v", a.Request, a.Outcome, rep)
		}
	}
	return nil
}

// arrivals returns the schedule, which depends only on the load and its seed and so is the
// same for each fleet.
func (l Load) arrivals() []Arrival {
	var all []Arrival
	for i, c := range l.Classes {
		rng := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		docs := documents(c, rng)
		var at time.Duration
		for n := 0; ; n++ {
			at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
			if at > l.Duration {
				break
			}
			all = append(all, Arrival{
				Class: c, At: at,
				Prompt: docs[rng.IntN(len(docs))] + fmt.Sprintf("\nRequest %d of %s.", n, c.Name),
				Key:    fmt.Sprintf("measure-%d-%s-%d", l.Seed, c.Name, n),
			})
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

func documents(c Class, rng *rand.Rand) []string {
	docs := make([]string, max(c.Documents, 1))
	for i := range docs {
		var b strings.Builder
		fmt.Fprintf(&b, "Document %d of %s:", i, c.Name)
		for b.Len() < c.PromptBytes {
			fmt.Fprintf(&b, " %08x", rng.Uint32())
		}
		docs[i] = b.String()
	}
	return docs
}
