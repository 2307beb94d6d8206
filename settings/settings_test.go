package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wigeondale/settings"
)

func demo(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../examples/demo/entry-1.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A misspelt field, a wrong type, a field given twice and an invalid value must each be
// reported with its path, all at once. With a lenient parser a node runs with settings
// that its operator did not write, which is only noticed when a default causes harm.
func TestParseNamesEachFault(t *testing.T) {
	text := demo(t)
	for old, now := range map[string]string{
		`"region": "co-centro"`:              `"region": 7, "zone": "x", "backend_proxy_address": "nowhere"`,
		`"min_suspect_ms": 50`:               `"min_suspect_ms": "50ms"`,
		`"max_suspect_ms": 1000`:             `"max_suspect_ms": 0.5`,
		`"role": "confirmer"`:                `"role": "owner", "name": "demo"`,
		`"address": "127.0.0.1:19202"`:       `"address": "127.0.0.1:70000"`,
		`"key_file": "keys/cursor.key"`:      `"max_age_s": null`,
		`"kv_url": "http://127.0.0.1:19101"`: `"kv_url": "127.0.0.1:19101"`,
		`"heartbeat_ms": 200`:                `"heartbeat_ms": 0`,
		`"balancer_notice_ms": 500`:          `"balancer_notice_ms": -1`,
		`"load_poll_ms": 100`:                `"load_poll_ms": [100]`,
	} {
		if !strings.Contains(text, old) {
			t.Fatalf("the example has no %s", old)
		}
		text = strings.Replace(text, old, now, 1)
	}
	_, err := settings.Parse([]byte(text))
	var problems settings.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got %v", err)
	}
	got := map[string]int{}
	for _, p := range problems {
		got[p.Path]++
		if p.Want == "" || p.Got == "" {
			t.Errorf("%s: incomplete problem: %v", p.Path, p)
		}
	}
	for _, path := range []string{
		"node.region", "node.zone", "node.backend_proxy_address", "policy.min_suspect_ms", "policy.max_suspect_ms", "operators[0].role", "operators[0].name",
		"listen.admin.address", "cursor.max_age_s", "cursor.key_file", "platform.kv_url",
		"peers.heartbeat_ms", "shutdown.balancer_notice_ms", "directory.load_poll_ms",
	} {
		if got[path] == 0 {
			t.Errorf("%s is not reported", path)
		}
		delete(got, path)
	}
	for path := range got {
		t.Errorf("%s is reported without a fault", path)
	}
}

// Guards against an address of the proxy to other nodes that is only found to be unusable when the links fail.
func TestParseChecksPeerProxy(t *testing.T) {
	const field = "hosted.peer_proxy_address"
	for value, wrong := range map[string]bool{"nowhere": true, "127.0.0.1:70000": true, "127.0.0.1:1": false, "": false} {
		_, err := settings.Parse(fmt.Appendf(nil, `{"hosted": {"peer_proxy_address": %q}}`, value))
		if err == nil || strings.Contains(err.Error(), field) != wrong {
			t.Errorf("%q: %v", value, err)
		}
	}
}

func TestParseWholeText(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null", "7", demo(t) + "x", `{"node":`, "{} {}"} {
		if _, err := settings.Parse([]byte(text)); err == nil {
			t.Errorf("%.20q is accepted", text)
		}
	}
}

// The examples must be valid settings, and what is printed must not contain secrets.
func TestExamples(t *testing.T) {
	t.Setenv("WIGEON_PEER_KEY", strings.Repeat("p", 32))
	t.Setenv("WIGEON_CURSOR_KEY", strings.Repeat("c", 32))
	for _, name := range []string{"demo/entry-1", "demo/entry-2", "demo/entry-3"} {
		s, err := settings.Load("../examples/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		key, _ := s.CursorKeys()
		if len(key) < 32 || len(s.PeerKey()) < 32 || s.Node.Incarnation == "auto" {
			t.Errorf("%s: keys or incarnation are not loaded", name)
		}
		shown := s.Printable()
		if !json.Valid(shown) || strings.Contains(string(shown), s.Operators[0].TokenSHA256) {
			t.Errorf("%s: the printed settings contain a secret", name)
		}
	}
	for name, wantLatencyFirst := range map[string]bool{"notas-abiertas": false, "portalon": true} {
		data, err := os.ReadFile("../examples/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		s, err := settings.Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := s.Policy.ResumeLatencyWeight > s.Policy.ExtraWorkWeight; got != wantLatencyFirst {
			t.Errorf("%s: latency has the higher weight: %v", name, got)
		}
	}
}

// A key file that is missing or too short must be reported at start with its path.
func TestLoadChecksKeys(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.json")
	if err := errors.Join(
		os.Mkdir(filepath.Join(dir, "keys"), 0o700),
		os.WriteFile(path, []byte(demo(t)), 0o600),
		os.WriteFile(filepath.Join(dir, "keys", "peer.key"), []byte("short"), 0o600),
	); err != nil {
		t.Fatal(err)
	}
	_, err := settings.Load(path)
	var problems settings.Problems
	if !errors.As(err, &problems) || len(problems) != 2 {
		t.Fatalf("got %v", err)
	}
	if problems[0].Path != "peers.key_file" || problems[1].Path != "cursor.key_file" {
		t.Fatalf("got %v", problems)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(demo(f)))
	f.Add([]byte(`{"operators":[{"role":1}],"listen":{"caller":{"tls":{}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err != nil {
			return
		}
		if s.Check() != nil {
			t.Fatal("accepted, but the check fails")
		}
	})
}
