package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"wigeondale/clock"
	"wigeondale/deploy"
	fakes "wigeondale/fakes/deploy"
)

// platformSettings are the fields from which the settings of all routers are rendered. They change while the routers run, as on the
// platform.
type platformSettings struct {
	template string

	mu    sync.Mutex // held while files are written, and until a router that was sent SIGTERM has read its file
	forms map[string]string
}

// settingsForms are the forms of each number that a change draws from, in JSON; an empty one means that there is none.
var settingsForms = map[string][]string{
	"bounds.grace_s":            {"2", "2.0", "3e0", "2.5", "3.25", "10", ""},
	"bounds.retry_budget_ratio": {"0.8", "8e-1", "1", "1.0", "0.125", ""},
	"bounds.budget_slack":       {"150", "150.0", "1.5e2", "40.5", ""},
	"bounds.retry_window_s":     {"10", "10.0", "1e1", "7.5", ""},
	"bounds.exposure_share":     {"0.2", "2e-1", "1", ""},
	"bounds.expose_slack":       {"30", "30.0", "3e1", "12.5", ""},
	"heartbeat_ms":              {"1200", "1200.0", "1.2e3", "1100.5", ""},
	"limits.memory_mb":          {"284", "284.0", "2.84e2", "284.5", ""},
	"limits.max_fds":            {"4100", "4100.0", "4.1e3", "4000.5", ""},
	"platform.writes_per_s":     {"400", "400.0", "4e2", "350.5", ""},
}

// settingsFields are the fields of settingsForms, in a fixed order.
var settingsFields = []string{
	"bounds.grace_s", "bounds.retry_budget_ratio", "bounds.budget_slack", "bounds.retry_window_s", "bounds.exposure_share",
	"bounds.expose_slack", "heartbeat_ms", "limits.memory_mb", "limits.max_fds", "platform.writes_per_s",
}

func newPlatformSettings(cfg *Config) (*platformSettings, error) {
	s := &platformSettings{template: deploy.SettingsTemplate, forms: map[string]string{}}
	if cfg.Template != "" {
		text, err := os.ReadFile(cfg.Template)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		s.template = string(text)
	}
	for _, path := range settingsFields {
		s.forms[path] = settingsForms[path][0]
	}
	return s, nil
}

// grace returns the time from the signal to end to the kill, and false if there is none. The caller holds s.mu.
func (s *platformSettings) grace() (time.Duration, bool) {
	seconds, err := json.Number(s.forms["bounds.grace_s"]).Float64()
	return time.Duration(seconds * float64(time.Second)), err == nil
}

// render returns the settings of a router as the template gives them, with the fields that the run sets itself. The caller holds s.mu.
func (s *platformSettings) render(n *node, domain string, first bool, addrs map[string]string, own map[string]map[string]any) ([]byte, error) {
	host, port, err := net.SplitHostPort(n.peer)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	fields := map[string]any{
		"node_name": n.id, "zone": domain, "region": "r", "ip": host, "bootstrap": first, "internal_ports": []any{json.Number(port)},
		"listen": map[string]any{"front": addrs["front"], "readiness": addrs["ready"]}, "bounds": map[string]any{},
		"limits": map[string]any{}, "platform": map[string]any{"address": n.link.Addr()},
	}
	for path, form := range s.forms {
		table, name := fields, path
		if section, field, nested := strings.Cut(path, "."); nested {
			table, name = fields[section].(map[string]any), field
		}
		if form != "" {
			table[name] = json.Number(form)
		}
	}
	text, err := fakes.Render(s.template, fields)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return withOwn(text, own)
}

// withOwn replaces fields of the sections of rendered settings; the others keep their notation.
func withOwn(text string, own map[string]map[string]any) ([]byte, error) {
	var sections map[string]map[string]json.RawMessage
	if err := json.Unmarshal([]byte(text), &sections); err != nil {
		return []byte(text), nil // the router has to say so
	}
	for section, fields := range own {
		if sections[section] == nil {
			sections[section] = map[string]json.RawMessage{}
		}
		for name, v := range fields {
			raw, err := json.Marshal(v)
			if err != nil {
				return nil, Error.Wrap(err)
			}
			sections[section][name] = raw
		}
	}
	out, err := json.Marshal(sections)
	return out, Error.Wrap(err)
}

const (
	// maxSettingsHangups is the largest number of hangups in a row.
	maxSettingsHangups = 30
	// beginTime bounds how long a router takes to begin its stop.
	beginTime = 20 * time.Second
	// endTime is how much later than its kill a stopping router may end on a busy machine.
	endTime = 20 * time.Second
)

// changeSettings changes the settings of all routers, with or without signals, and may tell a router to end, or kill all of them,
// after it.
func (r *platformRun) changeSettings(ctx context.Context, rng *rand.Rand) {
	r.drawSettings(rng)
	hangups := []int{0, 1, 1, maxSettingsHangups}[rng.IntN(4)]
	all := rng.IntN(2) == 0
	for i, n := range r.nodes {
		if all || i == 0 {
			hangUp(n, hangups)
		}
	}
	if !clock.Sleep(ctx, time.Duration(rng.Int64N(int64(1500*time.Millisecond)))) {
		return
	}
	switch rng.IntN(4) {
	case 0:
		r.restartAll(rng)
	case 1, 2:
		r.stopWithSettings(rng, r.nodes[rng.IntN(len(r.nodes))])
	}
}

func hangUp(n *node, times int) {
	for range times {
		if n.hasStarted() {
			n.signal(syscall.SIGHUP)
		}
	}
}

// drawSettings changes some of the fields, and writes the files of all routers.
func (r *platformRun) drawSettings(rng *rand.Rand) {
	s := r.settings
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 1 + rng.IntN(3) {
		path := settingsFields[rng.IntN(len(settingsFields))]
		if rng.IntN(3) == 0 {
			path = settingsFields[0]
		}
		forms := settingsForms[path]
		s.forms[path] = forms[rng.IntN(len(forms))]
		r.history.add(fmt.Sprintf("settings: %s is %q", path, s.forms[path]))
	}
	for _, n := range r.nodes {
		if err := n.rewriteLocked(); err != nil {
			r.checks.violated("settings are rendered", "", err.Error())
		}
	}
}

// restartAll kills all routers, and starts them with the settings of then.
func (r *platformRun) restartAll(rng *rand.Rand) {
	r.history.add("all routers are killed after a change of the settings")
	for _, n := range r.nodes {
		n.kill()
	}
	if rng.IntN(2) == 0 {
		r.drawSettings(rng)
	}
	for _, n := range r.nodes {
		n.restart()
	}
}

// stopWithSettings sends a router SIGTERM, checks that it plans its stop with the settings of that moment, and that it has ended before
// the kill.
func (r *platformRun) stopWithSettings(rng *rand.Rand, n *node) {
	s := r.settings
	s.mu.Lock()
	if !n.hasStarted() || n.wasToldToEnd() || n.isPaused() {
		s.mu.Unlock()
		return
	}
	grace, known := s.grace()
	hangUp(n, rng.IntN(2)*maxSettingsHangups)
	log := n.currentLog()
	incarnation := n.incarnation()
	n.signal(syscall.SIGTERM)
	r.history.add(fmt.Sprintf("%s is told to end, with a grace of %v (known: %v)", incarnation, grace, known))
	planned, begun := log.awaitField(`"shutdown-begun"`, "grace_ms", beginTime)
	s.mu.Unlock()
	if rng.IntN(2) == 0 {
		r.drawSettings(rng) // between its stop and its start
	}
	ended := n.awaitExit(grace + endTime)
	harmed := r.checks.stops.wasHarmed(incarnation)
	switch {
	case harmed || !begun && ended:
		// Another fault killed or paused it meanwhile, or it had not begun to serve.
	case !begun:
		r.checks.violated("a signal to end isn't lost", "", incarnation+" doesn't begin to stop")
	case planned != plannedGrace(grace, known):
		r.checks.violated("a stop is planned with the settings of its moment", "",
			fmt.Sprintf("%s plans with %s, want %s", incarnation, planned, plannedGrace(grace, known)))
	case known && !ended:
		r.checks.violated("a router that stops ends before its kill", "", incarnation)
	}
	if !ended {
		n.kill()
	}
	n.restart()
}

// plannedGrace returns what a router logs as the time of its stop: it ends 0.3 s before the kill (docs/design/stopping.md).
func plannedGrace(grace time.Duration, known bool) string {
	if !known {
		return `"not known"`
	}
	const margin = 300 * time.Millisecond
	return fmt.Sprint((grace - margin).Milliseconds())
}

// writeRendered writes the settings of the node's next process as the platform renders them. The caller holds r.settings.mu.
func (n *node) writeRendered(r *platformRun, i int, front, ready, stats string) error {
	hosted := map[string]any{"metrics_address": stats}
	if n.peerProxy != nil {
		hosted["peer_proxy_address"] = n.peerProxy.Addr()
	}
	var limits map[string]any
	if err := json.Unmarshal(r.cfg.limits(), &limits); err != nil {
		return Error.Wrap(err)
	}
	text, err := r.settings.render(n, fmt.Sprintf("d%d", i%2), r.cfg.firstStart() && n.launches == 0,
		map[string]string{"front": front, "ready": ready}, map[string]map[string]any{
			"node": {"backend_proxy_address": n.proxy}, "shutdown": {"balancer_notice_ms": 300}, "limits": limits,
			"log": {"lines_per_second": 1000000}, "hosted": hosted,
		})
	if err != nil {
		return err
	}
	return Error.Wrap(os.WriteFile(n.settingsPath(), text, 0o600))
}
