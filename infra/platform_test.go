package infra

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wigeondale/fleet"
)

func newKV(url string, timeout time.Duration) *EtcdKV {
	return NewEtcdKV(KVConfig{URL: url, Timeout: timeout, MaxInFlight: 1}, nil)
}

// hangUp closes the client's connection without sending a response.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// TestWriteIsNeverReplayed guards against the key-value service receiving one write twice.
// The service reads a write on a reused connection and closes the connection. net/http then
// resends the request by itself if the request has GetBody and looks idempotent. A write
// would look idempotent if a later change added a header such as Idempotency-Key to it.
func TestWriteIsNeverReplayed(t *testing.T) {
	var seen atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.URL.Path == "/warm" {
			return
		}
		seen.Add(1)
		hangUp(w)
	}))
	defer srv.Close()
	client := newHTTPClient(time.Second)
	for _, path := range []string{"/warm", "/write"} {
		req, err := newPost(t.Context(), srv.URL+path, []byte("{}"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if n := seen.Load(); n != 1 {
		t.Fatalf("the service saw the write %d times", n)
	}
}

// TestErrorsTellWhatMayBeApplied guards against reporting "not applied" for a write that
// was applied. After the write was sent, the connection or the response is lost, or the call
// times out. The resulting error doesn't show whether the write was applied, so the client
// must not return the error that means "not applied".
func TestErrorsTellWhatMayBeApplied(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	redirect := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/else" {
			fmt.Fprint(w, `{"succeeded":true}`)
			return
		}
		http.Redirect(w, r, "/else", http.StatusSeeOther)
	}
	stop := make(chan struct{})
	cases := []struct {
		name        string
		handler     http.HandlerFunc
		write, read error
	}{
		{"dial refused", nil, ErrUnavailable, ErrUnavailable},
		{"closed without answer", func(w http.ResponseWriter, _ *http.Request) { hangUp(w) }, ErrUnknownOutcome, ErrUnavailable},
		{"answer cut short", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"succee`) }, ErrUnknownOutcome, ErrUnavailable},
		{"no answer in time", func(http.ResponseWriter, *http.Request) { <-stop }, ErrUnknownOutcome, ErrUnavailable},
		{"redirect", redirect, ErrUnknownOutcome, ErrUnavailable},
		{"server error", status(http.StatusServiceUnavailable), ErrUnknownOutcome, ErrUnavailable},
		{"too many requests", status(http.StatusTooManyRequests), ErrUnavailable, ErrUnavailable},
		{"bad request", status(http.StatusBadRequest), ErrRejected, ErrRejected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(c.handler)
			if c.handler == nil {
				srv.Close()
			}
			kv := newKV(srv.URL, 100*time.Millisecond)
			_, _, err := kv.Create(t.Context(), "k", nil)
			if !errors.Is(err, c.write) || errors.Is(err, ErrUnavailable) != (c.write == ErrUnavailable) {
				t.Errorf("write: %v", err)
			}
			_, _, err = kv.Get(t.Context(), "k")
			if !errors.Is(err, c.read) {
				t.Errorf("read: %v", err)
			}
		})
	}
	close(stop)
}

func TestFullSlotsRefuseSurely(t *testing.T) {
	kv := newKV("http://127.0.0.1:0", time.Minute)
	kv.slots <- struct{}{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := kv.Put(ctx, "k", nil, 0); !errors.Is(err, ErrUnavailable) {
		t.Fatal(err)
	}
}

func TestWireFormats(t *testing.T) {
	responses := map[string]string{
		"/v3/kv/txn":          `{"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[{"key":"aw==","value":"dg==","create_revision":"3","mod_revision":"4"}]}}]}`,
		"/v3/lease/keepalive": `{"result":{"ID":"7","TTL":"5"}}`,
		"/v3/watch":           `{"result":{"created":true}}` + "\n" + `{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"4"}},{"type":"DELETE","kv":{"key":"aw=="}}]}}`,
		"/vms":                `[{"targets":["127.0.0.1:9001"],"labels":{"__meta_vm_id":"v","__meta_role":"engine","__meta_backend_id":"e1","__meta_failure_domain":"bog-a","__meta_state":"leaving","__meta_checks_fence":"true"}}]`,
	}
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body = string(b)
		if strings.HasPrefix(r.URL.Path, "/weights/m/v1/a") {
			w.Header().Set("Content-Length", "77")
		}
		fmt.Fprint(w, responses[r.URL.Path])
	}))
	defer srv.Close()
	kv := newKV(srv.URL, time.Second)
	created, v, err := kv.Create(t.Context(), "k", []byte("new"))
	want := Value{Key: "k", Data: []byte("v"), CreateRev: 3, ModRev: 4}
	if created || err != nil || cmp.Diff(want, v) != "" {
		t.Error(created, v, err)
	}
	wantBody := `{"compare":[{"key":"aw==","target":"CREATE","result":"EQUAL","create_revision":"0"}],"success":[{"request_put":{"key":"aw==","value":"bmV3"}}],"failure":[{"request_range":{"key":"aw=="}}]}`
	if diff := cmp.Diff(wantBody, body); diff != "" {
		t.Error(diff)
	}
	if ttl, err := kv.KeepAlive(t.Context(), 7); ttl != 5*time.Second || err != nil {
		t.Error(ttl, err)
	}
	events, err := kv.Watch(t.Context(), "k", 0)
	if err != nil {
		t.Fatal(err)
	}
	first, second, end := <-events, <-events, <-events
	if first.Value.ModRev != 4 || !second.Deleted || end.Err == nil {
		t.Error(first, second, end)
	}
	vms, err := NewVMList(srv.URL+"/vms", 0, nil).List(t.Context())
	backend := fleet.Backend{ID: "e1", Addr: "127.0.0.1:9001", VM: "v", FailureDomain: "bog-a", Kind: fleet.Engine, ChecksFence: true, Leaving: true}
	wantVM := []VM{{ID: "v", Role: RoleEngine, Backend: backend, Addr: backend.Addr, FailureDomain: "bog-a", Leaving: true}}
	if err != nil || cmp.Diff(wantVM, vms) != "" {
		t.Error(cmp.Diff(wantVM, vms), err)
	}
	n, err := NewWeightStore(srv.URL, 0, nil).Size(t.Context(), fleet.ModelRef{Model: "m", Version: "v1", Adapter: "a"})
	if n != 77 || err != nil {
		t.Error(n, err)
	}
}
