package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wigeondale/fakes/ports"
	"wigeondale/fakes/relay"
)

// node is one wigeond process, which reaches the store through a relay of its own.
type node struct {
	run                           *run
	id, front, ready, stats, peer string
	link                          *relay.Relay

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	life    int           // counts its processes
	leaving bool          // was told to end
	stopped bool          // SIGSTOP
}

// readyWithin bounds one question for readiness.
const readyWithin = 300 * time.Millisecond

func newNode(r *run, i int) (*node, error) {
	n := &node{run: r, id: fmt.Sprintf("n%d", i)}
	for _, addr := range []*string{&n.front, &n.ready, &n.stats, &n.peer} {
		a, err := ports.FreeAddr()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		*addr = a
	}
	n.link = relay.New(n.id, "127.0.0.1:0", r.store.Addr())
	if err := n.link.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	text := fmt.Sprintf(`{"node": {"id": %q, "vm": %q, "failure_domain": "d%d", "region": "r"},
 "shutdown": {"balancer_notice_ms": 300},
 "hosted": {"front_address": %q, "readiness_address": %q, "metrics_address": %q, "peer_address": %q,
  "store_address": %q, "grace_ms": 10000}}`, n.id, n.id, i%2, n.front, n.ready, n.stats, n.peer, n.link.Addr())
	return n, Error.Wrap(os.WriteFile(n.settingsPath(), []byte(text), 0o600))
}

func (n *node) settingsPath() string { return filepath.Join(n.run.cfg.Dir, n.id+".json") }
func (n *node) logPath() string      { return filepath.Join(n.run.cfg.Dir, n.id+".log") }

// tailBytes of a log are shown with a failure.
const tailBytes = 4 << 10

// logTail is the end of the log; the log itself may be gone with the test's folder.
func (n *node) logTail() string {
	data, err := os.ReadFile(n.logPath())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// launch starts a process unless one runs.
func (n *node) launch() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer log.Close() // the process has its own descriptor
	cmd := exec.Command(n.run.cfg.Wigeond, "--config", n.settingsPath())
	cmd.Env = append(os.Environ(), n.run.cfg.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	n.cmd, n.done, n.leaving, n.stopped = cmd, make(chan struct{}), false, false
	n.life++
	go n.reap(cmd, n.done)
	return nil
}

// reap waits for the end of one process. One that nobody ended is a violation.
func (n *node) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	n.mu.Lock()
	asked := n.leaving || cmd.ProcessState.Sys().(syscall.WaitStatus).Signaled()
	n.cmd = nil
	n.mu.Unlock()
	if !asked {
		n.run.checks.broken("a process ends only when it is told to", "", fmt.Sprintf("%s: %v", n.id, err))
	}
	close(done)
}

// signal reaches the process, if one runs, by its own id.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		n.leaving = true
	case syscall.SIGSTOP:
		n.stopped = true
	case syscall.SIGCONT:
		n.stopped = false
	}
	// The process may just have ended; reap tells.
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process and waits for it.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done, runs := n.done, n.cmd != nil
	n.mu.Unlock()
	if runs {
		<-done
	}
}

// lifetime names the process that runs now.
func (n *node) lifetime() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("%s/%d", n.id, n.life)
}

func (n *node) isReady(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) awaitReady(ctx context.Context, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady(ctx) {
			return true
		}
	}
	return false
}
