package docs

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/backend"
	"wigeondale/callerapi"
	"wigeondale/client"
	"wigeondale/cursor"
	"wigeondale/fleet"
	"wigeondale/forward"
	"wigeondale/generation"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/relay"
	"wigeondale/route"
)

// forms are the four forms of a value, in the order of the table's columns; nil is no form.
type forms [4][]string

// valueProbes returns, by row of the table, what happens with the values of a form.
func valueProbes() map[string]func(t *testing.T, form int) string {
	out := map[string]func(*testing.T, int) string{}
	add := func(row string, f forms, probe func(*testing.T, []string) string) {
		out[row] = func(t *testing.T, form int) string {
			if f[form] == nil {
				return "–"
			}
			return probe(t, f[form])
		}
	}
	const huge = "99999999999999999999"
	none := []string{}
	numbers := forms{none, {"12x"}, {"12", "30"}, {huge}}
	add("`Last-Event-Id`, stream", numbers, clientProbe("/stream/x", "Last-Event-Id", firstChunk))
	add("`Last-Event-Id`, stream that can't be resumed", forms{none, {"12x"}, {"12", "12"}, {"12"}}, clientProbe("/once/x", "Last-Event-Id", firstChunk))
	add("`Last-Event-Id`, plain request", numbers, func(t *testing.T, v []string) string {
		clientProbe("/plain/x", "Last-Event-Id", firstChunk)(t, v)
		return "from 1" // a plain answer has one part, whatever the header says
	})
	add("`Last-Event-Id` above the answer's tokens", forms{none, {""}, {"9", ""}, {"281"}}, func(t *testing.T, v []string) string {
		if len(v) == 1 && v[0] == "" {
			v = []string{" 2 81"}
		}
		return clientProbe("/stream/x", "Last-Event-Id", firstChunk)(t, v)
	})
	resumed := func(r *generation.Request) string {
		named := "named"
		if r.BeganAs() == "" {
			named = "unnamed"
		}
		return firstChunk(r) + ", " + named
	}
	add("`Resumes`", forms{none, {"a, b"}, {"a", "b"}, nil}, func(t *testing.T, v []string) string {
		return clientProbe("/stream/x", "Resumes", resumed, "Last-Event-Id: 12")(t, v)
	})
	add("`X-Attempt-Id`", forms{none, nil, {"a", "b"}, nil}, clientProbe("/stream/x", "X-Attempt-Id", firstChunk))
	add("`X-Api-Key`", forms{none, {"k, k"}, {"k", "k"}, nil}, clientProbe("/stream/x", "X-Api-Key", firstChunk))
	add("`X-Deadline-Ms`", forms{none, {"-5"}, {"1", "2"}, {huge}}, clientProbe("/long/x", "X-Deadline-Ms", timeLimit))
	add("`X-Token-Usage`", forms{none, {"100;80"}, {"1,1", "100,80"}, {huge + "," + huge}}, clientProbe("/stream/x", "X-Token-Usage", tokensOf))
	add("`X-Length-Hint`", forms{none, {"1.5"}, {"1", "2"}, {huge}}, clientProbe("/stream/x", "X-Length-Hint", func(r *generation.Request) string { return orNotStated(r.Opaque.LengthHint) }))
	add("`X-Prompt-Prefix`", forms{none, {"aa:1,,bb:2"}, {"aa:1", "bb:2"}, nil}, clientProbe("/stream/x", "X-Prompt-Prefix", func(r *generation.Request) string { return orNotStated(len(r.Opaque.PromptParts)) }))
	add("`X-Model`", forms{none, nil, {"a", "b"}, nil}, clientProbe("/stream/x", "X-Model", func(r *generation.Request) string { return orNotStated(len(r.Opaque.Model)) }))
	versions := forms{{""}, {"HTTP/one"}, nil, {"HTTP/1.0"}}
	add("HTTP version, stream", versions, func(t *testing.T, v []string) string { return sendToPlatform(t, v[0], "/stream/x", nil, firstChunk) })
	add("HTTP version, plain request", versions, func(t *testing.T, v []string) string { return sendToPlatform(t, v[0], "/plain/x", nil, firstChunk) })
	add("`Content-Length`", forms{none, {"x"}, {"1", "2"}, {"99999999999"}}, clientProbe("/stream/x", "Content-Length", firstChunk))
	addReplicaProbes(add)
	addHeadProbes(add)
	addContinuationProbes(add)
	addRouterProbes(add)
	addCallerProbes(add)
	addEngineProbes(add)
	addStoreProbes(add)
	return out
}

type addProbe func(row string, f forms, probe func(*testing.T, []string) string)

// Guards against a value that can't be read being taken for a known one, wherever a value is read.
func TestTableOfValuesIsTrue(t *testing.T) {
	probes := valueProbes()
	rows := 0
	for line := range strings.SplitSeq(read(t, "design/values-read.md"), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if !strings.HasPrefix(line, "| ") || len(cells) != 5 || cells[0] == "value" || strings.HasPrefix(cells[0], "---") {
			continue
		}
		probe, ok := probes[cells[0]]
		if !ok {
			t.Errorf("%s: no probe", cells[0])
			continue
		}
		rows++
		for form, name := range []string{"missing", "malformed", "twice", "out of range"} {
			if got := probe(t, form); got != cells[form+1] {
				t.Errorf("%s, %s: got %q, the table says %q", cells[0], name, got, cells[form+1])
			}
		}
	}
	if rows != len(probes) {
		t.Errorf("%d rows, %d probes", rows, len(probes))
	}
}

func firstChunk(r *generation.Request) string { return fmt.Sprintf("from %d", r.Opaque.FirstChunk) }

func timeLimit(r *generation.Request) string {
	switch {
	case r.Opaque.Deadline.IsZero():
		return "no limit of the client's"
	case r.Opaque.Deadline.Remaining() > 1000*time.Hour:
		return "later than any route's"
	}
	return r.Opaque.Deadline.Remaining().String()
}

func tokensOf(r *generation.Request) string {
	if o := r.Opaque; o.PromptTokens != 0 && o.PromptTokens == o.MaxAnswerTokens {
		return fmt.Sprintf("%d tokens", o.PromptTokens)
	}
	return orNotStated(r.Opaque.PromptTokens)
}

func orNotStated(n int) string {
	if n == 0 {
		return "not stated"
	}
	return fmt.Sprint(n)
}

// seen is a Runner that describes the request that it would run.
type seen struct {
	describe func(*generation.Request) string
	text     string
}

func (s *seen) Run(_ context.Context, r generation.Request, _ generation.Sink) generation.Result {
	s.text = s.describe(&r)
	return generation.Result{Outcome: fleet.NotRun}
}

type noBudgets struct{}

func (noBudgets) First(string) {}

// clientProbe sends a request of a client with the values of one header, and with further lines.
func clientProbe(path, name string, describe func(*generation.Request) string, lines ...string) func(*testing.T, []string) string {
	return func(t *testing.T, values []string) string {
		return sendToPlatform(t, "HTTP/1.1", path, map[string][]string{name: values}, describe, lines...)
	}
}

func sendToPlatform(t *testing.T, version, path string, values map[string][]string, describe func(*generation.Request) string, lines ...string) string {
	t.Helper()
	table := &route.Current{FirstStart: true}
	table.Install(route.NewTable(&route.Config{Version: 1, Accounts: []route.Account{{Name: "acc", Keys: []string{"k"}}}, Routes: []route.Route{
		{Host: "h", Prefix: "/stream/", Service: "llm", Kind: route.Stream, Resumable: true, Timeout: time.Minute, MaxAttempts: 1},
		{Host: "h", Prefix: "/once/", Service: "llm", Kind: route.Stream, Timeout: time.Minute, MaxAttempts: 1},
		{Host: "h", Prefix: "/plain/", Service: "app", Kind: route.Repeatable, Timeout: time.Minute, MaxAttempts: 1},
		{Host: "h", Prefix: "/long/", Service: "app", Kind: route.Repeatable, MaxAttempts: 1},
	}}))
	runner := &seen{describe: describe}
	s := httptest.NewServer(&platform.ClientHandler{Table: table, Relay: relay.New(relay.Config{Table: table, Runner: runner, Budgets: noBudgets{}})})
	defer s.Close()
	header := map[string][]string{"Host": {"h"}, "X-Attempt-Id": {"q"}, "X-Api-Key": {"k"}, "X-Token-Usage": {"100,280"}, "Content-Length": {"0"}, "Connection": {"close"}}
	for name, v := range values {
		header[name] = v
	}
	text := "POST " + path + " " + version + "\r\n" + strings.Join(append(lines, ""), "\r\n")
	for name, v := range header {
		for _, value := range v {
			text += name + ": " + value + "\r\n"
		}
	}
	status := statusOf(t, s.Listener.Addr().String(), text+"\r\n")
	if runner.text != "" {
		return runner.text
	}
	return status
}

// probeTime bounds the wait for an answer.
const probeTime = 10 * time.Second

// statusOf sends a request and returns the status of its answer.
func statusOf(t *testing.T, addr, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, request)
	conn.SetDeadline(time.Now().Add(probeTime))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	resp.Body.Close()
	return fmt.Sprint(resp.StatusCode)
}

// replicaAt starts a server that answers each request with the same bytes and closes the connection.
func replicaAt(t *testing.T, answer string) fleet.Backend {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.Copy(io.Discard, req.Body)
				io.WriteString(conn, answer)
			}
			conn.Close()
		}
	}()
	return fleet.Backend{ID: "i1", Addr: ln.Addr().String(), Service: "llm", Incarnation: fleet.Incarnation{Name: "i1"}}
}

// headOf returns a head with the values of one header, and others.
func headOf(status int, name string, values []string, others ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	for _, v := range values {
		text += name + ": " + v + "\r\n"
	}
	return text + strings.Join(append(others, "", ""), "\r\n")
}

// outcomeOf names what an error says of an attempt.
func outcomeOf(err error) string {
	if _, refused := errors.AsType[*backend.Refused](err); refused {
		return "not run"
	}
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, backend.ErrMismatch):
		return "mismatch"
	case errors.Is(err, backend.ErrBroken):
		return "may have run"
	}
	return "error"
}

// answerProbe opens an attempt at a replica that answers with the given bytes, and reads the whole answer.
func answerProbe(t *testing.T, answer string, streaming bool) string {
	t.Helper()
	s, err := platform.NewReplicas(nil, nil, nil).Open(t.Context(), replicaAt(t, answer), backend.StartRequest{
		ResumeTokens: 1, Opaque: &backend.Opaque{Method: "POST", Target: "/p/x", Host: "h", Header: http.Header{"X-Attempt-Id": {"q"}}, Streaming: streaming},
	})
	if err != nil {
		return outcomeOf(err)
	}
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	switch {
	case err != io.EOF:
		return outcomeOf(err)
	case s.Head().EndsWithConnection:
		return "end not confirmed"
	}
	return "ok"
}

func addReplicaProbes(add addProbe) {
	const id, seal, length = "X-Attempt-Id: q", "X-Response-Seal: s", "Content-Length: 2"
	add("`X-Attempt-Id` of an answer", forms{{}, {"q, p"}, {"q", "p"}, nil}, func(t *testing.T, v []string) string {
		return answerProbe(t, headOf(200, "X-Attempt-Id", v, seal, length)+"ok", false)
	})
	add("`X-Response-Seal`", forms{{}, nil, {"s", "s"}, nil}, func(t *testing.T, v []string) string {
		return answerProbe(t, headOf(200, "X-Response-Seal", v, id, length)+"ok", false)
	})
	add("`X-Not-Executed` with 503", forms{{}, {"yes"}, {"1", "1"}, nil}, func(t *testing.T, v []string) string {
		return answerProbe(t, headOf(503, "X-Not-Executed", v, id, length)+"no", false)
	})
	add("`id` of an event", forms{{"data: x"}, {"id: 1x"}, {"id: 1\nid: 2"}, {"id: 99999999999999999999"}}, func(t *testing.T, v []string) string {
		event := v[0] + "\ndata: t\n\n"
		return answerProbe(t, headOf(200, "Content-Length", []string{fmt.Sprint(len(event))}, id, seal)+event, true)
	})
	add("`Content-Length`, from a replica", forms{{}, {"x"}, {"2", "3"}, {"99"}}, func(t *testing.T, v []string) string {
		return answerProbe(t, headOf(200, "Content-Length", v, id, seal)+"ok", false)
	})
	add("last chunk of the body", forms{{"2\r\nok\r\n"}, {"2\r\nok\r\nx\r\n\r\n"}, nil, {"2\r\nok\r\nfffffffffffffffff\r\n"}}, func(t *testing.T, v []string) string {
		return answerProbe(t, headOf(200, "Transfer-Encoding", []string{"chunked"}, id, seal)+v[0], false)
	})
	json := func(body string) string {
		return headOf(200, "Content-Length", []string{fmt.Sprint(len(body))}) + body
	}
	add("`kv_handle`", forms{{`{}`}, {`{"kv_handle":7}`}, nil, nil}, func(t *testing.T, v []string) string {
		_, err := platform.NewReplicas(nil, nil, nil).Copy(t.Context(), replicaAt(t, json(v[0])), "q", fleet.Backend{Addr: "127.0.0.1:1"})
		return outcomeOf(err)
	})
	add("`queued`, `active` of a report", forms{{`{"stage":"s"}`}, {`{"stage":"s","queued":"0","active":0}`}, nil, {`{"stage":"s","queued":0,"active":-1}`}}, func(t *testing.T, v []string) string {
		_, err := platform.NewReplicas(nil, nil, nil).Runs(t.Context(), replicaAt(t, json(v[0])))
		return outcomeOf(err)
	})
	add("`X-Replica-Load`", forms{{}, {"1;0;8"}, {"1,0,8", "2,0,8"}, {"1,0,99999999999999999999"}}, func(t *testing.T, v []string) string {
		stated := "not stated"
		c := platform.NewReplicas(nil, nil, nil)
		c.OnLoad = func(_ string, l platform.Load) { stated = fmt.Sprint(l) }
		s, err := c.Open(t.Context(), replicaAt(t, headOf(200, "X-Replica-Load", v, id, seal, length)+"ok"), backend.StartRequest{
			ResumeTokens: 1, Opaque: &backend.Opaque{Method: "GET", Target: "/", Host: "h", Header: http.Header{"X-Attempt-Id": {"q"}}},
		})
		if err != nil {
			return outcomeOf(err)
		}
		s.Close()
		return stated
	})
}

// wire is one end of a stream between routers, whose messages are given.
type wire struct {
	in  [][]byte
	out []any
}

func (w *wire) Send(_ context.Context, v any) error     { w.out = append(w.out, v); return nil }
func (w *wire) SendBytes(context.Context, []byte) error { return nil }
func (w *wire) Close()                                  {}
func (w *wire) Receive(c context.Context, d time.Duration, v any) error {
	b, err := w.ReceiveBytes(c, d)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}

func (w *wire) ReceiveBytes(context.Context, time.Duration) ([]byte, error) {
	if len(w.in) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	b := w.in[0]
	w.in = w.in[1:]
	return b, nil
}

func encoded(messages ...map[int]any) (out [][]byte) {
	for _, m := range messages {
		b, _ := cbor.Marshal(m) // maps of numbers and texts always encode
		out = append(out, b)
	}
	return out
}

type ranRunner struct{ ran bool }

func (r *ranRunner) Run(context.Context, generation.Request, generation.Sink) generation.Result {
	r.ran = true
	return generation.Result{Outcome: fleet.Complete}
}

// startProbe sends a request to a router with one field of its opaque part changed.
func startProbe(field int) func(*testing.T, []string) string {
	return func(t *testing.T, v []string) string {
		o := map[int]any{1: "POST", 2: "/", 3: "h", 5: "r", 6: "llm", 7: true, 8: true, 10: 13, 14: true, 15: 1}
		delete(o, field)
		switch {
		case len(v) == 1 && v[0] == "text":
			o[field] = "13"
		case len(v) == 1:
			o[field] = uint64(1) << 40
		}
		runner := &ranRunner{}
		forward.New(forward.Config{}).Serve(t.Context(), "n1", &wire{in: encoded(map[int]any{1: "q", 9: o})}, runner)
		if runner.ran {
			return "runs"
		}
		return "not run"
	}
}

// remoteProbe reads an answer of another router.
func remoteProbe(t *testing.T, messages ...map[int]any) string {
	t.Helper()
	f := forward.New(forward.Config{
		Routers: func(string) ([]forward.Router, int) { return []forward.Router{{ID: "n2"}}, 1 },
		Open: func(context.Context, forward.Router) (forward.Conn, error) {
			return &wire{in: encoded(messages...)}, nil
		},
	})
	s, err := f.Forward(t.Context(), generation.Handover{Request: generation.Request{ID: "q", Opaque: &generation.Opaque{Opaque: &backend.Opaque{}, Service: "llm", FirstChunk: 1}}})
	for err == nil {
		_, err = s.Next()
	}
	if err == io.EOF {
		return "whole"
	}
	return "broken"
}

func addRouterProbes(add addProbe) {
	begin, token := map[int]any{1: 1, 2: "b1", 5: 200}, map[int]any{1: 2, 7: 1, 8: []byte("t")}
	end := map[int]any{1: 3, 10: "complete"}
	add("first chunk of a request", forms{{}, {"text"}, nil, {"huge"}}, startProbe(10))
	add("part of the answer that the client has", forms{{}, {"text"}, nil, nil}, startProbe(14))
	add("outcome at the end", forms{{""}, {"Complete"}, nil, {"complete, complete"}}, func(t *testing.T, v []string) string {
		if whole := remoteProbe(t, begin, token, end); whole != "whole" {
			return whole + " with all values"
		}
		return remoteProbe(t, begin, token, map[int]any{1: 3, 10: v[0]})
	})
	add("attempt of the first token", forms{{}, nil, nil, nil}, func(t *testing.T, _ []string) string { return remoteProbe(t, token, begin, end) })
	add("index of a token", forms{nil, {"1"}, nil, {"-1"}}, func(t *testing.T, v []string) string {
		var index any = v[0]
		if v[0] == "-1" {
			index = -1
		}
		return remoteProbe(t, begin, map[int]any{1: 2, 7: index}, end)
	})
}

type openGate struct{}

func (openGate) Ready() error { return nil }

type oneAccount struct{}

func (oneAccount) Authenticate(key string) (string, bool) { return "acc", key == "k" }
func (oneAccount) Resolve(string, string, string) (fleet.ModelRef, fleet.Priority, error) {
	return fleet.ModelRef{Model: "m", Version: "v1"}, fleet.Batch, nil
}

// callerProbe sends a request of the product's own interface with the values of one header.
func callerProbe(version, name string) func(*testing.T, []string) string {
	return func(t *testing.T, v []string) string {
		sealer, err := cursor.NewSealer(make([]byte, cursor.MinKey), nil, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		runner := &ranRunner{}
		s := callerapi.New(callerapi.Config{Gate: openGate{}, Accounts: oneAccount{}, Runner: runner, Sealer: sealer})
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
		r.Proto, r.ProtoMinor = version, int(version[len(version)-1]-'0')
		r.Header = http.Header{"Authorization": {"Bearer k"}, http.CanonicalHeaderKey(name): v}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if runner.ran {
			return "runs"
		}
		return fmt.Sprintf("%d %s", w.Code, w.Header().Get("Wigeon-Outcome"))
	}
}

func addCallerProbes(add addProbe) {
	const huge = "99999999999999999999"
	add("`Last-Event-ID`", forms{{}, {"12"}, {"12", "13"}, {strings.Repeat("A", cursor.MaxText+1)}}, callerProbe("HTTP/1.1", "Last-Event-ID"))
	add("`Idempotency-Key`", forms{{}, {"a key"}, {"a", "b"}, {strings.Repeat("k", 201)}}, callerProbe("HTTP/1.1", "Idempotency-Key"))
	add("`Wigeon-Timeout-Ms`", forms{{}, {"1e3"}, {"1", "2"}, {huge}}, callerProbe("HTTP/1.1", "Wigeon-Timeout-Ms"))
	add("`Wigeon-Priority`", forms{{}, {"high"}, {"batch", "batch"}, {"0"}}, callerProbe("HTTP/1.1", "Wigeon-Priority"))
	add("`Wigeon-Non-Idempotent`", forms{{}, {"yes"}, {"true", "false"}, {"2"}}, callerProbe("HTTP/1.1", "Wigeon-Non-Idempotent"))
	add("HTTP version, stream of the product", forms{nil, nil, nil, {}}, callerProbe("HTTP/1.0", "X-Other"))
	add("`Wigeon-Outcome` of an answer", forms{{}, {"done"}, {"complete", "complete"}, {"complete, complete"}}, func(t *testing.T, v []string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header()["Wigeon-Outcome"] = v }))
		defer s.Close()
		res, _ := client.New([]string{s.URL}, "k", client.Options{}).Call(t.Context(), client.CallRequest{Service: "s", Method: http.MethodPost, NonIdempotent: true})
		return string(res.Outcome)
	})
}

func addEngineProbes(add addProbe) {
	id := backend.StreamID{Request: "q", Attempt: 1, Ref: fleet.ModelRef{Model: "m", Version: "v"}}
	chunk := func(index, finish string) string {
		return `data: {"id":"q","attempt":1,"model":"m","version":"v","adapter":""` + index + `,"choices":[{"index":0,"text":"t"` + finish + "}]}\n\n"
	}
	readAll := func(text string) string {
		s := backend.NewStream(io.NopCloser(strings.NewReader(text)), id, "")
		last := "goes on"
		for {
			token, err := s.Next()
			switch {
			case errors.Is(err, io.EOF):
				return last
			case errors.Is(err, backend.ErrMismatch):
				return "mismatch"
			case err != nil:
				return "broken"
			case token.Finish != "":
				last = "ends"
			}
		}
	}
	const done = "data: [DONE]\n\n"
	add("`index` of a chunk", forms{{""}, {`,"index":"0"`}, nil, {`,"index":-1`}}, func(_ *testing.T, v []string) string { return readAll(chunk(v[0], `,"finish_reason":null`) + done) })
	add("`finish_reason`", forms{{""}, {`,"finish_reason":1`}, nil, {`,"finish_reason":"memory"`}}, func(_ *testing.T, v []string) string { return readAll(chunk(`,"index":0`, v[0]) + done) })
	add("end mark", forms{{""}, {"data: DONE\n\n"}, nil, nil}, func(_ *testing.T, v []string) string {
		return readAll(chunk(`,"index":0`, `,"finish_reason":null`) + v[0])
	})
}

// storeProbe makes a call to a store that gives the answer, with the values of its header Store-Era.
func storeProbe(call func(context.Context, *platform.Store) error) func(answer string, era []string) func(*testing.T) string {
	return func(answer string, era []string) func(*testing.T) string {
		return func(t *testing.T) string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Store-Era"] = era
				io.WriteString(w, answer)
			}))
			defer s.Close()
			err := call(t.Context(), platform.NewStore(strings.TrimPrefix(s.URL, "http://")))
			switch {
			case err == nil:
				return "the highest seen"
			case errors.Is(err, infra.ErrUnavailable), errors.Is(err, infra.ErrUnknownOutcome):
				return "unavailable"
			}
			return err.Error()
		}
	}
}

func addStoreProbes(add addProbe) {
	page := storeProbe(func(ctx context.Context, s *platform.Store) error { _, err := s.Page(ctx, "k", "", false); return err })
	watch := storeProbe(func(ctx context.Context, s *platform.Store) error {
		_, _, err := s.Changes(ctx, "k", 1, time.Second)
		return err
	})
	lease := storeProbe(func(ctx context.Context, s *platform.Store) error { _, err := s.Grant(ctx, time.Second); return err })
	answers := func(row string, f forms, probe func(string, []string) func(*testing.T) string) {
		add(row, f, func(t *testing.T, v []string) string { return probe(v[0], nil)(t) })
	}
	answers("`items`", forms{{`{"has_more":false,"at":5}`}, {`{"items":{},"has_more":false,"at":5}`}, nil, nil}, page)
	answers("`has_more`", forms{{`{"items":[],"at":5}`}, {`{"items":[],"has_more":"no","at":5}`}, nil, nil}, page)
	answers("`at`", forms{{`{"items":[],"has_more":false}`}, {`{"items":[],"has_more":false,"at":"5"}`}, nil, {`{"items":[],"has_more":false,"at":-5}`}}, page)
	answers("`events`", forms{{`{"at":5}`}, {`{"events":"","at":5}`}, nil, nil}, watch)
	answers("`lease`", forms{{`{"ttl_ms":9}`}, {`{"lease":"7"}`}, nil, {`{"lease":-7}`}}, lease)
	add("`Store-Era`", forms{{}, {"x"}, {"2", "3"}, {"99999999999999999999"}}, func(t *testing.T, v []string) string {
		return page(`{"items":[],"has_more":false,"at":5}`, v)(t)
	})
}
