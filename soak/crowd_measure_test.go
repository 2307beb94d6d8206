//go:build !race

package soak

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/crowd"
)

const (
	// sampleGap is the time between two samples of a process, and unreadGap that between two readings of the kernel's table, which
	// takes longer.
	sampleGap = 2 * time.Millisecond
	unreadGap = 20 * time.Millisecond
)

// usage is what a process used at its peaks: memory with its bytes unread in the kernel at that moment, and descriptors.
type usage struct {
	rss, unread int64
	descriptors int
}

// sampler samples a process until it is stopped.
type sampler struct {
	pid   int
	ports map[string]bool
	end   chan struct{}
	done  chan usage

	unread   int64
	unreadAt time.Time
}

func startSampler(pid int, ports map[string]bool) *sampler {
	s := &sampler{pid: pid, ports: ports, end: make(chan struct{}), done: make(chan usage, 1)}
	go s.run()
	return s
}

// stop returns the peaks.
func (s *sampler) stop() usage {
	close(s.end)
	return <-s.done
}

func (s *sampler) run() {
	var peak usage
	tick := time.NewTicker(sampleGap)
	defer tick.Stop()
	for {
		if now := s.sample(); now.rss > 0 {
			if now.rss+now.unread > peak.rss+peak.unread {
				peak.rss, peak.unread = now.rss, now.unread
			}
			peak.descriptors = max(peak.descriptors, now.descriptors)
		}
		select {
		case <-s.end:
			s.done <- peak
			return
		case <-tick.C:
		}
	}
}

// sample returns the zero usage if the process has ended.
func (s *sampler) sample() usage {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid))
	if err != nil {
		return usage{}
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.pid))
	fields := strings.Fields(string(statm))
	if err != nil || len(fields) < 2 {
		return usage{}
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return usage{}
	}
	if time.Since(s.unreadAt) >= unreadGap {
		s.unread, s.unreadAt = unreadBytes(s.ports), time.Now()
	}
	return usage{rss: pages * int64(os.Getpagesize()), unread: s.unread, descriptors: len(files)}
}

// tcpListening is the state of a listening socket in /proc/net/tcp, whose queue counts connections.
const tcpListening = "0A"

// unreadBytes returns the bytes that the kernel holds unread for sockets with these local ports.
func unreadBytes(ports map[string]bool) (sum int64) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == tcpListening {
			continue
		}
		port, err := strconv.ParseInt(portOf(f[1]), 16, 32)
		if err != nil || !ports[strconv.FormatInt(port, 10)] {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += n
		}
	}
	return sum
}

// pid returns the id of the running process, or 0.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

const (
	// sendTime bounds the wait until the crowd has sent all that the router takes.
	sendTime = 5 * time.Second
	// holdTime is how long the crowd holds its connections then, before an ordinary client comes.
	holdTime = time.Second
)

// checkCrowd lets a crowd connect to a router and checks that the router lives, stays within its memory and descriptors, and answers
// ordinary requests: large ones in calm, and a small one beside the crowd and after it.
func checkCrowd(t *testing.T, s *crowdSite, l crowdLimits, cfg crowd.Config) {
	t.Helper()
	pid := s.process.pid()
	if err := s.serve(afterBound, 1, crowdHeadBytes); err != nil {
		t.Errorf("in calm a head of the largest legal size is not answered: %v", err)
	}
	if err := s.serve(afterBound, crowdBody, 0); err != nil {
		t.Errorf("in calm a body of the largest legal size is not answered: %v", err)
	}
	before := s.calmUsage()
	defer func() {
		if t.Failed() {
			t.Logf("the router's log ends with:\n%s", s.process.logTail())
		}
	}()
	measured := startSampler(pid, s.ports())
	endSilence := func() {}
	if s.silence != nil {
		endSilence = s.silence()
	}
	c, err := crowd.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if s.silence != nil {
		s.awaitSilences(t)
	}
	c.AwaitSent(sendTime)
	time.Sleep(holdTime)
	endSilence()
	open, sent := c.Open(), c.Sent()
	readiness := make(chan error, 1)
	go func() { readiness <- s.awaitReadiness() }()
	beside := s.serve(besideBound, 1, 0)
	ready := <-readiness
	c.Stop()
	after := s.serve(afterBound, 1, 0)
	peak := measured.stop()
	t.Logf("MEASURED calm RSS %d MB; %d clients, %d not closed, %d MB sent; RSS %d MB + unread %d MB of %d; descriptors %d of %d; beside: %v, readiness: %v, after: %v",
		before.rss>>20, cfg.Count, open, sent>>20, peak.rss>>20, peak.unread>>20, l.memoryMB, peak.descriptors, l.descriptors, beside, ready, after)
	s.checkAlive(t, pid)
	if peak.rss+peak.unread >= int64(l.memoryMB)<<20 {
		t.Errorf("memory: RSS %d MB and %d MB unread, want less than %d", peak.rss>>20, peak.unread>>20, l.memoryMB)
	}
	if most := l.descriptors / 8 * 7; peak.descriptors > most {
		t.Errorf("%d descriptors, want at most %d", peak.descriptors, most)
	}
	for name, err := range map[string]error{"beside the crowd": beside, "after the crowd": after, "at the readiness listener, beside the crowd": ready} {
		if err != nil {
			t.Errorf("an ordinary request is not answered %s: %v", name, err)
		}
	}
}

func (s *crowdSite) calmUsage() usage {
	return (&sampler{pid: s.process.pid(), ports: s.ports()}).sample()
}

// checkAlive checks that the process is the one that was started first.
func (s *crowdSite) checkAlive(t *testing.T, pid int) {
	t.Helper()
	if now := s.process.pid(); now != pid || pid == 0 {
		t.Errorf("the process has ended; its log ends with:\n%s", s.process.logTail())
	}
	s.checks.mu.Lock()
	defer s.checks.mu.Unlock()
	for _, v := range s.checks.violations {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
}

// awaitReadiness asks for readiness as the balancer does, until it is stated.
func (s *crowdSite) awaitReadiness() error {
	transport := &http.Transport{DisableKeepAlives: true}
	last := errors.New("no attempt")
	for deadline := time.Now().Add(besideBound); time.Now().Before(deadline); time.Sleep(attemptGap) {
		client := &http.Client{Timeout: min(attemptBound, time.Until(deadline)), Transport: transport}
		resp, err := client.Get(s.process.ready)
		if err != nil {
			last = err
			continue
		}
		resp.Body.Close()
		if resp.StatusCode < http.StatusMultipleChoices {
			return nil
		}
		last = fmt.Errorf("status %d", resp.StatusCode)
	}
	return last
}

// selfSigned returns a certificate for loopback and its key in PEM, and a pool with the certificate.
func selfSigned() (cert, key []byte, pool *x509.CertPool, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		return nil, nil, nil, err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, nil, err
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(cert)
	return cert, key, pool, nil
}
