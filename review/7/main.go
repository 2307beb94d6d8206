// Command 7 is a case of the second review: routers whose settings have a bound that is a fraction don't start.
//
// Exit code 1: the rule RECOVER was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 changes the bound to a whole number.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"wigeondale/review/rig2"
)

const (
	routers  = 3
	before   = 100 // requests before the final fault
	after    = 100 // requests later than recovery_s after it
	interval = 20 * time.Millisecond
	downFor  = time.Second      // of the processes that are killed
	recovery = 12 * time.Second // recovery_s
)

func main() {
	r, err := rig2.New(filepath.Join("review", "7"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(rig2.NotRun)
	}
	code, err := play(r)
	if err != nil {
		r.Log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = rig2.NotRun
	}
	r.Close()
	os.Exit(code)
}

func play(r *rig2.Rig) (int, error) {
	r.Store.PutJSON("op/config", map[string]any{
		"version": 1,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"routes": []any{map[string]any{
			"name": "app", "host": "a.example", "prefix": "/app/", "route_type": "idempotent", "service": "app",
			"timeout_ms": 2000, "target_latency_ms": 300, "max_attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz"}},
		"tenants":  []any{map[string]any{"name": "t", "api_keys": []string{"key"}}},
	})
	for i := range 3 {
		p := &rig2.Replica{ID: fmt.Sprintf("i-app-%d", i), Service: "app", Zone: "bog-a"}
		p.Serve = func(a *rig2.Arrival) bool { return a.Answer(http.StatusOK, "done") }
		if err := r.AddReplica(p); err != nil {
			return 0, err
		}
	}
	var nodes []*rig2.Router
	for i := range routers {
		n, err := r.AddRouter(fmt.Sprintf("edge-%d", i), "bog-a", r.Store.Addr(), true)
		if err != nil {
			return 0, err
		}
		nodes = append(nodes, n)
	}
	// The platform renders the settings at every start and at every change.
	if err := render(r, nodes, 8, true); err != nil {
		return 0, err
	}
	if err := restart(nodes); err != nil {
		return 0, err
	}
	for _, n := range nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * time.Second)
	servedBefore := send(r, nodes, "b", before)
	grace := 7.5
	if os.Getenv("TROUBLE") == "0" {
		grace = 7
	}
	r.Log("the settings change: grace_s is %v now", grace)
	if err := render(r, nodes, grace, false); err != nil {
		return 0, err
	}
	for _, n := range nodes {
		n.Signal(syscall.SIGHUP)
	}
	time.Sleep(3 * time.Second)
	if err := restart(nodes); err != nil {
		return 0, err
	}
	stop := keepRunning(nodes)
	time.Sleep(recovery + time.Second)
	servedAfter := send(r, nodes, "a", after)
	close(stop)
	for _, n := range nodes {
		lines := strings.Split(strings.TrimSpace(n.Output()), "\n")
		r.Log("the last line of %s: %s", n.ID, lines[len(lines)-1])
	}
	r.Log("served: %d of %d before the final fault, %d of %d later than %v after it", servedBefore, before, servedAfter, after, recovery)
	fmt.Printf("served: %d of %d before the final fault, %d of %d after it\n", servedBefore, before, servedAfter, after)
	switch {
	case servedBefore < before/4:
		return rig2.NotRun, nil
	case servedAfter < after/4:
		return rig2.Broken, nil
	}
	return rig2.Held, nil
}

// restart kills all processes and starts them with the settings in effect.
func restart(nodes []*rig2.Router) error {
	for _, n := range nodes {
		n.Kill()
	}
	time.Sleep(downFor)
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// keepRunning starts processes that have ended again, as the platform does.
func keepRunning(nodes []*rig2.Router) (stop chan struct{}) {
	stop = make(chan struct{})
	for _, n := range nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-n.Ended():
				}
				select {
				case <-stop:
					return
				case <-time.After(downFor):
				}
				_ = n.Start()
			}
		}()
	}
	return stop
}

func send(r *rig2.Rig, nodes []*rig2.Router, name string, count int) (served int) {
	for i := range count {
		id := fmt.Sprintf("%s%07x", name, i)
		n := nodes[i%len(nodes)]
		reply := r.Send(n.Front, fmt.Sprintf("GET /app/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Api-Key: key\r\nX-Deadline-Ms: 4000\r\n\r\n", id), 4*time.Second, nil)
		r.Log("client sends %s to %s and gets status %d, error %v", id, n.ID, reply.Status, reply.Err)
		if reply.Whole() {
			served++
		}
		time.Sleep(interval)
	}
	return served
}

// render writes the settings of each router by the template of the deploy file, with the fields that DEPLOY.md shows.
func render(r *rig2.Rig, nodes []*rig2.Router, graceS float64, bootstrap bool) error {
	template, err := os.ReadFile("deploy/wigeond.json.tmpl")
	if err != nil {
		return err
	}
	for _, n := range nodes {
		ip, peerPort, err := net.SplitHostPort(n.Peer)
		if err != nil {
			return err
		}
		var port int
		fmt.Sscan(peerPort, &port)
		text := fill(string(template), map[string]any{
			"node_name": n.ID, "zone": "bog-a", "region": "co-centro", "ip": ip, "bootstrap": bootstrap, "heartbeat_ms": 1200,
			"listen": map[string]any{"front": n.Front, "readiness": n.Ready}, "internal_ports": map[string]any{"0": port},
			"limits":   map[string]any{"memory_mb": 284, "max_fds": 4100},
			"platform": map[string]any{"address": r.Store.Addr(), "writes_per_s": 400},
			"bounds":   map[string]any{"grace_s": graceS, "retry_window_s": 10, "retry_budget_ratio": 0.8, "budget_slack": 150},
		})
		// Each router has the address 127.0.0.1 here, so that they can't share the port of the metrics.
		text = strings.Replace(text, ip+":7201", n.Stats, 1)
		if err := n.WriteSettings(text); err != nil {
			return err
		}
	}
	return nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill renders what of the templates of DEPLOY.md this template uses: sections of values that are there or not, and values.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookup(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		if m[2] == "" && v != nil {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for name := range strings.SplitSeq(path, ".") {
		table, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = table[name]
	}
	return v
}
