package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"wigeondale/fleet"
)

// Exit codes of wigeonload.
const (
	ExitOK     = 0
	ExitFailed = 1 // an answer failed its check, or the run could not be completed
	ExitUsage  = 2
)

type common struct {
	Endpoint []string `arg:"--endpoint,separate" help:"router's caller address, as in http://127.0.0.1:8080; repeat for more"`
	APIKey   string   `arg:"--api-key,env:WIGEON_API_KEY" help:"API key of the client account"`
	Account  string   `arg:"--account" default:"acme-notas" help:"client account of the key, to find its requests in the record"`
	Model    string   `arg:"--model" default:"redactor-llm" help:"model to ask"`
	Record   string   `arg:"--record" help:"URL of the stand-ins' record, for resume latency and extra tokens"`
	JSON     bool     `arg:"--json" help:"print JSON"`
	Tries    int      `arg:"--tries" default:"12" help:"tries of each request"`
	IdleMS   int      `arg:"--idle-ms" help:"leave a router that is silent for so many milliseconds; 0 waits"`
}

type runCommand struct {
	Seed       uint64  `arg:"--seed" default:"1"`
	Seconds    float64 `arg:"--seconds" default:"10" help:"arrivals stop after it"`
	Requests   int     `arg:"--requests" default:"10000" help:"arrivals stop after so many"`
	Limit      float64 `arg:"--limit-seconds" default:"0" help:"the whole run ends after it; 0 is four times --seconds"`
	Curves     string  `arg:"--curves" help:"CSV file for the percentile curves"`
	DraftRate  float64 `arg:"--draft-rate" default:"2" help:"long drafts a second"`
	DraftLen   int     `arg:"--draft-tokens" default:"400"`
	DraftBytes int     `arg:"--draft-bytes" default:"8192" help:"bytes of prompt"`
	DraftMS    int     `arg:"--draft-timeout-ms" default:"60000"`
	LookupRate float64 `arg:"--lookup-rate" default:"10" help:"small generations a second"`
	LookupLen  int     `arg:"--lookup-tokens" default:"8"`
	LookupSize int     `arg:"--lookup-bytes" default:"512" help:"bytes of prompt"`
	LookupMS   int     `arg:"--lookup-timeout-ms" default:"5000"`
	CallRate   float64 `arg:"--call-rate" default:"0" help:"plain lookups a second"`
	Service    string  `arg:"--service" default:"tags" help:"plain service that --call-rate asks"`
	CallPath   string  `arg:"--call-path" default:"lookup/v1"`
	CallMS     int     `arg:"--call-timeout-ms" default:"2000"`
	Prefixes   int     `arg:"--prefixes" default:"8" help:"distinct documents of each class"`
}

type oneCommand struct {
	PromptFile string `arg:"--prompt-file" help:"file that holds the prompt"`
	Prompt     string `arg:"--prompt" help:"the prompt itself"`
	Tokens     int    `arg:"--tokens" default:"200"`
	TimeoutMS  int    `arg:"--timeout-ms" default:"60000"`
	Key        string `arg:"--key" help:"idempotency key; made when absent"`
	NonIdem    bool   `arg:"--non-idempotent"`
	Priority   string `arg:"--priority" default:"batch" help:"interactive or batch"`
	Progress   int    `arg:"--progress" default:"0" help:"print a line each so many tokens"`
}

type whoCommand struct {
	Key string `arg:"--key" help:"idempotency key of the request; any request when absent"`
}

type args struct {
	Run *runCommand `arg:"subcommand:run" help:"send open-loop load and print latencies and checks"`
	One *oneCommand `arg:"subcommand:one" help:"run one generation and print its check"`
	Who *whoCommand `arg:"subcommand:who" help:"print the engine that runs a request now, from the record"`
	common
}

// Description implements arg.Described.
func (args) Description() string {
	return "wigeonload sends load through wigeondale and checks every answer.\n" +
		"Exit codes: 0 every check held; 1 a check failed or the run broke off; 2 usage."
}

// Main runs wigeonload with the arguments argv (without the program's name) and returns the
// exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "wigeonload"}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := p.Parse(argv); {
	case err == arg.ErrHelp:
		p.WriteHelp(stdout)
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, "wigeonload:", err)
		return ExitUsage
	case a.Who == nil && len(a.Endpoint) == 0:
		fmt.Fprintln(stderr, "wigeonload: want a subcommand (run, one or who) and --endpoint")
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch {
	case a.Run != nil:
		return a.run(ctx, stdout, stderr)
	case a.One != nil:
		return a.one(ctx, stdout, stderr)
	case a.Who != nil:
		return a.who(ctx, stdout, stderr)
	}
	fmt.Fprintln(stderr, "wigeonload: want a subcommand (run, one or who)")
	return ExitUsage
}

func (a *args) who(ctx context.Context, stdout, stderr io.Writer) int {
	rec, err := FetchRecord(ctx, a.Record)
	if err != nil {
		fmt.Fprintln(stderr, "wigeonload:", err)
		return ExitFailed
	}
	request := ""
	if a.Who.Key != "" {
		request = RequestID(a.Account, a.Who.Key)
	}
	engine := rec.Serving(request)
	if engine == "" {
		fmt.Fprintln(stderr, "wigeonload: no engine runs it")
		return ExitFailed
	}
	fmt.Fprintln(stdout, engine)
	return ExitOK
}

func (a *args) run(ctx context.Context, stdout, stderr io.Writer) int {
	cfg := a.config()
	limit := time.Duration(a.Run.Limit * float64(time.Second))
	if limit <= 0 {
		limit = 4 * cfg.Duration
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := Run(ctx, cfg)
	if err != nil {
		fmt.Fprintln(stderr, "wigeonload:", err)
	}
	if res == nil {
		return ExitFailed
	}
	if a.JSON {
		printJSON(stdout, res)
	} else {
		res.Print(stdout)
	}
	if err := saveCurves(res, a.Run.Curves); err != nil {
		fmt.Fprintln(stderr, "wigeonload:", err)
		return ExitFailed
	}
	if err != nil || !res.OK {
		return ExitFailed
	}
	return ExitOK
}

func (a *args) config() Config {
	r := a.Run
	return Config{
		Endpoints:   a.Endpoint,
		APIKey:      a.APIKey,
		Account:     a.Account,
		Model:       a.Model,
		Seed:        r.Seed,
		Duration:    time.Duration(r.Seconds * float64(time.Second)),
		MaxRequests: r.Requests,
		MaxTries:    a.Tries,
		IdleTimeout: ms(a.IdleMS),
		RecordURL:   a.Record,
		Classes: []Class{
			{Name: "draft", Rate: r.DraftRate, MaxTokens: r.DraftLen, PromptBytes: r.DraftBytes,
				Prefixes: r.Prefixes, Priority: fleet.Batch, Timeout: ms(r.DraftMS)},
			{Name: "lookup", Rate: r.LookupRate, MaxTokens: r.LookupLen, PromptBytes: r.LookupSize,
				Prefixes: r.Prefixes, Priority: fleet.Interactive, Timeout: ms(r.LookupMS)},
			{Name: "call", Rate: r.CallRate, Service: r.Service, Path: r.CallPath,
				Priority: fleet.Interactive, Timeout: ms(r.CallMS)},
		},
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // if standard output is closed, the error cannot be reported there either
}

func saveCurves(res *Result, path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := res.WriteCurves(f); err != nil {
		f.Close()
		return err
	}
	return Error.Wrap(f.Close())
}
