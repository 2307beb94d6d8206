package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeondale/fakes/endless"
	fakes "wigeondale/fakes/hosted"
)

const (
	// floodRequests is how many requests are answered without end at once, and floodTime how long their clients wait.
	floodRequests = 120
	floodTime     = 2 * time.Second
	// machineMemory is the memory of a router's machine in the users' smallest deployments.
	machineMemory = 284 << 20
)

var floodKinds = []endless.Kind{endless.Chunks, endless.Unframed, endless.Length}

// flood makes all replicas of the plain service answer without end, sends many requests at once to one router, and checks
// the memory of all.
func (r *platformRun) flood(ctx context.Context, rng *rand.Rand) {
	kind := floodKinds[rng.IntN(len(floodKinds))]
	var ends []func()
	for _, rep := range r.replicasOf("app") {
		ends = append(ends, r.recordHarm(rep))
		rep.SetFaults(fakes.Faults{Endless: endless.Answer{Kind: kind}})
	}
	n, name := r.nodes[rng.IntN(len(r.nodes))], fmt.Sprint("flood-", rng.Uint64())
	sendAtOnce(ctx, func(i int) (*http.Request, error) {
		path := []string{"/book/x", "/look/x"}[i%2]
		return fakes.ClientRequest{Addr: n.front, Path: path, ID: fmt.Sprint(name, "-", i), Key: fmt.Sprint("key-", firstKeys-1), Budget: floodTime, Prompt: "aa:40"}.HTTPRequest()
	})
	for _, rep := range r.replicasOf("app") {
		r.clearMisbehaviour(rep)
	}
	for _, end := range ends {
		end()
	}
	for _, n := range r.nodes {
		n.checkMemory()
	}
}

// flood does the same on the product's own interface. Bodies without a length are left out: when the fault ends, the service closes
// the connection, which is the end of a whole answer there.
func (r *productRun) flood(ctx context.Context, rng *rand.Rand) {
	kind := []endless.Kind{endless.Chunks, endless.Length}[rng.IntN(2)]
	for i := range r.cfg.Services {
		r.setFault(fmt.Sprint("s", i), "endless", fmt.Sprintf(`{"kind":%q,"ms":0}`, kind))
	}
	rt, name := r.routers[rng.IntN(len(r.routers))], fmt.Sprint("flood-", rng.Uint64())
	_, apiKey := accountOf(0)
	sendAtOnce(ctx, func(i int) (*http.Request, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+rt.caller+"/services/"+productService+"/lookup/x", bytes.NewReader([]byte("q")))
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+apiKey)
		req.Header.Set("Idempotency-Key", fmt.Sprint(name, "-", i))
		return req, nil
	})
	for i := range r.cfg.Services {
		r.setFault(fmt.Sprint("s", i), "endless", `{"on":false}`)
	}
	for _, rt := range r.routers {
		rt.checkMemory()
	}
}

// sendAtOnce sends many requests at once and reads their answers. Their content isn't checked.
func sendAtOnce(ctx context.Context, request func(i int) (*http.Request, error)) {
	ctx, stop := context.WithTimeout(ctx, floodTime)
	defer stop()
	t := newTransport()
	defer t.CloseIdleConnections()
	var all sync.WaitGroup
	for i := range floodRequests {
		all.Go(func() {
			req, err := request(i)
			if err != nil {
				return
			}
			resp, err := t.RoundTrip(req.WithContext(ctx))
			if err != nil {
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body) // a failure is an answer too
		})
	}
	all.Wait()
}

// checkMemory records a violation if the process has used more memory than its machine has.
func (p *process) checkMemory() {
	p.mu.Lock()
	pid := 0
	if p.cmd != nil && p.cmd.Process != nil {
		pid = p.cmd.Process.Pid
	}
	p.mu.Unlock()
	if pid == 0 {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return // it has just ended
	}
	for line := range strings.Lines(string(status)) {
		text, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
		if err == nil && kb<<10 > machineMemory {
			p.checks.violated("a router uses no more memory than its machine has", "", fmt.Sprintf("%s: %d MB", p.id, kb>>10))
		}
	}
}

// isPaused reports whether the process stands still.
func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pauses) > 0
}
