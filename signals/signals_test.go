package signals

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/reload"
	"wigeondale/settings"
)

const validSettings = `{"node": {"id": "n", "vm": "n", "failure_domain": "d", "region": "r"},
 "hosted": {"front_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:1", "store_address": "127.0.0.1:1"}}`

// maxWait limits every wait; no result depends on it.
const maxWait = 10 * time.Second

// A settings file that was broken by an edit must be reported at the next hangup, not
// only when it prevents the next start. A hangup must not end the process.
func TestHangupChecksSettings(t *testing.T) {
	var log bytes.Buffer
	event.LogTo(&log, 0)
	path := filepath.Join(t.TempDir(), "wigeond.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	set, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	tracker := reload.New(set, reload.Config{Log: event.New("n"), Metrics: metrics.NewSet()})
	sent, got := make(chan os.Signal), make(chan bool)
	go func() { got <- Wait(sent, nil, tracker.Read) }()
	send := func(s os.Signal) {
		t.Helper()
		select {
		case sent <- s:
		case <-got:
			t.Fatalf("Wait returned before %v", s)
		case <-time.After(maxWait):
			t.Fatalf("%v is not received", s)
		}
	}
	send(syscall.SIGHUP)
	send(syscall.SIGHUP) // accepted only after the first has been handled
	write(`{"node"`)
	send(syscall.SIGHUP)
	send(syscall.SIGTERM)
	if !<-got {
		t.Error("the shutdown signal is not reported")
	}
	if n := strings.Count(log.String(), `] reloaded`) + strings.Count(log.String(), `"reloaded"`); n < 1 {
		t.Errorf("%d lines say that the file is valid:\n%s", n, log.String())
	}
	if n := strings.Count(log.String(), `settings-refused`); n < 1 {
		t.Errorf("%d lines say that the file is not valid:\n%s", n, log.String())
	}
}

func TestWaitEndsWithItsGroup(t *testing.T) {
	stop := make(chan struct{})
	close(stop)
	if Wait(make(chan os.Signal), stop, nil) {
		t.Error("the end of the group is reported as a signal")
	}
}
