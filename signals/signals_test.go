package signals

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wigeondale/event"
	"wigeondale/settings"
)

const sound = `{"node": {"id": "n", "vm": "n", "failure_domain": "d", "region": "r"},
 "hosted": {"front_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:1", "store_address": "127.0.0.1:1"}}`

// patience bounds every wait; no verdict depends on it.
const patience = 10 * time.Second

// Symptom: settings that were broken by hand stop a router at its next start, long
// after the edit. Sequence: the file is broken, a hangup comes, then the signal to
// end. Each hangup says whether the file is valid, and ends nothing.
func TestHangupChecksSettings(t *testing.T) {
	var log bytes.Buffer
	event.LogTo(&log, 0)
	path := filepath.Join(t.TempDir(), "wigeond.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(sound)
	set, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	told, got := make(chan os.Signal), make(chan bool)
	go func() { got <- Wait(told, nil, set, event.New("n")) }()
	send := func(s os.Signal) {
		t.Helper()
		select {
		case told <- s:
		case <-got:
			t.Fatalf("ended before %v", s)
		case <-time.After(patience):
			t.Fatalf("%v is not taken up", s)
		}
	}
	send(syscall.SIGHUP)
	send(syscall.SIGHUP) // taken up once the first has been acted on
	write(`{"node"`)
	send(syscall.SIGHUP)
	send(syscall.SIGTERM)
	if !<-got {
		t.Error("the signal to end is not told")
	}
	if n := strings.Count(log.String(), "valid=true"); n < 1 {
		t.Errorf("%d lines say that the file is valid:\n%s", n, log.String())
	}
	if n := strings.Count(log.String(), "valid=false"); n < 1 {
		t.Errorf("%d lines say that the file is not valid:\n%s", n, log.String())
	}
}

func TestWaitEndsWithItsGroup(t *testing.T) {
	stop := make(chan struct{})
	close(stop)
	if Wait(make(chan os.Signal), stop, nil, nil) {
		t.Error("the end of the group is told as a signal")
	}
}
