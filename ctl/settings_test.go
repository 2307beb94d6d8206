package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against an operator who restarts all nodes although one of them says that its next start refuses the settings.
func TestSettingsOfEachNodeAreShown(t *testing.T) {
	serve := func(state string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"settings_file": ` + state + `}`))
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	good := serve(`{"File": "a.json", "Valid": true, "AtNextStart": ["hosted.gc_percent"]}`)
	bad := serve(`{"File": "b.json", "Valid": false, "Problems": ["hosted.grace_s: want a number, got true"]}`)
	var out, errOut bytes.Buffer
	code := Main(t.Context(), []string{"--admin", good + "," + bad, "settings"}, Env{Stdout: &out, Stderr: &errOut, Getenv: func(string) string { return "token" }})
	for _, want := range []string{"hosted.gc_percent", "hosted.grace_s: want a number, got true", "no "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("exit %d: no %q in:\n%s%s", code, want, out.String(), errOut.String())
		}
	}
}
