// Package bench measures the complete request path of a daemon against the performance
// limits of docs/CAPACITY.md. The daemon runs in the test process with all components that
// it has in a deployment, and is configured through its administration API. Stand-ins and
// callers run in a second process of the same test binary, so that the processor time of the
// test process is that of the daemon.
package bench

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeondale/ctl"
	"wigeondale/daemon"
	"wigeondale/settings"
)

const (
	loadEnv  = "WIGEON_BENCH_LOAD" // set in the process of stand-ins and callers
	apiKey   = "bench-key"
	operator = "bench-operator"
	// suspectMS is a suspicion threshold that keeps the failure detector out of the
	// measurement: on a busy machine a shorter one would resume streams whose engines merely
	// wait for a processor.
	suspectMS = 16_000 // ms, the maximum that package health accepts
)

func TestMain(m *testing.M) {
	if os.Getenv(loadEnv) != "" {
		if err := serveJobs(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	shared.close()
	os.Exit(code)
}

// deployment is a running daemon and the load process with its stand-ins and callers.
type deployment struct {
	cmd    *exec.Cmd
	send   *json.Encoder
	recv   *json.Decoder
	ports  map[string]string
	caller string
	admin  string
	dir    string
}

// shared is used by all benchmarks, since a daemon in this process cannot be shut down.
var shared deployment

var (
	startOnce sync.Once
	openErr   error
)

func sharedDeployment(b *testing.B) *deployment {
	startOnce.Do(func() {
		openErr = shared.open()
	})
	if openErr != nil {
		b.Fatal(openErr)
	}
	return &shared
}

func (d *deployment) close() {
	if d.cmd == nil {
		return
	}
	d.cmd.Process.Kill()
	d.cmd.Wait()
	os.RemoveAll(d.dir)
}

func (d *deployment) open() error {
	if err := d.startLoad(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wigeon-bench")
	if err != nil {
		return err
	}
	d.dir = dir
	caller, admin := freeAddr(), freeAddr()
	file, err := d.writeSettings(caller, admin)
	if err != nil {
		return err
	}
	// The daemon's log is discarded, since it would mix with the results of the benchmarks.
	if os.Stderr, err = os.OpenFile(os.DevNull, os.O_WRONLY, 0); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() {
		var out bytes.Buffer
		code := daemon.Main([]string{"--config", file}, &out, &out)
		exited <- fmt.Errorf("the daemon exited with code %d: %s", code, out.String())
	}()
	d.caller, d.admin = "http://"+caller, admin
	return configure(admin, exited)
}

func (d *deployment) startLoad() error {
	d.cmd = exec.Command(os.Args[0])
	d.cmd.Env = append(os.Environ(), loadEnv+"=1")
	d.cmd.Stderr = os.Stderr
	in, err := d.cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := d.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	d.send, d.recv = json.NewEncoder(in), json.NewDecoder(out)
	if err := d.cmd.Start(); err != nil {
		return err
	}
	return d.recv.Decode(&d.ports)
}

func (d *deployment) writeSettings(caller, admin string) (string, error) {
	for _, key := range []string{"peer.key", "cursor.key"} {
		err := os.WriteFile(filepath.Join(d.dir, key), []byte(strings.Repeat(key+"-of-a-test-", 4)), 0o600)
		if err != nil {
			return "", err
		}
	}
	def := settings.Default()
	policy, peers, limits := def.Policy, def.Peers, def.Limits
	policy.MinSuspectMS, policy.MaxSuspectMS = suspectMS-1000, suspectMS
	peers.KeyFile = "peer.key"
	limits.RequestsPerEngine = runningPerEngine
	data, err := json.Marshal(map[string]any{
		"node":   settings.Node{ID: "r1", VM: "vm-r1", FailureDomain: "d1", Region: "r", Incarnation: "auto"},
		"listen": map[string]any{"caller": address(caller), "admin": address(admin), "peer": address(freeAddr())},
		"platform": settings.Platform{
			KVURL: "http://" + d.ports["kv"], VMsURL: "http://" + d.ports["vms"],
			WeightsURL: "http://" + d.ports["weights"], CallTimeoutMS: 5000,
		},
		"peers":     peers,
		"cursor":    map[string]string{"key_file": "cursor.key"},
		"operators": []settings.Operator{{Name: "test", TokenSHA256: digest(operator), Role: settings.Confirmer}},
		"policy":    policy,
		"limits":    limits,
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(d.dir, "settings.json")
	return file, os.WriteFile(file, data, 0o600)
}

func address(text string) map[string]string { return map[string]string{"address": text} }

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func configure(admin string, exited <-chan error) error {
	changes := []string{fmt.Sprintf(`{"kind":"account","op":"set","account":{"id":"bench","key_hashes":[%q],`+
		`"tokens_per_second":1000000000,"burst":1000000000,"max_concurrent":100000}}`, digest(apiKey))}
	for _, model := range []string{fastModel, pacedModel} {
		changes = append(changes,
			fmt.Sprintf(`{"kind":"access","op":"set","access":{"account":"bench","model":%q}}`, model),
			fmt.Sprintf(`{"kind":"traffic","op":"set","traffic":{"model":%q,"weights":[{"version":"v1","percent":100}],"priority":"interactive"}}`, model))
	}
	intents := `{"changes":[` + strings.Join(changes, ",") + `]}`
	var err error
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if err = errors.Join(apply(admin, intents), ready(admin)); err == nil {
			return nil
		}
		select {
		case err := <-exited:
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("the daemon is not ready: %w", err)
}

func apply(admin, intents string) error {
	var out bytes.Buffer
	code := ctl.Main(context.Background(), []string{"--admin", admin, "apply", "-f", "-", "--yes"}, ctl.Env{
		Stdin: strings.NewReader(intents), Stdout: &out, Stderr: &out,
		Getenv: func(string) string { return operator }, // apply calls Getenv for the token only
	})
	if code != 0 {
		return fmt.Errorf("wigeonctl apply: exit code %d: %s", code, out.String())
	}
	return nil
}

func ready(admin string) error {
	resp, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	why, _ := io.ReadAll(resp.Body) // used only in the error message
	return fmt.Errorf("status %d: %s", resp.StatusCode, why)
}

// freeAddr returns a loopback address that was free when it was checked; another process may
// take it before it is used.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}
