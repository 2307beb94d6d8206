package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wigeondale/fakes/ports"
)

// process is one wigeond, over several lives.
type process struct {
	id     string
	cfg    *Config
	ready  string // URL that answers 200 while it takes requests
	checks *checks

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}  // closed when the process has ended
	life    int            // counts its processes
	told    syscall.Signal // by which it was told to end; 0 if it was not
	early   bool           // it was told before it had started
	logFrom int64          // size of the log when it was launched
}

// claimAddrs fills in addresses that are told to processes before they start.
func claimAddrs(addrs ...*string) error {
	for _, addr := range addrs {
		a, err := ports.FreeAddr()
		if err != nil {
			return Error.Wrap(err)
		}
		*addr = a
	}
	return nil
}

// readyWithin bounds one question for readiness.
const readyWithin = 300 * time.Millisecond

func (p *process) settingsPath() string { return filepath.Join(p.cfg.Dir, p.id+".json") }
func (p *process) logPath() string      { return filepath.Join(p.cfg.Dir, p.id+".log") }

// tailBytes of a log are shown with a failure.
const tailBytes = 4 << 10

// logTail is the end of the log; the log itself may be gone with the test's folder.
func (p *process) logTail() string {
	data, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

// launch starts a process unless one runs.
func (p *process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer log.Close() // the process has its own descriptor
	before, err := log.Stat()
	if err != nil {
		return Error.Wrap(err)
	}
	cmd := exec.Command(p.cfg.Wigeond, "--config", p.settingsPath())
	cmd.Env = append(os.Environ(), p.cfg.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.cmd, p.done, p.told, p.logFrom = cmd, make(chan struct{}), 0, before.Size()
	p.life++
	go p.reap(cmd, p.done)
	return nil
}

// restart launches a process at a fault's end.
func (p *process) restart() {
	if err := p.launch(); err != nil {
		p.checks.broken("a process starts", "", p.id+": "+err.Error())
	}
}

// recovers waits until the process is ready, once all faults are over.
func (p *process) recovers() {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if p.isReady(context.Background()) {
			return
		}
		p.restart() // one that was told to end may just have gone
	}
	p.checks.broken("routers recover from any series of faults", "",
		fmt.Sprintf("%s is not ready after %v; its log ends with:\n%s", p.id, settleTime, p.logTail()))
}

// reap waits for the end of one process, and finds one that nobody ended, or that
// ended badly after it was told to.
func (p *process) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	told, early := p.told, p.early
	p.cmd = nil
	p.mu.Unlock()
	switch {
	case told == 0:
		p.checks.broken("a process ends only when it is told to", "", fmt.Sprintf("%s: %v; its log ends with:\n%s", p.id, err, p.logTail()))
	case told == syscall.SIGTERM && early && endedBy(err, syscall.SIGTERM):
		// It held nothing yet, and its program may not have run a single step.
	case told == syscall.SIGTERM && err != nil:
		p.checks.broken("a process that is told to end ends well", "", fmt.Sprintf("%s: %v", p.id, err))
	}
	close(done)
}

// signal reaches the process, if one runs, by its own id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || (s == syscall.SIGTERM && p.told == 0) {
		p.told, p.early = s, !p.started()
	}
	// The process may just have ended; reap tells.
	_ = p.cmd.Process.Signal(s)
}

// hasStarted tells whether the process has said so. Before, it can't have taken the
// signals over whose usual effect is its end.
func (p *process) hasStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started()
}

// started is hasStarted under p.mu.
func (p *process) started() bool {
	data, err := os.ReadFile(p.logPath())
	return err == nil && p.cmd != nil && bytes.Contains(data[min(p.logFrom, int64(len(data))):], []byte(`"started"`))
}

// endedBy tells whether the end of a process was the usual effect of a signal.
func endedBy(err error, s syscall.Signal) bool {
	exit, ok := errors.AsType[*exec.ExitError](err)
	if !ok {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// kill ends the process and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done, runs := p.done, p.cmd != nil
	p.mu.Unlock()
	if runs {
		<-done
	}
}

// lifetime names the process that runs now.
func (p *process) lifetime() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.id, p.life)
}

func (p *process) isReady(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ready, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}

// awaitReady waits for the first readiness of a process.
func (p *process) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.isReady(ctx) {
			return nil
		}
	}
	return Error.New("router %s was not ready within %v; its log ends with:\n%s", p.id, settleTime, p.logTail())
}
