package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"wigeondale/fleet"
	"wigeondale/load"

	"github.com/rogpeppe/go-internal/testscript"
)

// Commands of the scripts on configuration, leaving and orders.
func init() {
	for name, c := range map[string]func(*testscript.TestScript, bool, []string){
		"unfenced": wrap(0, unfenced),       // before up: engines don't check fencing numbers
		"weights":  wrap(3, weightStore),    // before up: weights STORE-BYTES/S BUDGET-BYTES/S VERSION=BYTES...
		"begin":    wrap(1, begin),          // begin ROUTER: start, without waiting until it is ready
		"ready":    wrap(2, readyIs),        // ready ROUTER yes|no [TEXT]: waits; TEXT is in the reason
		"logged":   wrap(2, logged),         // logged ROUTER TEXT: waits for a line of its log
		"watches":  wrap(2, watches),        // watches PREFIX N: waits until so many are open
		"race":     wrap(3, race),           // race one|both PLAN PLAN: confirms both at once, at r1 and r2
		"post":     wrap(2, post),           // post NAME ROUTER [TOKENS]: sends a request and returns when its bytes have left
		"answered": wrap(2, answered),       // answered NAME STATUS|STATUS... [OUTCOME]
		"count":    wrap(1, countSent),      // count ENGINE: remembers what it was sent so far
		"nonew":    wrap(1, noNew),          // nonew ENGINE: fails if it was sent anything since
		"others":   wrap(1, others),         // others ROUTER: wigeonctl asks all but this one from now on
		"refused":  wrap(1, refusedBy),      // refused ROUTER: waits until it refuses a new request as not run
		"place":    wrap(3, place),          // place FILE ENGINE VERSION...: writes intents
		"rising":   wrap(0, rising),         // no engine followed an order after one of a higher number
		"looking":  wrap(1, looking),        // looking ROUTER: waits until it begins to look at the engines' orders
		"holder":   wrap(1, holder),         // holder VARIABLE [ROUTER]: waits until some router, but not this one, gives orders
		"engine":   wrap(3, engineStatus),   // engine ENGINE dotted.path VALUE|VALUE...: waits on its order status
		"atmost":   wrap(1, atMostLoads),    // atmost N: no more loads were under way at once
		"served":   wrap(2, servedVersions), // served VERSION N|N+: waits until so many engines, or more, serve it
	} {
		commands[name] = c
	}
}

func unfenced(b *bench, _ *testscript.TestScript, _ []string) error {
	b.unfenced = true
	return nil
}

func weightStore(b *bench, _ *testscript.TestScript, args []string) error {
	store, err1 := strconv.ParseFloat(args[0], 64)
	budget, err2 := strconv.ParseInt(args[1], 10, 64)
	b.storeRate, b.budgetRate, b.sizes = store, budget, map[string]int64{}
	for _, a := range args[2:] {
		version, size, _ := strings.Cut(a, "=")
		n, err := strconv.ParseInt(size, 10, 64)
		if err != nil {
			return err
		}
		b.sizes[model+"/"+version] = n
	}
	return errors.Join(err1, err2)
}

func begin(b *bench, _ *testscript.TestScript, args []string) error {
	r, err := b.mustRouter(args[0])
	if err != nil {
		return err
	}
	<-r.exited
	return r.start()
}

func readyIs(b *bench, _ *testscript.TestScript, args []string) error {
	r, err := b.mustRouter(args[0])
	if err != nil {
		return err
	}
	text, last := strings.Join(args[2:], " "), ""
	err = waitUntil("readiness of "+r.name, func() bool {
		resp, err := http.Get("http://" + r.admin + "/readyz")
		if err != nil {
			last = err.Error()
			return false
		}
		defer resp.Body.Close()
		var body bytes.Buffer
		body.ReadFrom(resp.Body)
		last = body.String()
		return (resp.StatusCode == http.StatusNoContent) == (args[1] == "yes") && strings.Contains(last, text)
	})
	if err != nil {
		return fmt.Errorf("%w: it says %q", err, last)
	}
	return nil
}

func logged(b *bench, _ *testscript.TestScript, args []string) error {
	r, err := b.mustRouter(args[0])
	if err != nil {
		return err
	}
	text := strings.Join(args[1:], " ")
	return waitUntil(r.name+" logs "+text, func() bool {
		data, err := os.ReadFile(r.log)
		return err == nil && bytes.Contains(data, []byte(text))
	})
}

func watches(b *bench, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	got := 0
	err = waitUntil("open watches", func() bool {
		got = b.set.KV.OpenWatches(args[0])
		return got == want
	})
	if err != nil {
		return fmt.Errorf("%w: %d, want %d", err, got, want)
	}
	return nil
}

// race confirms two plans at once and tells whether one or both were accepted.
// The plan that the loser is offered is kept as offer.json.
func race(b *bench, ts *testscript.TestScript, args []string) error {
	type result struct {
		stdout, stderr bytes.Buffer
		code           int
	}
	results := make([]*result, 2)
	done := make(chan struct{}, 2)
	for i := range results {
		res := &result{}
		results[i] = res
		cmd := exec.Command("wigeonctl", "--json", "confirm", ts.MkAbs(args[1+i]))
		cmd.Env = append(os.Environ(), "WIGEON_ADMIN="+b.routers[i].admin, "WIGEON_TOKEN="+operator)
		cmd.Stdout, cmd.Stderr = &res.stdout, &res.stderr
		go func() {
			cmd.Run() // its exit code is looked at
			res.code = cmd.ProcessState.ExitCode()
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	won := 0
	for _, res := range results {
		switch {
		case res.code == 0:
			won++
		case res.code != 1 || !strings.Contains(res.stderr.String(), "conflict"):
			return fmt.Errorf("the loser exits with %d: %s", res.code, res.stderr.String())
		default:
			if err := os.WriteFile(filepath.Join(b.dir, "offer.json"), res.stdout.Bytes(), 0o600); err != nil {
				return err
			}
		}
	}
	if want := map[string]int{"one": 1, "both": 2}[args[0]]; won != want {
		return fmt.Errorf("%d plans were accepted, want %d: %s%s", won, want, results[0].stderr.String(), results[1].stderr.String())
	}
	return nil
}

// posted is a request whose bytes lie in the router's socket.
type posted struct {
	done   chan struct{}
	answer *http.Response
	body   bytes.Buffer
	err    error
}

func post(b *bench, _ *testscript.TestScript, args []string) error {
	r, err := b.mustRouter(args[1])
	if err != nil {
		return err
	}
	conn, err := net.Dial("tcp", r.caller)
	if err != nil {
		return err
	}
	tokens := 20
	if len(args) > 2 {
		if tokens, err = strconv.Atoi(args[2]); err != nil {
			return err
		}
	}
	body, err := json.Marshal(map[string]any{"model": model, "prompt": "Summarise for " + args[0], "max_tokens": tokens})
	if err != nil {
		return err
	}
	text := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", apiKey, args[0], len(body), body)
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	p := &posted{done: make(chan struct{})}
	b.mu.Lock()
	if b.posts == nil {
		b.posts = map[string]*posted{}
	}
	b.posts[args[0]] = p
	b.mu.Unlock()
	go p.read(conn)
	return nil
}

func (p *posted) read(conn net.Conn) {
	defer close(p.done)
	defer conn.Close()
	if p.err = conn.SetReadDeadline(time.Now().Add(hung)); p.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if p.err = err; err != nil {
		return
	}
	defer resp.Body.Close()
	p.answer = resp
	_, p.err = p.body.ReadFrom(resp.Body)
}

func answered(b *bench, _ *testscript.TestScript, args []string) error {
	b.mu.Lock()
	p := b.posts[args[0]]
	b.mu.Unlock()
	if p == nil {
		return fmt.Errorf("nothing posted as %q", args[0])
	}
	<-p.done
	if p.err != nil {
		return p.err
	}
	status, outcome := strconv.Itoa(p.answer.StatusCode), p.answer.Header.Get("Wigeon-Outcome")
	if !slices.Contains(strings.Split(args[1], "|"), status) || len(args) > 2 && outcome != args[2] {
		return fmt.Errorf("%s: status %s, outcome %q: %s", args[0], status, outcome, p.body.String())
	}
	ran := 0
	for _, e := range b.set.Record().Engines {
		for _, s := range e.Streams {
			if s.Request == load.RequestID(account, args[0]) {
				ran++
			}
		}
	}
	if outcome == string(fleet.NotRun) && ran > 0 {
		return fmt.Errorf("%s: not-run, but engines began it %d times", args[0], ran)
	}
	return nil
}

// sentTo is how many dispatches a back end got.
func (b *bench) sentTo(id string) int {
	rec := b.set.Record()
	for _, e := range rec.Engines {
		if e.Engine == id {
			return len(e.Streams) + e.Refused
		}
	}
	for _, s := range rec.Services {
		if s.Backend == id {
			return s.Lookups + s.Bookings
		}
	}
	return 0
}

func countSent(b *bench, _ *testscript.TestScript, args []string) error {
	if b.marks == nil {
		b.marks = map[string]int{}
	}
	b.marks[args[0]] = b.sentTo(args[0])
	return nil
}

func noNew(b *bench, _ *testscript.TestScript, args []string) error {
	before, marked := b.marks[args[0]]
	if now := b.sentTo(args[0]); !marked || now != before {
		return fmt.Errorf("%s was sent %d requests before the mark and %d by now", args[0], before, now)
	}
	return nil
}

func others(b *bench, ts *testscript.TestScript, args []string) error {
	ts.Setenv("WIGEON_ADMIN", b.adminsBut(args[0]))
	return nil
}

func refusedBy(b *bench, ts *testscript.TestScript, args []string) error {
	return waitUntil(args[0]+" refuses new work", func() bool {
		name := fmt.Sprintf("refused-%d", b.posted())
		return post(b, ts, []string{name, args[0]}) == nil && answered(b, ts, []string{name, "503", string(fleet.NotRun)}) == nil
	})
}

func (b *bench) posted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.posts)
}

// postedIDs are the requests of the command post.
func (b *bench) postedIDs() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make(map[string]bool)
	for name := range b.posts {
		ids[load.RequestID(account, name)] = true
	}
	return ids
}
