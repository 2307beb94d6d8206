package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// calmTime is how long traffic goes on without faults while engines of several software versions
	// serve. The streams that clients take up after calmSettle of it count for the check that
	// streams go on.
	calmTime   = 6 * time.Second
	calmSettle = 3 * time.Second
	// minTakeUps is the number of such streams from which on the share that goes on is checked.
	minTakeUps = 12
	// minOutlived is the same for the streams that run when all routers end in the calm. They count if they began recordTime
	// before; a client waits downTime after a connection that fails.
	minOutlived = 4
	recordTime  = 500 * time.Millisecond
	downTime    = 500 * time.Millisecond
	// maxTakeUps is how often a client takes up one stream.
	maxTakeUps = 4
	// One in leaveEvery responses of a stream is left by its client, which takes the stream up.
	leaveEvery = 3
	// releasedEngines is how many engines a release replaces.
	releasedEngines = 3
)

// softwareFaults returns the faults in which engines of other software versions start and others leave,
// with no order to the routers.
func (r *platformRun) softwareFaults() []fault {
	if !r.cfg.Software {
		return nil
	}
	all := []fault{
		{"other software is released", func() func() { return r.releaseSoftware(r.anySoftware()) }},
		{"new software is released", func() func() { return r.releaseSoftware(r.newSoftware()) }},
		{"routers are killed together", r.killRouters},
	}
	if r.cfg.Restarts {
		all = append(all, fault{"engine starts again under its name with other software", r.restartWithOtherSoftware})
	}
	return all
}

// newSoftware returns the name of a new version.
func (r *platformRun) newSoftware() string {
	r.softwareVersions++
	return fmt.Sprint("s", r.softwareVersions)
}

// anySoftware returns the name of a version that serves, or the first one.
func (r *platformRun) anySoftware() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.services["llm"]
	if r.rng.IntN(4) == 0 {
		return ""
	}
	return all[r.rng.IntN(len(all))].Version
}

// releaseSoftware starts engines of a version, and lets as many others leave.
func (r *platformRun) releaseSoftware(version string) func() {
	return r.replaceSoftware(r.rng, version, releasedEngines)
}

// replaceSoftware does the same with n engines.
func (r *platformRun) replaceSoftware(rng *rand.Rand, version string, n int) func() {
	for i := range n {
		if _, err := r.startReplica("llm", i%2, true, version); err != nil {
			r.checks.violated("the soak's own replica starts", "", err.Error())
			return nil
		}
	}
	var leaving []*fakes.Replica
	for range n {
		rep := r.randomEngineExcept(rng, version)
		if rep == nil || !r.remove(rep) {
			continue
		}
		r.store.Register(rep, true)
		leaving = append(leaving, rep)
	}
	return func() {
		for _, rep := range leaving {
			r.store.Unregister(rep)
			rep.Thaw()
			rep.Crash()
		}
	}
}

// randomEngineExcept returns an engine of another version that may leave, or nil.
func (r *platformRun) randomEngineExcept(rng *rand.Rand, version string) *fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []*fakes.Replica
	for _, rep := range r.services["llm"] {
		if rep.Version != version {
			others = append(others, rep)
		}
	}
	if len(others) == 0 || len(r.services["llm"]) <= r.cfg.Engines {
		return nil
	}
	return others[rng.IntN(len(others))]
}

// restartWithOtherSoftware restarts an engine under its name and address with another version.
func (r *platformRun) restartWithOtherSoftware() func() {
	version := r.anySoftware()
	rep := r.randomEngineExcept(r.rng, version)
	if rep == nil {
		return nil
	}
	return r.restartReplicaAs(rep, 0, version)
}

// killRouters kills one in two routers at the same moment.
func (r *platformRun) killRouters() func() {
	var ends []func()
	for _, n := range r.nodes {
		if r.rng.IntN(2) == 0 {
			n.kill()
			ends = append(ends, n.restart)
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// serving returns how many engines of a version serve.
func (r *platformRun) serving(version string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.services["llm"] {
		if rep.VersionName() == version {
			n++
		}
	}
	return n
}

// beCalm lets clients go on without faults while two versions or more serve.
func (r *platformRun) beCalm(ctx context.Context) {
	if !r.cfg.Software {
		return
	}
	if end := r.releaseSoftware(r.newSoftware()); end != nil {
		end()
	}
	r.software.calm(time.Now().Add(calmSettle))
	if r.cfg.Evidence {
		r.endAllInCalm(ctx)
	}
	select {
	case <-ctx.Done():
	case <-time.After(calmTime):
	}
}

// endAllInCalm ends all routers while streams of two versions or more run.
func (r *platformRun) endAllInCalm(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(calmSettle):
	}
	r.software.allEnd(time.Now())
	r.endAllRouters(nil)()
	for _, n := range r.nodes {
		n.awaitRecovery()
	}
}

// softwareStream is one stream as its client has received it, over all tries.
type softwareStream struct {
	id      string // of the try that brought the first piece; empty before it
	beganAt time.Time
	last    int
	version string
	reached func() // called after each piece; may be nil
	unnamed bool   // its client doesn't state id
}

// add takes in one piece, and returns the promise that it breaks, or "".
func (s *softwareStream) add(try, data string) string {
	id, rest, _ := strings.Cut(data, "/")
	number, version, _ := strings.Cut(rest, "@")
	n, err := strconv.Atoi(number)
	if err != nil || id != try || n != s.last+1 {
		return "no piece is missing, repeated, or another answer's"
	}
	if s.id == "" {
		s.id, s.version, s.beganAt = try, version, time.Now()
	}
	s.last = n
	if version != s.version {
		return "a stream goes on at the software version that began it"
	}
	if s.reached != nil {
		s.reached()
	}
	return ""
}

// stream requests a stream and takes it up at other routers until it is whole.
func (c *platformClient) stream(transport *http.Transport) {
	c.follow(transport, &softwareStream{}, fmt.Sprintf("%s-%d", c.name, c.sent), nil)
}

// follow requests the rest of a stream, first at one router and then at any, until it is whole. If first is nil, the first one is any, too.
func (c *platformClient) follow(transport *http.Transport, s *softwareStream, name string, first *node) {
	for try := range maxTakeUps + 1 {
		res := c.newResult("draft", fmt.Sprintf("%s.%d", name, try))
		ctx, stop := context.WithTimeout(context.Background(), maxAnswerTime)
		n := first
		if n == nil || try > 0 {
			n = c.run.nodes[c.rng.IntN(len(c.run.nodes))]
		}
		again := c.streamOnce(ctx, transport, n, s, &res)
		stop()
		res.duration = time.Since(res.startedAt)
		c.run.checks.stops.add(res)
		c.run.checks.countOutcome(cmp.Or(c.kind, "draft"), res.outcome())
		c.run.checks.ends.add(res)
		c.run.checks.checkDuration(res.id, res.duration, maxAnswerTime)
		if !again {
			return
		}
		time.Sleep(time.Duration(20+c.rng.IntN(300)) * time.Millisecond)
		if c.run.cfg.Evidence && res.status == 0 {
			time.Sleep(downTime) // all routers may be down
		}
	}
}

// streamOnce sends one request for the rest of a stream. It reports whether the client tries again.
func (c *platformClient) streamOnce(ctx context.Context, transport *http.Transport, n *node, s *softwareStream, res *result) bool {
	request := fakes.ClientRequest{
		Addr: n.front, Path: "/draft/x", ID: res.id, Key: res.key, Budget: res.budget, Prompt: "aa:40," + c.name + ":60", LastChunk: s.last,
	}
	if !s.unnamed {
		request.BeganAs = s.id
	}
	req, err := request.HTTPRequest()
	if err != nil {
		res.err = err
		return false
	}
	res.incarnation = n.incarnation()
	defer func() {
		if n.incarnation() != res.incarnation {
			res.incarnation = ""
		}
	}()
	resumed, had := s.id != "" && !s.unnamed, c.run.serving(s.version)
	resp, err := transport.RoundTrip(req.WithContext(connectionOf(ctx, &res.through)))
	if err != nil {
		res.err = err
		return true
	}
	defer resp.Body.Close()
	res.status = resp.StatusCode
	if resumed && had >= minReplicas && c.run.serving(s.version) >= minReplicas {
		c.run.software.takenUp(s, res.startedAt, res.status == http.StatusOK)
	}
	if !isStream(resp) {
		c.run.checks.unfit.addAnswer(resp, res.id, s.last)
		return res.status != http.StatusUnauthorized
	}
	return c.readStream(resp.Body, s, res)
}

// readStream reads pieces until the stream ends or the client leaves. It reports whether pieces are missing.
func (c *platformClient) readStream(body io.Reader, s *softwareStream, res *result) bool {
	leaveAt := c.run.cfg.chunks() + 1
	if c.rng.IntN(leaveEvery) == 0 {
		leaveAt = s.last + 1 + c.rng.IntN(c.run.cfg.chunks())
	}
	lines, had := bufio.NewReader(body), s.last
	for s.last < leaveAt {
		line, err := lines.ReadString('\n')
		if !belongsToChunk(strings.TrimSpace(line)) {
			c.run.checks.violated("no piece is missing, repeated, or another answer's", res.id, fmt.Sprintf("began as %s, line %.80q after %d", s.id, line, s.last))
			return false
		}
		if err != nil {
			res.err = err
			break
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if promise := s.add(res.id, data); promise != "" {
			c.run.checks.violated(promise, res.id, fmt.Sprintf("began as %s at %s, piece %q after %d", s.id, s.version, data, s.last))
			return false
		}
	}
	switch {
	case res.err == nil:
		res.abandoned = true
	case res.err == io.EOF && had > 0 && s.last == had && c.run.cfg.Unfit:
		res.err = nil
		c.run.checks.unfit.addEmpty(res.id, had)
		return true
	case res.err == io.EOF && s.last < c.run.cfg.chunks():
		c.run.checks.violated("an answer that ends early does not look whole", res.id, fmt.Sprintf("%d pieces", s.last))
		return false
	case res.err == io.EOF:
		res.err = nil
	}
	return s.last < c.run.cfg.chunks()
}
