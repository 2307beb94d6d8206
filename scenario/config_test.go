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

// This init registers the script commands for configuration, for VMs that leave, and for
// orders to engines.
func init() {
	for name, c := range map[string]func(*testscript.TestScript, bool, []string){
		"unfenced": wrap(0, unfenced),        // before up: engines do not check fencing numbers
		"weights":  wrap(3, weightStore),     // before up: weights STORE-BYTES/S BUDGET-BYTES/S VERSION=BYTES...
		"begin":    wrap(1, startNoWait),     // begin ROUTER: starts the router again after it has exited, without waiting until the router is ready
		"ready":    wrap(2, waitReady),       // ready ROUTER yes|no [TEXT]: waits until /readyz reports that the router is ready or, with no, that the router is not ready, and has TEXT in its body
		"logged":   wrap(2, logged),          // logged ROUTER TEXT: waits until the router's log contains TEXT
		"watches":  wrap(2, watches),         // watches PREFIX N: waits until N watches of the prefix are open
		"race":     wrap(3, race),            // race one|both PLAN PLAN: confirms the plans at the same time, at r1 and r2
		"post":     wrap(2, post),            // post NAME ROUTER [TOKENS]: writes a request to the router's socket and returns without waiting for the answer
		"answered": wrap(2, answered),        // answered NAME STATUS|STATUS... [OUTCOME]: waits for the answer to post and compares it
		"count":    wrap(1, count),           // count ENGINE: stores how many dispatches the engine has received
		"nonew":    wrap(1, noNew),           // nonew ENGINE: fails if the engine has received a dispatch since the command count
		"others":   wrap(1, excludeRouter),   // others ROUTER: from now on wigeonctl connects to all routers except this one
		"refused":  wrap(1, waitRefused),     // refused ROUTER: waits until the router refuses a new request as not run
		"place":    wrap(3, place),           // place FILE ENGINE VERSION...: writes an intent that places the versions on the engine
		"rising":   wrap(0, checkFencesRise), // fails if an engine executed an order after an order with a higher fencing number
		"looking":  wrap(1, waitOrderRound),  // looking ROUTER: waits until the router starts another round over the engines' order status
		"holder":   wrap(1, waitHolder),      // holder VARIABLE [ROUTER]: waits until a router other than ROUTER holds the lease for orders and sets VARIABLE
		"engine":   wrap(3, engineStatus),    // engine ENGINE dotted.path VALUE|VALUE...: waits until the engine's order status has one of the values
		"atmost":   wrap(1, atMostLoads),     // atmost N: fails if more than N loads from the weight store ran at once
		"served":   wrap(2, servedVersions),  // served VERSION N|N+: waits until N engines (with +: at least N) serve the version
	} {
		commands[name] = c
	}
}

func unfenced(f *testFleet, _ *testscript.TestScript, _ []string) error {
	f.unfenced = true
	return nil
}

func weightStore(f *testFleet, _ *testscript.TestScript, args []string) error {
	store, err1 := strconv.ParseFloat(args[0], 64)
	budget, err2 := strconv.ParseInt(args[1], 10, 64)
	f.weightStoreRate, f.weightBudgetRate, f.weightSizes = store, budget, map[string]int64{}
	for _, a := range args[2:] {
		version, size, _ := strings.Cut(a, "=")
		n, err := strconv.ParseInt(size, 10, 64)
		if err != nil {
			return err
		}
		f.weightSizes[model+"/"+version] = n
	}
	return errors.Join(err1, err2)
}

func startNoWait(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[0])
	if err != nil {
		return err
	}
	<-r.exited
	return r.start()
}

func waitReady(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[0])
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
		return fmt.Errorf("%w: /readyz answers %q", err, last)
	}
	return nil
}

func logged(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[0])
	if err != nil {
		return err
	}
	text := strings.Join(args[1:], " ")
	return waitUntil(r.name+" logs "+text, func() bool {
		data, err := os.ReadFile(r.logFile)
		return err == nil && bytes.Contains(data, []byte(text))
	})
}

func watches(f *testFleet, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	got := 0
	err = waitUntil("open watches", func() bool {
		got = f.set.KV.OpenWatches(args[0])
		return got == want
	})
	if err != nil {
		return fmt.Errorf("%w: %d, want %d", err, got, want)
	}
	return nil
}

// race confirms two plans at the same time. Its first argument, "one" or "both", is how
// many of the plans must be accepted. The new plan that wigeonctl prints in place of a
// rejected plan is saved as offer.json.
func race(f *testFleet, ts *testscript.TestScript, args []string) error {
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
		cmd.Env = append(os.Environ(), "WIGEON_ADMIN="+f.routers[i].admin, "WIGEON_TOKEN="+operator)
		cmd.Stdout, cmd.Stderr = &res.stdout, &res.stderr
		go func() {
			cmd.Run() // the exit code is checked below
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
			return fmt.Errorf("the rejected confirm exits with %d: %s", res.code, res.stderr.String())
		default:
			if err := os.WriteFile(filepath.Join(f.dir, "offer.json"), res.stdout.Bytes(), 0o600); err != nil {
				return err
			}
		}
	}
	if want := map[string]int{"one": 1, "both": 2}[args[0]]; won != want {
		return fmt.Errorf("%d plans were accepted, want %d: %s%s", won, want, results[0].stderr.String(), results[1].stderr.String())
	}
	return nil
}

// postedRequest is a request whose bytes were written to the router's socket by the script
// command post.
type postedRequest struct {
	done   chan struct{}
	answer *http.Response
	body   bytes.Buffer
	err    error
}

func post(f *testFleet, _ *testscript.TestScript, args []string) error {
	r, err := f.mustRouter(args[1])
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
	p := &postedRequest{done: make(chan struct{})}
	f.mu.Lock()
	if f.posts == nil {
		f.posts = map[string]*postedRequest{}
	}
	f.posts[args[0]] = p
	f.mu.Unlock()
	go p.read(conn)
	return nil
}

func (p *postedRequest) read(conn net.Conn) {
	defer close(p.done)
	defer conn.Close()
	if p.err = conn.SetReadDeadline(time.Now().Add(hangTimeout)); p.err != nil {
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

func answered(f *testFleet, _ *testscript.TestScript, args []string) error {
	f.mu.Lock()
	p := f.posts[args[0]]
	f.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no request was posted as %q", args[0])
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
	for _, e := range f.set.Record().Engines {
		for _, s := range e.Streams {
			if s.Request == load.RequestID(account, args[0]) {
				ran++
			}
		}
	}
	if outcome == string(fleet.NotRun) && ran > 0 {
		return fmt.Errorf("%s: not-run, but engines started it %d times", args[0], ran)
	}
	return nil
}

// sentTo returns how many dispatches a backend server has received, refused ones included.
func (f *testFleet) sentTo(id string) int {
	rec := f.set.Record()
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

func count(f *testFleet, _ *testscript.TestScript, args []string) error {
	if f.sentAtCount == nil {
		f.sentAtCount = map[string]int{}
	}
	f.sentAtCount[args[0]] = f.sentTo(args[0])
	return nil
}

func noNew(f *testFleet, _ *testscript.TestScript, args []string) error {
	before, marked := f.sentAtCount[args[0]]
	if now := f.sentTo(args[0]); !marked || now != before {
		return fmt.Errorf("%s had received %d requests at count and has received %d now", args[0], before, now)
	}
	return nil
}

func excludeRouter(f *testFleet, ts *testscript.TestScript, args []string) error {
	ts.Setenv("WIGEON_ADMIN", f.adminsBut(args[0]))
	return nil
}

func waitRefused(f *testFleet, ts *testscript.TestScript, args []string) error {
	return waitUntil(args[0]+" refuses new work", func() bool {
		name := fmt.Sprintf("refused-%d", f.postedCount())
		return post(f, ts, []string{name, args[0]}) == nil && answered(f, ts, []string{name, "503", string(fleet.NotRun)}) == nil
	})
}

func (f *testFleet) postedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.posts)
}

// postedIDs returns the request ids of all requests of the command post.
func (f *testFleet) postedIDs() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make(map[string]bool)
	for name := range f.posts {
		ids[load.RequestID(account, name)] = true
	}
	return ids
}
