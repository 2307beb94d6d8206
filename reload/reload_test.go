package reload

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/settings"
)

const before = `{"node": {"id": "n", "vm": "n", "failure_domain": "d", "region": "r"},
 "hosted": {"front_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:1", "store_address": "127.0.0.1:1", "grace_ms": 8000}}`

// file is a settings file with the Tracker of a process that was started with it.
type file struct {
	t    *testing.T
	path string
	set  *metrics.Set
	log  bytes.Buffer
	*Tracker
}

func newFile(t *testing.T) *file {
	f := &file{t: t, path: filepath.Join(t.TempDir(), "s.json"), set: metrics.NewSet()}
	event.LogTo(&f.log, 0)
	f.write(before)
	started, err := settings.Load(f.path)
	if err != nil {
		t.Fatal(err)
	}
	f.Tracker = New(started, Config{Log: event.New("n"), Metrics: f.set})
	return f
}

func (f *file) write(text string) {
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *file) metrics() string {
	var page bytes.Buffer
	f.set.WritePrometheus(&page)
	return page.String()
}

// Guards against settings that the next start refuses, and that no running process reports before it is restarted.
func TestRefusedSettingsAreShownBeforeTheRestart(t *testing.T) {
	f := newFile(t)
	f.follow()
	if s := f.State(); !s.Valid || !strings.Contains(f.metrics(), "wigeon_settings_valid 1\n") || f.log.Len() > 0 {
		t.Errorf("an unchanged file: %+v\n%s", s, f.log.String())
	}
	f.write(strings.Replace(before, "8000", `"8 s"`, 1)) // without a signal
	f.follow()
	f.follow()
	s := f.State()
	if s.Valid || len(s.Problems) != 1 || !strings.HasPrefix(s.Problems[0], "hosted.grace_ms: ") || !strings.Contains(f.metrics(), "wigeon_settings_valid 0\n") {
		t.Errorf("a file that the next start refuses: %+v", s)
	}
	if n := strings.Count(f.log.String(), "settings-refused"); n != 1 || !strings.Contains(f.log.String(), "hosted.grace_ms") {
		t.Errorf("%d lines name the field:\n%s", n, f.log.String())
	}
	f.write(before)
	f.follow()
	if s := f.State(); !s.Valid || len(s.Problems) > 0 {
		t.Errorf("corrected: %+v", s)
	}
	os.Remove(f.path)
	f.follow()
	f.follow()
	if s := f.State(); s.Valid {
		t.Errorf("removed: %+v", s)
	}
}

// Guards against a change that is taken to be in force although it only takes effect at the next start.
func TestChangesForTheNextStartAreNamed(t *testing.T) {
	f := newFile(t)
	f.write(strings.Replace(before, `"hosted": {`, `"hosted": {"gc_percent": 40, `, 1))
	f.Read()
	if s := f.State(); !s.Valid || !slices.Equal(s.AtNextStart, []string{"hosted.gc_percent"}) || !strings.Contains(f.metrics(), "wigeon_settings_pending 1\n") {
		t.Errorf("%+v", s)
	}
}

// Guards against a report of a file that is not written completely yet.
func TestUnfinishedFileIsNotReported(t *testing.T) {
	f := newFile(t)
	f.follow()
	f.write(before[:100])
	f.follow()
	f.write(before[:200])
	f.follow()
	f.write(before)
	f.follow()
	f.follow()
	if f.log.Len() > 0 || !f.State().Valid {
		t.Errorf("%+v\n%s", f.State(), f.log.String())
	}
}

// Guards against a value with which a node hardly serves, and that nothing reports.
func TestUnusualValuesAreReported(t *testing.T) {
	f := newFile(t)
	f.write(strings.Replace(before, `"grace_ms": 8000`, `"grace_s": 0.5, "heartbeat_ms": 10, "retry_window_s": 3600, "retry_share": 50`, 1))
	f.Read()
	if s := f.State(); !s.Valid || len(s.Unusual) != 4 || !strings.Contains(f.log.String(), "settings-unusual") {
		t.Errorf("%+v", s)
	}
}

// Guards against a running process that goes on with the time until its kill, or the budgets, that its file said at its start.
func TestLiveFieldsTakeEffectWhileTheProcessRuns(t *testing.T) {
	for _, signalled := range []bool{false, true} {
		f := newFile(t)
		applied := 0
		f.cfg.Apply = func(set *settings.Settings) {
			applied++
			if set.Hosted.RetryBurst != 7 {
				t.Errorf("applied: %+v", set.Hosted)
			}
		}
		f.follow()
		f.write(strings.Replace(before, `"grace_ms": 8000`, `"grace_s": 2.5, "retry_burst": 7, "retry_window_s": 10, "gc_percent": 40`, 1))
		if signalled {
			f.Read()
		} else {
			f.follow()
		}
		h := f.InForce().Hosted
		if grace, known := h.Grace(); !known || grace != 2500*time.Millisecond || applied != 1 {
			t.Errorf("grace %v, applied %d times", grace, applied)
		}
		if h.GCPercent != 30 || h.RetryWindowS != 0 {
			t.Errorf("in force before the next start: %+v", h)
		}
		if s := f.State(); !slices.Equal(s.AtNextStart, []string{"hosted.retry_window_s", "hosted.gc_percent"}) {
			t.Errorf("at the next start: %v", s.AtNextStart)
		}
		f.write(`{"hosted": {"retry_burst": 9`)
		f.Read()
		if f.InForce().Hosted != h || applied != 1 || f.State().Valid {
			t.Error("settings that aren't valid are in force")
		}
	}
}
