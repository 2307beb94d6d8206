package hosted

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wigeondale/event"
	"wigeondale/retrybudget"
	"wigeondale/settings"
)

// startNodeWithFile starts a node whose settings are in a file.
func (f *testFleet) startNodeWithFile(id string) (n *testNode, change func(old, now string)) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "settings.json")
	text := fmt.Sprintf(`{"node": {"id": %q, "vm": %q, "failure_domain": "d0", "region": "r"}, "shutdown": {"balancer_notice_ms": 200},
		"hosted": {"front_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0", "peer_address": %q,
		"store_address": %q, "grace_s": 8, "retry_window_s": 10, "retry_burst": 150, "rollout_burst": 50, "store_writes_per_s": 400}}`, id, id, freeAddr(f.t), f.store.Addr())
	write := func() {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
	write()
	set, err := settings.Load(path)
	if err != nil {
		f.t.Fatal(err)
	}
	n = f.runNode(set, event.New(id))
	return n, func(old, now string) {
		if !strings.Contains(text, old) {
			f.t.Fatalf("no %s in the settings", old)
		}
		text = strings.Replace(text, old, now, 1)
		write()
	}
}

// Guards against a stop that is planned with the time until the kill of before a change: the process is killed with all that it holds,
// or gives up work that it had the time for.
func TestStopIsPlannedWithTheGraceOfTheFile(t *testing.T) {
	for _, c := range []struct {
		grace  string
		signal bool
		want   time.Duration
	}{
		{`"grace_s": 3`, true, 3 * time.Second}, {`"grace_s": 3`, false, 3 * time.Second}, {`"grace_s": 2.5`, true, 2500 * time.Millisecond},
		{`"grace_ms": 20000`, false, 20 * time.Second}, {`"grace_s": "soon"`, true, 8 * time.Second},
	} {
		f := newFleet(t)
		f.startApp("a0", "d0")
		f.configure(key)
		n, change := f.startNodeWithFile("n1")
		await(t, "readiness", n.ready)
		change(`"grace_s": 8`, c.grace)
		if c.signal {
			n.hangups <- syscall.SIGHUP
			await(t, "the signal to be read", func() bool { return len(n.hangups) == 0 })
		}
		n.signals <- syscall.SIGTERM
		await(t, "the stop", n.leaving.Load)
		left, stops := n.node.stop.Left()
		if planned := c.want - killMargin - answerTime; !stops || left > planned || left < planned-time.Second {
			t.Errorf("%s, signal %v: %v are left, planned with %v", c.grace, c.signal, left, planned)
		}
		<-n.done
	}
}

// Guards against budgets that are only changed by a restart, so that routers with the old ones and with the new ones exceed both.
func TestChangedBudgetsAreInForceWithoutARestart(t *testing.T) {
	f := newFleet(t)
	f.startApp("a0", "d0")
	f.configure(key)
	n, change := f.startNodeWithFile("n1")
	await(t, "readiness", n.ready)
	n.budgets.First("app")
	change(`"retry_burst": 150`, `"retry_burst": 12.5`)
	change(`"rollout_burst": 50`, `"rollout_burst": 5, "rollout_share": 0.25, "retry_share": 0.5`)
	change(`"store_writes_per_s": 400`, `"store_writes_per_s": 50`)
	await(t, "the file to be read", func() bool { return n.settings.InForce().Hosted.RetryBurst == 12.5 })
	l := n.budgets.loans
	await(t, "the budgets", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.cfg.Burst == budgetMargin*12.5 && l.cfg.Share == budgetMargin*0.5 && l.cfg.Window == 10*time.Second
	})
	if got := n.rollouts.currentLimits(); got.Burst != 5 || got.Share != 0.25 {
		t.Errorf("roll-outs: %+v", got)
	}
	if got := n.software.records.interval(); got != time.Second/10 {
		t.Errorf("records are written each %v, want each 100 ms", got)
	}
}

// Guards against more retries than the larger one of two budgets while some routers have taken a change up and others haven't, or have
// started since.
func TestBudgetsStayWithinTheLargerOneDuringAChange(t *testing.T) {
	const routers, window = 8, 10 * time.Second
	for _, c := range []struct{ before, after float64 }{{80, 8}, {8, 80}} {
		for _, newWindow := range []time.Duration{window, 2 * window, window / 2} {
			now := 100 * window
			config := func(burst float64, w, start time.Duration) retrybudget.Config {
				return retrybudget.Config{Burst: burst, Window: w, Start: start}
			}
			all := make([]*retrybudget.Budget, routers)
			for i := range all {
				all[i] = retrybudget.New(config(c.before, window, 0))
			}
			var drawn []time.Duration
			draw := func(upTo time.Duration) {
				for ; now < upTo; now += 100 * time.Millisecond {
					for _, b := range all {
						for b.Draw(now, routers, true) {
							drawn = append(drawn, now)
						}
					}
				}
			}
			draw(now + window/2)
			for i := range all {
				draw(now + time.Second/routers)
				if i%2 == 0 {
					all[i].Reconfigure(config(c.after, newWindow, start(newWindow, window, now)))
				} else {
					all[i] = retrybudget.New(config(c.after, newWindow, now)) // it has started again
				}
			}
			draw(now + 5*window)
			largest := max(c.before, c.after)
			for _, from := range drawn {
				n := 0.0
				for _, at := range drawn {
					if at >= from && at < from+min(window, newWindow) {
						n++
					}
				}
				if n > largest {
					t.Fatalf("%v to %v, window %v: %v retries in a window, at most %v", c.before, c.after, newWindow, n, largest)
				}
			}
		}
	}
}

// start returns from when on a budget counts: from the change if its window is another one.
func start(newWindow, window, now time.Duration) time.Duration {
	if newWindow == window {
		return 0
	}
	return now
}
