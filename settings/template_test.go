package settings_test

import (
	"encoding/json"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fakes/deploy"
	"wigeondale/settings"
)

// platformFields returns the fields that the platform fills in the template from.
func platformFields() map[string]any {
	number := func(text string) any { return json.Number(text) }
	return map[string]any{
		"node_name": "edge-bog-a-1", "role": "router", "zone": "bog-a", "region": "co-centro", "ip": "10.1.0.19", "bootstrap": true,
		"heartbeat_ms": number("1200"), "data_dir": nil, "seeds": []any{"10.1.0.19:8748"}, "internal_ports": []any{number("7200"), number("7215")},
		"listen":   map[string]any{"front": "10.1.0.19:8740", "readiness": "10.1.0.19:8749", "control": "10.1.0.19:8748"},
		"limits":   map[string]any{"cpu_share": number("0.4"), "memory_mb": number("284"), "max_fds": number("4100")},
		"platform": map[string]any{"address": "10.200.1.7:8742", "form": "kv", "writes_per_s": number("400")},
		"bounds": map[string]any{
			"drain_ms": number("2000"), "grace_s": number("8"), "strict_revocation": false, "retry_budget_ratio": number("0.8"),
			"retry_window_s": number("10"), "budget_slack": number("150"), "exposure_share": number("0.2"), "expose_slack": number("30"),
		},
	}
}

// set replaces the field at a path such as bounds.grace_s; nil removes it.
func set(fields map[string]any, path string, v any) {
	table, name := fields, path
	if section, field, nested := strings.Cut(path, "."); nested {
		table, name = fields[section].(map[string]any), field
	}
	if v == nil {
		delete(table, name)
		return
	}
	table[name] = v
}

func template(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../deploy/wigeond.json.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func render(template string, fields map[string]any) (*settings.Settings, error) {
	text, err := deploy.Render(template, fields)
	if err != nil {
		return nil, err
	}
	return settings.Parse([]byte(text))
}

// field is a number of the platform that the template fills in.
type field struct {
	path   string
	read   func(*settings.Settings) float64
	count  bool // it is rounded down, to 1 at least
	absent float64
}

func seconds(d time.Duration) float64 { return d.Seconds() }

var templateNumbers = []field{
	{"limits.memory_mb", func(s *settings.Settings) float64 { return float64(s.Limits.MemoryMB) }, true, 0},
	{"limits.max_fds", func(s *settings.Settings) float64 { return float64(s.Limits.Descriptors) }, true, 0},
	{"platform.writes_per_s", func(s *settings.Settings) float64 { return s.Hosted.StoreWritesPerS }, false, 400},
	{"heartbeat_ms", func(s *settings.Settings) float64 { return s.Hosted.HeartbeatMS }, false, 1200},
	{"bounds.grace_s", func(s *settings.Settings) float64 { d, _ := s.Hosted.Grace(); return seconds(d) }, false, 0},
	{"bounds.exposure_share", func(s *settings.Settings) float64 { return s.Hosted.RolloutShare }, false, 0.1},
	{"bounds.expose_slack", func(s *settings.Settings) float64 { return s.Hosted.RolloutBurst }, false, 50},
	{"bounds.retry_window_s", func(s *settings.Settings) float64 { return seconds(s.Hosted.RetryWindow()) }, false, 0},
	{"bounds.retry_budget_ratio", func(s *settings.Settings) float64 { return s.Hosted.RetryShare }, false, 0.8},
	{"bounds.budget_slack", func(s *settings.Settings) float64 { return s.Hosted.RetryBurst }, false, 150},
}

// Guards against routers that all refuse to start because a number of the platform has a fraction, is written in another notation of the
// same number, is very small or large, or isn't there.
func TestTemplateTakesEachFormOfANumber(t *testing.T) {
	text := template(t)
	for _, f := range templateNumbers {
		for _, c := range []struct {
			written any
			want    float64
		}{
			{json.Number("8"), 8}, {json.Number("8.0"), 8}, {json.Number("8e0"), 8}, {json.Number("0.8E+1"), 8}, {json.Number("7.5"), 7.5},
			{json.Number("0"), 0}, {json.Number("0.25"), 0.25}, {json.Number("90000"), 90000}, {json.Number("9e4"), 90000}, {nil, f.absent},
		} {
			want := c.want
			if f.count && c.written != nil && want != 0 {
				want = max(math.Floor(want), 1)
			}
			fields := platformFields()
			set(fields, f.path, c.written)
			s, err := render(text, fields)
			if err != nil {
				t.Errorf("%s %v: no router starts: %v", f.path, c.written, err)
			} else if got := f.read(s); math.Abs(got-want) > 1e-9 {
				t.Errorf("%s %v: %v, want %v", f.path, c.written, got, want)
			}
		}
	}
	for port, want := range map[any]string{json.Number("7200"): "10.1.0.19:7200", json.Number("7200.0"): "10.1.0.19:7200", json.Number("72e2"): "10.1.0.19:7200"} {
		fields := platformFields()
		fields["internal_ports"] = []any{port}
		if s, err := render(text, fields); err != nil || s.Hosted.PeerAddress != want {
			t.Errorf("port %v: %v", port, err)
		}
	}
}

// Guards against times so long that a sum of them overflows: a stop would be over before it begins.
func TestLongTimesDoNotOverflow(t *testing.T) {
	for _, text := range []string{`"grace_s": 1e300`, `"grace_ms": 1e18`, `"grace_s": 9223372036`} {
		s, err := settings.Parse([]byte(`{"node": {"id": "n", "vm": "n", "failure_domain": "d", "region": "r"}, "hosted": {"front_address": "h:1",
			"readiness_address": "h:1", "metrics_address": "h:1", "peer_address": "h:1", "store_address": "h:1", "retry_window_s": 1e300, ` + text + `}}`))
		if err != nil {
			t.Fatal(err)
		}
		const most = 1000 * 24 * time.Hour
		if grace, known := s.Hosted.Grace(); !known || grace < time.Hour || grace > most || s.Hosted.RetryWindow() > most {
			t.Errorf("%s: grace %v, window %v", text, grace, s.Hosted.RetryWindow())
		}
	}
}

// Guards against forms of several numbers that only together stop a router, and against renderings of an absent value as null.
func TestTemplateTakesAnyFormsTogether(t *testing.T) {
	text := template(t)
	forms := []any{json.Number("8"), json.Number("8.0"), json.Number("8e0"), json.Number("7.5"), json.Number("0"), json.Number("1e6"), json.Number("1e-9"), nil}
	rapid.Check(t, func(t *rapid.T) {
		fields := platformFields()
		for _, f := range templateNumbers {
			set(fields, f.path, rapid.SampledFrom(forms).Draw(t, f.path))
		}
		if rapid.Bool().Draw(t, "no bounds") {
			delete(fields, "bounds")
		}
		delete(fields, rapid.SampledFrom([]string{"", "bootstrap", "limits"}).Draw(t, "absent"))
		rendered, err := deploy.Render(text, fields)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.Bool().Draw(t, "null") {
			rendered = strings.ReplaceAll(rendered, ": 0,", ": null,")
		}
		if _, err := settings.Parse([]byte(rendered)); err != nil {
			t.Fatalf("no router starts: %v\n%s", err, rendered)
		}
	})
}

// Guards against an operator's mistake that is taken for a value, or refused without its field.
func TestMistakesInTheTemplatesValuesAreNamed(t *testing.T) {
	text := template(t)
	names := map[string]string{
		"limits.memory_mb": "limits.memory_mb", "limits.max_fds": "limits.descriptors", "platform.writes_per_s": "hosted.store_writes_per_s",
		"heartbeat_ms": "hosted.heartbeat_ms", "bounds.grace_s": "hosted.grace_s", "bounds.exposure_share": "hosted.rollout_share",
		"bounds.expose_slack": "hosted.rollout_burst", "bounds.retry_window_s": "hosted.retry_window_s",
		"bounds.retry_budget_ratio": "hosted.retry_share", "bounds.budget_slack": "hosted.retry_burst",
	}
	for path, name := range names {
		for _, mistake := range []any{"8s", true, []any{json.Number("8")}, json.Number("-1")} {
			fields := platformFields()
			set(fields, path, mistake)
			_, err := render(text, fields)
			var problems settings.Problems
			if !errors.As(err, &problems) || len(problems) != 1 || problems[0].Path != name {
				t.Errorf("%s %v: %v, want a problem of %s", path, mistake, err, name)
			}
		}
	}
	if len(names) != len(templateNumbers) {
		t.Errorf("%d of %d numbers are checked", len(names), len(templateNumbers))
	}
	for absent, name := range map[string]string{
		"internal_ports.0": "hosted.peer_address", "ip": "hosted.peer_address", "listen.front": "hosted.front_address",
		"listen.readiness": "hosted.readiness_address", "platform.address": "hosted.store_address", "node_name": "node.id", "zone": "node.failure_domain",
	} {
		fields := platformFields()
		if absent == "internal_ports.0" {
			absent = "internal_ports"
		}
		set(fields, absent, nil)
		if _, err := render(text, fields); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("without %s: %v, want a problem of %s", absent, err, name)
		}
	}
	if _, err := settings.Parse([]byte(`{"hosted": {"grace_s": 8, "grace_ms": 8000}}`)); err == nil || !strings.Contains(err.Error(), "hosted.grace_ms") {
		t.Errorf("grace stated twice: %v", err)
	}
}
