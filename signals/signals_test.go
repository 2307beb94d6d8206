package signals

import (
	"bytes"
	"os"
	"os/signal"
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
	shutdown, hangup, got := make(chan os.Signal), make(chan os.Signal), make(chan bool)
	read := make(chan struct{})
	go func() { got <- Wait(Received{shutdown, hangup}, nil, func() { tracker.Read(); read <- struct{}{} }) }()
	send := func(to chan os.Signal, s os.Signal) {
		t.Helper()
		select {
		case to <- s:
		case <-got:
			t.Fatalf("Wait returned before %v", s)
		case <-time.After(maxWait):
			t.Fatalf("%v is not received", s)
		}
	}
	reload := func() {
		t.Helper()
		send(hangup, syscall.SIGHUP)
		select {
		case <-read:
		case <-time.After(maxWait):
			t.Fatal("the file is not read")
		}
	}
	reload()
	reload()
	write(`{"node"`)
	reload()
	send(shutdown, syscall.SIGTERM)
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
	if Wait(Received{}, stop, nil) {
		t.Error("the end of the group is reported as a signal")
	}
}

// Guards against a shutdown signal that is lost among hangups, or waits for the reading of a file: the process would run on until it is
// killed with all that it holds.
func TestShutdownIsNotLostAmongHangups(t *testing.T) {
	received := Notify()
	defer signal.Reset(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	reading, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	got := make(chan bool)
	go func() {
		got <- Wait(received, nil, func() {
			select {
			case reading <- struct{}{}:
			default:
			}
			<-release
		})
	}()
	kill := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	kill(syscall.SIGHUP)
	<-reading
	for range 100 {
		kill(syscall.SIGHUP)
		time.Sleep(100 * time.Microsecond) // a signal of a kind that is pending is dropped by the operating system
	}
	kill(syscall.SIGTERM)
	select {
	case shutdown := <-got:
		if !shutdown {
			t.Error("no shutdown")
		}
	case <-time.After(maxWait):
		t.Error("the shutdown signal is lost")
	}
}
