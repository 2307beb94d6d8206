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

	"wigeondale/fakes/child"
	"wigeondale/fakes/ports"
)

// process is one router: a series of wigeond processes with the same id and settings.
type process struct {
	id     string
	cfg    *Config
	ready  string // URL that returns 200 while the router accepts requests
	checks *checks

	mu               sync.Mutex
	cmd              *exec.Cmd
	done             chan struct{}  // closed when the current process has exited
	launches         int            // number of processes started so far
	endSignal        syscall.Signal // signal that was sent to end the current process; 0 if none was
	endedBeforeStart bool           // endSignal was sent before the process had logged its start
	pauses           []func()       // end the records of pauses
	logStart         int64          // size of the log file when the current process was started
}

// reserveAddrs fills in free addresses, for processes that need them in their settings.
func reserveAddrs(addrs ...*string) error {
	for _, addr := range addrs {
		a, err := ports.FreeAddr()
		if err != nil {
			return Error.Wrap(err)
		}
		*addr = a
	}
	return nil
}

// readyTimeout bounds one readiness probe.
const readyTimeout = 300 * time.Millisecond

func (p *process) settingsPath() string { return filepath.Join(p.cfg.Dir, p.id+".json") }
func (p *process) logPath() string      { return filepath.Join(p.cfg.Dir, p.id+".log") }

// logTailBytes is how many bytes of the end of a router's log are shown with a failure.
const logTailBytes = 4 << 10

// logTail returns the end of the log. Failures include it since the log file may be deleted with the
// test's folder.
func (p *process) logTail() string {
	data, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

// start starts the router's next process, unless one is running.
func (p *process) start() error {
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
	child.EndWithParent(cmd)
	if err := cmd.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.cmd, p.done, p.endSignal, p.logStart = cmd, make(chan struct{}), 0, before.Size()
	p.launches++
	go p.reap(cmd, p.done)
	return nil
}

// restart starts a process when a fault ends.
func (p *process) restart() {
	if err := p.start(); err != nil {
		p.checks.violated("a process starts", "", p.id+": "+err.Error())
	}
}

// awaitRecovery waits until the process is ready, after all faults have ended. It records a
// violation if that takes longer than settleTime.
func (p *process) awaitRecovery() {
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if !p.wasToldToEnd() && p.isReady(context.Background()) {
			return
		}
		p.restart() // a process that was sent an end signal may have exited only now
	}
	p.checks.violated("routers recover from any series of faults", "",
		fmt.Sprintf("%s is not ready after %v; its log ends with:\n%s", p.id, settleTime, p.logTail()))
}

// wasToldToEnd reports whether the current process was sent an end signal. It may still answer that it is ready, if it
// was paused until now.
func (p *process) wasToldToEnd() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && p.endSignal != 0
}

// reap waits for one process to exit. It records a violation if no signal asked for the exit, or
// if the process failed after SIGTERM.
func (p *process) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	endSignal, beforeStart := p.endSignal, p.endedBeforeStart
	p.cmd = nil
	p.mu.Unlock()
	switch {
	case endSignal == 0:
		p.checks.violated("a process ends only when it is told to", "", fmt.Sprintf("%s: %v; its log ends with:\n%s", p.id, err, p.logTail()))
	case endSignal == syscall.SIGTERM && beforeStart && terminatedBy(err, syscall.SIGTERM):
		// The process was killed by SIGTERM before it logged its start. This is no
		// violation, since the program had no requests yet and may not have run a single
		// instruction.
	case endSignal == syscall.SIGTERM && err != nil:
		p.checks.violated("a process that is told to end ends well", "", fmt.Sprintf("%s: %v", p.id, err))
	}
	close(done)
}

// signal sends a signal to the current process, if one is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || (s == syscall.SIGTERM && p.endSignal == 0) {
		p.endSignal, p.endedBeforeStart = s, !p.startedLocked()
	}
	p.recordTrouble(s)
	// An error means that the process has just exited, which reap handles.
	_ = p.cmd.Process.Signal(s)
}

// recordTrouble records what a signal does to the requests of the current process. The caller holds p.mu.
func (p *process) recordTrouble(s syscall.Signal) {
	incarnation := fmt.Sprintf("%s/%d", p.id, p.launches)
	p.checks.stops.signalled(incarnation, s, processLog{p.logPath(), p.cmd.Process.Pid})
	switch s {
	case syscall.SIGSTOP:
		p.checks.asks.addFreeze(incarnation)
		p.pauses = append(p.pauses, p.checks.ends.trouble.begin(incarnation), p.checks.stops.harm())
	case syscall.SIGCONT:
		for _, end := range p.pauses {
			end()
		}
		p.pauses = nil
	case syscall.SIGKILL:
		p.checks.stops.harm()()
		p.checks.ends.trouble.begin(incarnation) // until its end
	case syscall.SIGTERM:
		p.checks.ends.trouble.begin(incarnation) // until its end
	}
}

// hasStarted reports whether the process has logged its start. Before that it may not have
// installed its handlers, so a signal such as SIGHUP or SIGTERM could kill it by default.
func (p *process) hasStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startedLocked()
}

// startedLocked is hasStarted for callers that hold p.mu.
func (p *process) startedLocked() bool {
	data, err := os.ReadFile(p.logPath())
	return err == nil && p.cmd != nil && bytes.Contains(data[min(p.logStart, int64(len(data))):], []byte(`"started"`))
}

// terminatedBy reports whether a process was killed by the default action of a signal.
func terminatedBy(err error, s syscall.Signal) bool {
	exit, ok := errors.AsType[*exec.ExitError](err)
	if !ok {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// currentLog returns what the current process writes.
func (p *process) currentLog() processLog {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return processLog{p.logPath(), 0}
	}
	return processLog{p.logPath(), p.cmd.Process.Pid}
}

// awaitExit waits until the current process has exited, and returns false if it hasn't within the limit.
func (p *process) awaitExit(limit time.Duration) bool {
	p.mu.Lock()
	done, running := p.done, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done, running := p.done, p.cmd != nil
	p.mu.Unlock()
	if running {
		<-done
	}
}

// incarnation names the current process: the router's id and the number of its starts.
func (p *process) incarnation() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%s/%d", p.id, p.launches)
}

func (p *process) isReady(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
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

// awaitReady waits until a newly started process is ready.
func (p *process) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if p.isReady(ctx) {
			return nil
		}
	}
	return Error.New("router %s was not ready within %v; its log ends with:\n%s", p.id, settleTime, p.logTail())
}
