// Package rig starts routers as separate processes for the cases of the review, with a store, replicas and
// clients that behave as the users' pages say.
package rig

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	fakes "wigeondale/fakes/hosted"
	"wigeondale/fakes/ports"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// readyTimeout bounds the start of a router.
const readyTimeout = 15 * time.Second

// Rig holds the processes and the record of one run of a case.
type Rig struct {
	Store   *fakes.Store
	Trouble bool // false with TROUBLE=0

	dir       string // temporary
	startedAt time.Time

	mu      sync.Mutex
	record  *os.File
	routers []*Router
}

// New starts a rig that writes its record to the given file.
func New(recordPath string) (*Rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	return &Rig{
		Store: fakes.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", dir: dir, startedAt: time.Now(), record: record,
	}, nil
}

// Recordf writes one line to the record.
func (r *Rig) Recordf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and removes the temporary files.
func (r *Rig) Close() {
	for _, router := range r.routers {
		router.Kill()
	}
	r.Store.CloseClientConnections()
	r.Store.Close()
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// Router is one router process.
type Router struct {
	Name  string
	Front string
	Peer  string

	rig   *Rig
	ready string
	env   []string
	cmd   *exec.Cmd
	done  chan struct{}
}

// settingsText is deploy/wigeond.json.tmpl with the figures of a small deployment. The rules' bounds are those of
// the users' sheets.
const settingsText = `{
  "node": {"id": %[1]q, "vm": %[1]q, "failure_domain": %[2]q, "region": "co-centro"},
  "limits": {"header_bytes": 65536},
  "shutdown": {"balancer_notice_ms": 2600},
  "hosted": {
    "front_address": %[3]q, "readiness_address": %[4]q, "metrics_address": %[5]q, "peer_address": %[6]q,
    "store_address": %[7]q, "heartbeat_ms": 1200, "grace_ms": 8000,
    "retry_window_s": 10, "retry_share": 0.8, "retry_burst": 150
  }
}
`

// StartRouter starts a router with the command of the deploy file. It reaches the store at storeAddr.
func (r *Rig) StartRouter(name, zone, storeAddr string) (*Router, error) {
	var addrs [4]string
	for i := range addrs {
		var err error
		if addrs[i], err = ports.FreeAddr(); err != nil {
			return nil, err
		}
	}
	n := &Router{Name: name, Front: addrs[0], Peer: addrs[3], rig: r, ready: "http://" + addrs[1] + "/readyz"}
	path := filepath.Join(r.dir, name+".json")
	text := fmt.Sprintf(settingsText, name, zone, addrs[0], addrs[1], addrs[2], addrs[3], storeAddr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.env = append(os.Environ(), "WIGEONDALE_SETTINGS="+path)
	r.routers = append(r.routers, n)
	return n, n.Start()
}

// Start starts the router's process and waits until it is ready.
func (n *Router) Start() error {
	log, err := os.OpenFile(n.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	n.cmd = exec.Command("target/wigeond")
	n.cmd.Env, n.cmd.Stdout, n.cmd.Stderr = n.env, log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		n.rig.Recordf("router %s has ended: %v", n.Name, err)
		close(done)
	}(n.cmd, n.done)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.Ready() {
			n.rig.Recordf("router %s is ready", n.Name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready", n.Name)
}

// LogPath returns the path of the router's log.
func (n *Router) LogPath() string { return filepath.Join(n.rig.dir, n.Name+".log") }

// Ready asks the router whether it takes new connections.
func (n *Router) Ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get(n.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the router's process.
func (n *Router) Signal(s syscall.Signal) {
	n.rig.Recordf("signal %v to router %s", s, n.Name)
	_ = n.cmd.Process.Signal(s) // it may have ended
}

// Kill ends the router's process.
func (n *Router) Kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	if n.done != nil {
		<-n.done
	}
}
