package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"wigeondale/fakes/service"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/load"
	"wigeondale/once"

	"github.com/rogpeppe/go-internal/testscript"
)

// claimsPrefix is the key prefix of the claim logs in the key-value service.
const claimsPrefix = "wigeondale/claims/"

// plainCall is one call of a service that is not a model engine. It runs in the background
// of the script.
type plainCall struct {
	name, key, body string
	lookup          bool
	deadline        time.Time
	done            chan struct{}

	// After done:
	status            int // 0 if no answer came
	outcome, code     string
	retry             bool // the answer has a Retry-After header
	own               bool // the answer is that to this request: its id and digest match
	before            int  // answers before this one, with -until
	err               error
	everPerhaps       bool // at least one answer did not rule out that the call ran
	endpoint, method  string
	path, timeoutText string
	until             string
}

// call sends one call of the service in the background: NAME ROUTER
// [-key k] [-body text|none] [-lookup] [-timeout d] [-until outcome]. With -until it
// repeats the call under the same key, as a caller would, until that outcome.
func (b *bench) call(args []string) error {
	args = slices.DeleteFunc(slices.Clone(args), func(s string) bool { return s == "&" })
	r, err := b.mustRouter(args[1])
	if err != nil {
		return err
	}
	fs := flag.NewFlagSet("call", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	key := fs.String("key", args[0], "")
	body := fs.String("body", "", "the key's own text if absent")
	lookup := fs.Bool("lookup", false, "")
	timeout := fs.Duration("timeout", hung, "")
	until := fs.String("until", "", "")
	if err := fs.Parse(args[2:]); err != nil {
		return err
	}
	c := &plainCall{
		name: args[0], key: *key, body: *body, lookup: *lookup, until: *until,
		deadline: time.Now().Add(*timeout), done: make(chan struct{}),
		endpoint: "http://" + r.caller, method: http.MethodPost, path: "/book",
		timeoutText: strconv.FormatInt(timeout.Milliseconds(), 10),
	}
	switch c.body {
	case "":
		c.body = "booking of " + c.key
	case "none":
		c.body = ""
	}
	if c.lookup {
		c.method, c.path, c.body = http.MethodGet, "/lookup/"+c.key, ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls[c.name] != nil {
		return fmt.Errorf("call %q already exists", c.name)
	}
	b.calls[c.name] = c
	go c.run()
	return nil
}

func (c *plainCall) run() {
	defer close(c.done)
	for end := time.Now().Add(hung); ; c.before++ {
		c.once()
		c.everPerhaps = c.everPerhaps || c.outcome != string(fleet.NotRun)
		if c.until == "" || c.outcome == c.until || time.Now().After(end) {
			return
		}
		time.Sleep(poll)
	}
}

// callers is the HTTP client of all calls. It reuses connections, as callers do.
var callers = &http.Client{Timeout: hung}

func (c *plainCall) once() {
	c.status, c.outcome, c.code, c.retry, c.own = 0, "", "", false, false
	var resp *http.Response
	ctx, cancel := context.WithTimeout(context.Background(), hung)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, c.endpoint+"/services/"+plain+c.path, strings.NewReader(c.body))
	if err == nil {
		// With GetBody set, the test's own transport could send the call a second time.
		req.GetBody = nil
		req.Header.Set("Authorization", "Bearer "+apiKey)
		req.Header.Set("Idempotency-Key", c.key)
		req.Header.Set("Wigeon-Timeout-Ms", c.timeoutText)
		resp, err = callers.Do(req)
	}
	if c.err = err; err != nil {
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if c.err = err; err != nil {
		return
	}
	c.status, c.outcome = resp.StatusCode, resp.Header.Get("Wigeon-Outcome")
	c.code, c.retry = valueAt(data, "error.code"), resp.Header.Get("Retry-After") != ""
	var a service.Answer
	if json.Unmarshal(data, &a) != nil {
		return
	}
	c.own = a.RequestID == load.RequestID(account, c.key)
	if c.lookup {
		c.own = c.own && a.Key == c.key && a.Value == service.Digest([]byte(c.key))
	} else {
		c.own = c.own && a.Body == service.Digest([]byte(c.body))
	}
}

func (c *plainCall) await() error {
	select {
	case <-c.done:
		return nil
	case <-time.After(hung):
		return fmt.Errorf("hung: call %s", c.name)
	}
}

func (c *plainCall) field(name string) string {
	switch name {
	case "status":
		return strconv.Itoa(c.status)
	case "outcome":
		return c.outcome
	case "code":
		return c.code
	case "retry-after":
		return strconv.FormatBool(c.retry)
	case "own":
		return strconv.FormatBool(c.own)
	}
	return "no such field"
}

func call(b *bench, _ *testscript.TestScript, args []string) error { return b.call(args) }

func (b *bench) mustCall(name string) (*plainCall, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.calls[name]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call %q", name)
}

func answer(b *bench, _ *testscript.TestScript, args []string) error {
	c, err := b.mustCall(args[0])
	if err != nil {
		return err
	}
	if err := c.await(); err != nil {
		return err
	}
	for _, a := range args[1:] {
		name, want, _ := strings.Cut(a, "=")
		if got := c.field(name); !slices.Contains(strings.Split(want, "|"), got) {
			return fmt.Errorf("%s: %s is %q, want %s (status %d, %s, %v)", c.name, name, got, want, c.status, c.code, c.err)
		}
	}
	return nil
}

func claimed(b *bench, _ *testscript.TestScript, args []string) error {
	// The range uses a shorter prefix than that of the claims, so that a fault that slows
	// down only requests for claims does not delay this read.
	const above = "wigeondale/"
	// Claims of generations use the request id that engines see.
	call, gen := once.NewKeyID(account, args[0]), once.NewKeyID(account, load.RequestID(account, args[0]))
	store := infra.NewEtcdKV(infra.KVConfig{URL: "http://" + b.kv}, nil)
	return waitUntil("claim of "+args[0], func() bool {
		values, err := store.Range(context.Background(), above, infra.PrefixEnd(above), 0)
		return err == nil && slices.ContainsFunc(values, func(v infra.Value) bool {
			return strings.HasPrefix(v.Key, claimsPrefix) && (bytes.Contains(v.Data, call[:]) || bytes.Contains(v.Data, gen[:]))
		})
	})
}

func overdue(b *bench, _ *testscript.TestScript, args []string) error {
	c, err := b.mustCall(args[0])
	if err != nil {
		return err
	}
	return waitUntil("deadline of "+c.name, func() bool { return time.Now().After(c.deadline.Add(poll)) })
}

func owns(b *bench, _ *testscript.TestScript, args []string) error {
	return waitUntil("owner in "+args[0], func() bool {
		data, err := b.read(args[0] + "/debug/dump")
		var d struct {
			Claims []once.ShardDump `json:"claims"`
		}
		if err != nil || json.Unmarshal(data, &d) != nil {
			return false
		}
		other := func(s once.ShardDump) bool { return s.Owner != args[1] }
		return len(d.Claims) > 0 && !slices.ContainsFunc(d.Claims, other)
	})
}

// executions returns how many times the services ran bookings under the key.
func (b *bench) executions(key string) int {
	n, id := 0, load.RequestID(account, key)
	for _, s := range b.set.Record().Services {
		n += s.ByRequest[id]
	}
	return n
}

func ran(b *bench, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	got := 0
	err = waitUntil("runs of "+args[0], func() bool {
		got = b.executions(args[0])
		return got >= want
	})
	if err == nil && got != want {
		err = fmt.Errorf("%s ran %d times, want %d", args[0], got, want)
	}
	return err
}

func checkRun(b *bench, _ *testscript.TestScript, _ []string) error { return b.checkRun() }

// checkRun compares the answers to all calls with the services' own record: no booking ran
// twice; a booking whose answers were all not-run did not run; a booking with a complete
// answer ran, and the answer is that to this booking.
func (b *bench) checkRun() error {
	perhaps := make(map[string]bool) // by body, since the record counts executions by body too
	for _, c := range b.allCalls() {
		if err := c.await(); err != nil {
			return err
		}
		perhaps[c.body] = perhaps[c.body] || c.everPerhaps
	}
	bodies := make(map[string]int)
	for _, s := range b.set.Record().Services {
		for digest, n := range s.ByBody {
			bodies[digest] += n
		}
	}
	for _, c := range b.allCalls() {
		n, byBody := b.executions(c.key), bodies[service.Digest([]byte(c.body))]
		switch {
		case c.outcome == string(fleet.Complete) && !c.own:
			return fmt.Errorf("%s got another request's answer", c.name)
		case c.lookup:
		case n > 1:
			return fmt.Errorf("%s: key %s ran %d times", c.name, c.key, n)
		case !perhaps[c.body] && byBody > 0:
			return fmt.Errorf("%s: answered not-run, but the services ran it %d times", c.name, byBody)
		case c.outcome == string(fleet.Complete) && byBody == 0:
			return fmt.Errorf("%s: answered, but no service has it on record", c.name)
		}
	}
	return nil
}

func (b *bench) allCalls() []*plainCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*plainCall
	for _, c := range b.calls {
		list = append(list, c)
	}
	return list
}

// setting replaces the value of a top-level key in a router's settings file.
func setting(b *bench, _ *testscript.TestScript, args []string) error {
	r, err := b.mustRouter(args[0])
	if err != nil {
		return err
	}
	data, err := os.ReadFile(r.file)
	if err != nil {
		return err
	}
	all := make(map[string]json.RawMessage)
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	all[args[1]] = json.RawMessage(strings.Join(args[2:], " "))
	if data, err = json.Marshal(all); err != nil {
		return err
	}
	return os.WriteFile(r.file, data, 0o600)
}

// begun returns the number of bookings and of dispatched generations that all backend
// servers have recorded.
func (b *bench) begun() int {
	r := b.set.Record()
	n := r.Totals.Bookings
	for _, e := range r.Engines {
		n += len(e.Streams)
	}
	return n
}

func noteBegun(b *bench, _ *testscript.TestScript, _ []string) error {
	b.marked = b.begun()
	return nil
}

func unmoved(b *bench, _ *testscript.TestScript, _ []string) error {
	if n := b.begun(); n != b.marked {
		return fmt.Errorf("backend servers have started %d requests, %d at notebegun", n, b.marked)
	}
	return nil
}
