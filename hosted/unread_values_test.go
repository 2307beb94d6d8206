package hosted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// rawAnswer is what a client receives on a connection of its own, up to the end of the connection.
type rawAnswer struct {
	status int
	header http.Header
	body   string
	// whole is what the framing of the answer and the end of its connection tell the client.
	whole bool
}

// sendRaw sends a request for the draft or another route with further header lines.
func (n *testNode) sendRaw(proto, path, id string, budget time.Duration, lines ...string) rawAnswer {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.front.Addr().String())
	if err != nil {
		n.t.Fatal(err)
	}
	defer conn.Close()
	head := append([]string{
		fmt.Sprintf("POST %s %s", path, proto), "Host: " + fakes.Host, "Content-Length: 1", "Connection: close", "X-Attempt-Id: " + id, "X-Api-Key: " + key,
		fmt.Sprintf("X-Deadline-Ms: %d", budget.Milliseconds()), "X-Token-Usage: 100,280", "X-Prompt-Prefix: aa:40",
	}, lines...)
	if _, err := io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\nq"); err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		n.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	return rawAnswer{resp.StatusCode, resp.Header, string(body), err == nil}
}

func countRuns(replicas []*fakes.Replica, id string) (runs int) {
	for _, r := range replicas {
		for _, a := range r.Arrivals() {
			if a.ID == id && a.Ran {
				runs++
			}
		}
	}
	return runs
}

// Guards against a stream that is cut at its deadline and looks whole to a client of HTTP/1.0, which sees its end by the end of the
// connection only.
func TestStreamCutForAnHTTP10ClientDoesNotLookWhole(t *testing.T) {
	f := newFleet(t)
	const chunks = 100
	engines := f.startEngines(2, chunks, 20*time.Millisecond)
	n := f.startServingNode()
	for i, lines := range [][]string{nil, {"Connection: keep-alive"}} {
		id := fmt.Sprint("q", i)
		got := n.sendRaw("HTTP/1.0", "/draft/x", id, 400*time.Millisecond, lines...)
		if got.status == http.StatusOK && got.whole && got.body != generationText(id, chunks) {
			t.Errorf("%s: %d of %d bytes look whole", id, len(got.body), len(generationText(id, chunks)))
		}
		if runs := countRuns(engines, id); got.status != http.StatusOK && runs > 0 {
			t.Errorf("%s: status %d after %d runs", id, got.status, runs)
		}
	}
	cut := n.sendRaw("HTTP/1.1", "/draft/x", "q9", 400*time.Millisecond)
	if cut.status != http.StatusOK || cut.whole {
		t.Errorf("HTTP/1.1: status %d, whole %v", cut.status, cut.whole)
	}
}

// Guards against a stream that begins again for a client that has a part of it, because its Last-Event-Id can't be read.
func TestStreamDoesNotBeginAgainForAnUnreadableLastEventID(t *testing.T) {
	f := newFleet(t)
	f.firstStart = true
	const chunks = 40
	engines := f.startEngines(2, chunks, 0)
	n := f.startServingNode()
	await(t, "the statement about the versions", func() bool {
		st, err := n.software.reads.get(t.Context(), "llm")
		return err == nil && len(st.Versions) == 1
	})
	for i, values := range [][]string{
		{"12x"}, {"-1"}, {"+12"}, {"012"}, {"1e1"}, {"0x0c"}, {"12,30"}, {"12, 12"}, {`"12"`}, {"12 "}, {"1 2"}, {"\xe2\x80\x8b12"}, {"12.0"}, {"00"},
		{"99999999999999999999"}, {"9223372036854775807"}, {"9223372036854775806"}, {"12", "30"}, {"12", "12"}, {"", "12"}, {"12", ""},
	} {
		id := fmt.Sprint("q", i)
		var lines []string
		for _, v := range values {
			lines = append(lines, "Last-Event-Id: "+v)
		}
		got := n.sendRaw("HTTP/1.1", "/draft/x", id, 5*time.Second, lines...)
		if len(values) == 1 && values[0] == "12 " { // white space around a value is not part of it
			if got.status != http.StatusOK || !strings.HasPrefix(got.body, fakes.Chunk(id, 13)) {
				t.Errorf("%q: status %d, %.40q", values, got.status, got.body)
			}
			continue
		}
		if runs := countRuns(engines, id); got.status != http.StatusBadRequest || runs > 0 {
			t.Errorf("%q: status %d, %d runs, %.40q", values, got.status, runs, got.body)
		}
	}
}

// Guards against an answer of over 2 KB, which net/http doesn't frame by itself for a client of HTTP/1.0, that would look whole if it was cut.
func TestPlainAnswerForAnHTTP10ClientHasALength(t *testing.T) {
	f := newFleet(t)
	f.startReplica(&fakes.Replica{ID: "a0", Service: "app", Domain: "d0", LargeAnswer: 64 << 10})
	n := f.startServingNode()
	got := n.sendRaw("HTTP/1.0", "/look"+fakes.LargePath, "q0", 3*time.Second)
	if got.status != http.StatusOK || got.header.Get("Content-Length") != fmt.Sprint(len(got.body)) {
		t.Errorf("status %d, Content-Length %q of %d bytes", got.status, got.header.Get("Content-Length"), len(got.body))
	}
	for _, addr := range []string{n.stats.Addr().String(), n.node.ready.Addr().String()} {
		for _, path := range []string{"/metrics", "/debug/dump", "/readyz", "/nothing"} {
			checkFramedForHTTP10(t, addr, path)
		}
	}
}

// checkFramedForHTTP10 checks that an answer without a length is no answer to take for whole.
func checkFramedForHTTP10(t *testing.T, addr, path string) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET %s HTTP/1.0\r\n\r\n", path)
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	if !bytes.Contains(head, []byte("Content-Length: ")) {
		t.Errorf("%s: no length: %q", path, head)
	}
}
