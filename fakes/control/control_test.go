package control

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/service"
)

func start(t *testing.T, config string) *Set {
	t.Helper()
	cfg, err := Parse([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func (s *Set) post(t *testing.T, path, body string) int {
	t.Helper()
	resp, err := http.Post("http://"+s.Addr()+"/control/"+path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func body(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestParse(t *testing.T) {
	demo, err := os.ReadFile("../../examples/fakes-demo.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		config string
		want   string // part of the error; empty means none
	}{
		{string(demo), ""},
		{`{"engine_groups":[{"prefix":"e","count":36,"failure_domains":["a","b"],"engine":{"step_ms":1}}]}`, ""},
		{`{"engines":[{"id":"e1","sped":1}]}`, `unknown field "sped"`},
		{`{"engines":[{"id":"e1"},{"id":"e1"}]}`, "used twice"},
		{`{"engine_groups":[{"prefix":"e","count":2}]}`, "failure_domains"},
		{`{} {}`, "data after"},
	} {
		_, err := Parse([]byte(tc.config))
		switch {
		case tc.want == "" && err != nil:
			t.Error(err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want)):
			t.Errorf("%s: %v, want %q", tc.config, err, tc.want)
		}
	}
}

// On the platform the VM list lags behind, so that new work can go to a VM that is already
// leaving. The fake list must be able to lag in the same way: a VM that is marked as
// leaving stays live in the list during the lag, and is leaving when the lag is removed.
func TestVMListLags(t *testing.T) {
	s := start(t, `{"vms":{"lag_ms":3600000},"engines":[{"id":"e1","vm":"vm-1"}]}`)
	if code := s.post(t, "vms/leave", `{"vm":"vm-1"}`); code != http.StatusOK {
		t.Fatal(code)
	}
	list := "http://" + s.VMs.Addr() + "/vms"
	if got := body(t, list); !strings.Contains(got, `"__meta_state":"live"`) {
		t.Fatalf("the list does not lag: %s", got)
	}
	s.post(t, "vms/lag", `{"ms":0}`)
	if got := body(t, list); !strings.Contains(got, `"__meta_state":"leaving"`) {
		t.Fatalf("the change is not shown: %s", got)
	}
	if code := s.post(t, "vms/leave", `{"vm":"vm-2"}`); code != http.StatusBadRequest {
		t.Fatalf("unknown VM: %d", code)
	}
	if code := s.post(t, "e1/melt", ""); code != http.StatusNotFound {
		t.Fatalf("unknown fault: %d", code)
	}
}

// A fake service must show two faults. With close-after-read the service executes a booking
// and closes the connection, as if the service had crashed after the work. With cross the
// service sends the response to another request, as if an intermediary had mixed the two
// up. The record must count both bookings.
func TestServiceFaultsAreRecorded(t *testing.T) {
	s := start(t, `{"services":[{"id":"s1","service":"tags"}]}`)
	base := "http://" + s.Services[0].Addr()
	book := func(id string) (service.Answer, error) {
		var a service.Answer
		req, err := http.NewRequest(http.MethodPost, base+"/book", strings.NewReader("fridge"))
		if err != nil {
			return a, err
		}
		req.Header.Set("X-Request-Id", id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return a, err
		}
		defer resp.Body.Close()
		return a, json.NewDecoder(resp.Body).Decode(&a)
	}
	s.post(t, "s1/close-after-read", "")
	if _, err := book("a"); err == nil {
		t.Fatal("the connection was not closed")
	}
	s.post(t, "s1/cross", "")
	if a, err := book("b"); err != nil || a.RequestID != "a" {
		t.Fatalf("%+v, %v: want the answer of a", a, err)
	}
	r := s.Record().Services[0]
	if r.ByRequest["a"] != 1 || r.ByRequest["b"] != 1 || r.ByBody[service.Digest([]byte("fridge"))] != 2 {
		t.Fatalf("%+v", r)
	}
}

// The control command cut must make a relay act like a network partition: a request gets no
// response, and its connection stays open. After the control command heal, requests must
// get responses again. After the control command kill, connections must be refused.
func TestRelayCutAndKill(t *testing.T) {
	target := start(t, `{}`)
	s := start(t, `{"relays":[{"id":"link","target":"`+target.Addr()+`"}]}`)
	addr := s.Ports()["link"]
	s.post(t, "link/cut", "")
	shortTimeoutClient := http.Client{Timeout: 50 * time.Millisecond}
	if _, err := shortTimeoutClient.Get("http://" + addr + "/control/calls"); err == nil {
		t.Fatal("bytes pass the cut")
	}
	s.post(t, "link/heal", "")
	if text := body(t, "http://"+addr+"/control/calls"); strings.TrimSpace(text) != "{}" {
		t.Fatal(text)
	}
	s.post(t, "link/kill", "")
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Fatal("the killed relay accepts connections")
	}
}
