//go:build !race

package soak

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/crowd"
	fakes "wigeondale/fakes/hosted"
	"wigeondale/settings"
)

// crowdLimits are the settings of a router under a crowd, and the bounds that it is held to.
type crowdLimits struct{ memoryMB, descriptors int }

// half is half of the memory and twice the descriptors.
func (l crowdLimits) half() crowdLimits { return crowdLimits{l.memoryMB / 2, l.descriptors * 2} }

const (
	// crowdHeadBytes is the bound of heads in the deployment.
	crowdHeadBytes = 64 << 10
	// besideBound and afterBound are how long a client comes back beside the crowd and without it. They show a router that answers no
	// more, and check no time.
	besideBound = 30 * time.Second
	afterBound  = 20 * time.Second
	// attemptBound ends an attempt, after which the client comes back.
	attemptBound = 10 * time.Second
	attemptGap   = 100 * time.Millisecond
	// manySilences is the number of requests that are noticed to be silent before the servers answer again.
	manySilences = 100
)

// crowdSite is one router with its stand-ins.
type crowdSite struct {
	process *process
	checks  *checks
	set     *settings.Settings
	caller  string              // host:port
	others  map[string]string   // addresses of the other listeners, by name
	crowd   crowd.Config        // of a crowd at the caller listener
	silence func() (end func()) // of the servers that the crowd's requests reach; nil for none
	// request builds an ordinary request with a body and in addition the lines of a head.
	request func(id string, body []byte) (*http.Request, error)
	tls     *tls.Config
	sent    int
}

func crowdConfig(t *testing.T, l crowdLimits) Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Seed: 1, Wigeond: self, Dir: t.TempDir(), Out: t.Output(), Nodes: 1, Engines: 1, Services: 2, Calm: true, Crowds: true,
		Env:    []string{childEnv + "=1", "GOMAXPROCS=1", fmt.Sprintf("%s=%d", descriptorsEnv, l.descriptors)},
		Limits: fmt.Sprintf(`{"memory_mb": %d, "header_bytes": %d}`, l.memoryMB, crowdHeadBytes),
	}
}

// newPlatformSite starts a router on the users' platform.
func newPlatformSite(t *testing.T, l crowdLimits) *crowdSite {
	t.Helper()
	return startPlatformSite(t, newPlatformRun(crowdConfig(t, l)))
}

// newSilentSite starts a router whose servers of a crowd are silent from the crowd's first request on, until it has noticed that of most
// requests. Its retry budget allows each of them a second attempt.
func newSilentSite(t *testing.T, l crowdLimits) *crowdSite {
	t.Helper()
	cfg := crowdConfig(t, l)
	cfg.NoSilences = true // without silences of its own the run has a retry budget for all second attempts
	r := newPlatformRun(cfg)
	s := startPlatformSite(t, r)
	s.silence = func() (end func()) {
		var ends []func()
		for _, rep := range r.services["app"] {
			ends = append(ends, r.silence(rep))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
	return s
}

// awaitSilences waits until the router has noticed the silence of many requests.
func (s *crowdSite) awaitSilences(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(afterBound); time.Now().Before(deadline); time.Sleep(attemptGap) {
		log, err := os.ReadFile(s.process.logPath())
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Count(log, []byte(`"attempt-silent"`)) >= manySilences {
			return
		}
	}
	t.Fatal("the router did not notice the silence")
}

func startPlatformSite(t *testing.T, r *platformRun) *crowdSite {
	t.Helper()
	t.Cleanup(r.stop)
	if err := r.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	n := r.nodes[0]
	s := &crowdSite{process: &n.process, checks: r.checks, caller: n.front}
	s.load(t)
	h := s.set.Hosted
	s.others = map[string]string{"readiness": h.ReadinessAddress, "metrics": h.MetricsAddress, "peer": h.PeerAddress}
	s.request = func(id string, body []byte) (*http.Request, error) {
		return fakes.ClientRequest{Addr: n.front, Path: "/look/x", ID: id, Key: "key-0", Budget: attemptBound, Prompt: "aa:40", Body: string(body)}.HTTPRequest()
	}
	s.crowd = platformCrowd(n.front, "crowd", "key-0")
	s.crowd.HeadBytes = crowdHeadBytes
	return s
}

// newProductSite starts a router on the product's own interface.
func newProductSite(t *testing.T, l crowdLimits, secure bool) *crowdSite {
	t.Helper()
	cfg := crowdConfig(t, l)
	s := &crowdSite{}
	scheme := "http://"
	if secure {
		cfg.CallerTLS, s.tls = newCertificate(t, cfg.Dir)
		scheme = "https://"
	}
	r := newProductRun(cfg)
	t.Cleanup(r.stop)
	if err := r.start(t.Context()); err != nil {
		t.Fatal(err)
	}
	rt := r.routers[0]
	s.process, s.checks, s.caller = &rt.process, r.checks, rt.caller
	s.load(t)
	s.others = map[string]string{"admin": rt.admin, "peer": rt.peer}
	_, key := accountOf(0)
	s.request = func(id string, body []byte) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, scheme+rt.caller+"/services/"+productService+"/book", bytes.NewReader(body))
		if err == nil {
			req.Header = http.Header{"Authorization": {"Bearer " + key}, "Idempotency-Key": {id}}
		}
		return req, err
	}
	s.crowd = productCrowd(rt.caller, "crowd", key)
	s.crowd.HeadBytes = crowdHeadBytes
	return s
}

func (s *crowdSite) load(t *testing.T) {
	t.Helper()
	set, err := settings.Load(s.process.settingsPath())
	if err != nil {
		t.Fatal(err)
	}
	s.set = set
}

// ports returns the ports of all listeners.
func (s *crowdSite) ports() map[string]bool {
	ports := map[string]bool{portOf(s.caller): true}
	for _, addr := range s.others {
		ports[portOf(addr)] = true
	}
	return ports
}

func portOf(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

// serve sends an ordinary request until it is answered 200, at most for the time bound, and comes back after a refusal when it says, and after a close. body and
// head are the sizes of its body and its head; head 0 stands for a small one.
func (s *crowdSite) serve(bound time.Duration, body, head int) error {
	err := errors.New("no attempt")
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); {
		s.sent++
		var wait time.Duration
		limit := min(attemptBound, time.Until(deadline))
		if wait, err = s.attempt(limit, fmt.Sprint("ordinary-", s.sent), bytes.Repeat([]byte("q"), body), head); err == nil {
			return nil
		}
		time.Sleep(max(wait, attemptGap))
	}
	return err
}

// attempt sends one request on a connection of its own. If it isn't answered 200, the client comes back after wait.
func (s *crowdSite) attempt(limit time.Duration, id string, body []byte, head int) (wait time.Duration, err error) {
	req, err := s.request(id, body)
	if err != nil {
		return 0, err
	}
	fillHead(req, head)
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: s.tls}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d, %.80q", resp.StatusCode, text)
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if there is none
	return time.Duration(seconds * float64(time.Second)), err
}

const (
	// headLines is the number of lines that fill a large head, and headSlack what net/http adds to it.
	headLines = 8
	headSlack = 256
)

// fillHead adds lines to a request so that its head has size bytes, or headSlack less.
func fillHead(req *http.Request, size int) {
	var head bytes.Buffer
	_ = req.Header.Write(&head) // a bytes.Buffer never fails
	left := size - head.Len() - len(req.URL.String()) - headSlack
	for i := range headLines {
		if n := left/headLines - len("X-Fill-0: \r\n"); n > 0 {
			req.Header.Set(fmt.Sprint("X-Fill-", i), strings.Repeat("a", n))
		}
	}
}

// newCertificate writes a certificate for loopback, and returns the settings of its listener and of its clients.
func newCertificate(t *testing.T, dir string) (*settings.TLS, *tls.Config) {
	t.Helper()
	cert, key, pool, err := selfSigned()
	if err != nil {
		t.Fatal(err)
	}
	files := &settings.TLS{CertFile: filepath.Join(dir, "caller.pem"), KeyFile: filepath.Join(dir, "caller.key")}
	for name, data := range map[string][]byte{files.CertFile: cert, files.KeyFile: key} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files, &tls.Config{RootCAs: pool}
}
