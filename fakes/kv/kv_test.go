package kv

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
)

func start(t *testing.T) *Server {
	t.Helper()
	s := New("127.0.0.1:0")
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// call posts a request. It returns false if there was no response.
func call(t *testing.T, s *Server, path string, req, resp any) bool {
	t.Helper()
	body, err := json.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post("http://"+s.Addr()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(resp); err != nil {
		t.Fatal(err)
	}
	return true
}

func create(key, value string) txnRequest {
	return txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "CREATE", Result: "EQUAL"}},
		Success: []operation{{Put: &putRequest{Key: []byte(key), Value: []byte(value)}}},
		Failure: []operation{{Range: &rangeRequest{Key: []byte(key)}}},
	}
}

// If the service crashes or the network fails after a write, the response is lost and the
// writer doesn't know whether the write was applied. The switch lose-answers must imitate
// this: a create is applied and its connection is closed; the next create of the key then
// fails its compare and returns the first value.
func TestLostAnswerIsApplied(t *testing.T) {
	s := start(t)
	if err := s.Fault("lose-answers", json.RawMessage(`{"n":1,"prefix":"log/"}`)); err != nil {
		t.Fatal(err)
	}
	var resp txnResponse
	if !call(t, s, "/v3/kv/txn", create("other", "x"), &resp) || !resp.Succeeded {
		t.Fatal("the response for a key outside of the prefix was lost")
	}
	if call(t, s, "/v3/kv/txn", create("log/1", "first"), &resp) {
		t.Fatal("the response was not lost")
	}
	resp = txnResponse{}
	if !call(t, s, "/v3/kv/txn", create("log/1", "second"), &resp) {
		t.Fatal("more than one response was lost")
	}
	if resp.Succeeded || string(resp.Responses[0].Range.Kvs[0].Value) != "first" {
		t.Fatalf("the lost write was not applied: %+v", resp)
	}
	if got := s.Calls()[kindTxn]; got != 3 {
		t.Fatalf("%d txn calls counted, want 3", got)
	}
}

func TestCompareTargets(t *testing.T) {
	s := newStore()
	put := operation{Put: &putRequest{Key: []byte("k"), Value: []byte("v")}}
	for range 2 {
		if _, err := s.txn(&txnRequest{Success: []operation{put}}); err != nil {
			t.Fatal(err)
		}
	}
	it := s.items["k"]
	for _, tc := range []struct {
		c    compare
		want bool
	}{
		{compare{Target: "MOD", ModRevision: it.ModRevision}, true},
		{compare{Target: "MOD", ModRevision: it.CreateRevision}, false},
		{compare{Target: "CREATE", CreateRevision: it.CreateRevision}, true},
		{compare{Target: "VERSION", Version: 2}, true},
		{compare{Target: "VERSION", Version: 2, Result: "GREATER"}, false},
		{compare{Target: "VALUE", Value: []byte("v"), Result: "NOT_EQUAL"}, false},
	} {
		tc.c.Key = []byte("k")
		resp, err := s.txn(&txnRequest{Compare: []compare{tc.c}})
		if err != nil || resp.Succeeded != tc.want {
			t.Errorf("%+v: %v, %v", tc.c, resp, err)
		}
	}
}

// When the owner of a lease is paused for longer than its time to live, the lease must
// expire: the keys of the lease are deleted, watches report the deletions, and a later
// keepalive finds no lease.
func TestLapsedLeaseDeletesItsKeys(t *testing.T) {
	s := start(t)
	var lease leaseResponse
	call(t, s, "/v3/lease/grant", grantRequest{TTL: 1}, &lease)
	var put putResponse
	call(t, s, "/v3/kv/put", putRequest{Key: []byte("lead"), Value: []byte("me"), Lease: lease.ID}, &put)

	body, err := json.Marshal(watchRequest{&watchCreate{Key: []byte("lead"), StartRevision: put.Header.Revision}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post("http://"+s.Addr()+"/v3/watch", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	var types []string
	for d := json.NewDecoder(r.Body); len(types) < 2; {
		var w watchResponse
		if err := d.Decode(&w); err != nil {
			t.Fatal(err)
		}
		for _, e := range w.Result.Events {
			types = append(types, e.Type)
		}
	}
	if types[0] != "" || types[1] != typeDelete {
		t.Fatalf("events %q, want a put, then a delete", types)
	}
	var alive keepAliveResponse
	call(t, s, "/v3/lease/keepalive", leaseRequest{lease.ID}, &alive)
	if alive.Result.TTL != 0 {
		t.Fatal("the expired lease was kept alive")
	}
}
