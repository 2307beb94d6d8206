package settings

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"net/url"
	"strconv"
	"strings"
)

const (
	autoIncarnation = "auto"
	maxNameBytes    = 100 // ids are part of cursors, whose fields are limited
	dayMS           = 24 * 3600 * 1000
	maxPercent      = 100
	maxWeightRate   = 1_000_000_000_000 // bytes per second
	maxSuspectMS    = 16000             // longest silence that package health can resolve
)

// checker collects the problems that it finds in the values of the settings.
type checker struct {
	problems Problems
}

// Check returns all invalid values as Problems.
func (s *Settings) Check() error {
	c := &checker{}
	c.all(s)
	return c.problems.err()
}

func (c *checker) all(s *Settings) {
	c.node(&s.Node)
	if s.Hosted != nil {
		c.hosted(s.Hosted)
		c.limits(&s.Limits)
		inRange(c, "shutdown.balancer_notice_ms", s.Shutdown.BalancerNoticeMS, 0, dayMS)
		c.log(&s.Log)
		return
	}
	c.listen(&s.Listen)
	c.platform(&s.Platform)
	c.peers(&s.Peers)
	c.cursor(&s.Cursor)
	c.operators(s.Operators)
	c.policy(&s.Policy)
	c.routing(s.Routing.Steps)
	c.limits(&s.Limits)
	c.claims(&s.Claims)
	c.directory(&s.Directory)
	inRange(c, "shutdown.balancer_notice_ms", s.Shutdown.BalancerNoticeMS, 0, dayMS)
	c.log(&s.Log)
}

func (c *checker) log(l *Log) {
	inRange(c, "log.verbosity", l.Verbosity, 0, 10)
	inRange(c, "log.lines_per_second", l.LinesPerSecond, 1, 1000000)
}

func (c *checker) addProblem(path, want string, got any) {
	c.problems = append(c.problems, Problem{Path: path, Want: want, Got: fmt.Sprint(got)})
}

func inRange[T cmp.Ordered](c *checker, path string, v, low, high T) {
	if v < low || v > high {
		c.addProblem(path, fmt.Sprintf("%v to %v", low, high), v)
	}
}

func (c *checker) name(path, v string) {
	bad := func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }
	if v == "" || len(v) > maxNameBytes || strings.ContainsFunc(v, bad) {
		want := fmt.Sprintf("a name of 1 to %d bytes without spaces or slashes", maxNameBytes)
		c.addProblem(path, want, strconv.Quote(v))
	}
}

func (c *checker) address(path, v string) {
	host, port, err := net.SplitHostPort(v)
	_, errPort := strconv.ParseUint(port, 10, 16)
	if err != nil || errPort != nil || host == "" {
		c.addProblem(path, "host:port with a port of 0 to 65535", strconv.Quote(v))
	}
}

func (c *checker) url(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.addProblem(path, "an http or https URL", "something else") // the value may contain a password
	}
}

func (c *checker) node(n *Node) {
	c.name("node.id", n.ID)
	c.name("node.vm", n.VM)
	c.name("node.failure_domain", n.FailureDomain)
	c.name("node.region", n.Region)
	c.name("node.incarnation", n.Incarnation)
	if n.BackendProxyAddress != "" {
		c.address("node.backend_proxy_address", n.BackendProxyAddress)
	}
}

func (c *checker) listen(l *Listen) {
	used := map[string]string{}
	for _, listener := range []struct {
		path string
		l    *Listener
	}{{"listen.caller", &l.Caller}, {"listen.admin", &l.Admin}, {"listen.peer", &l.Peer}} {
		path := listener.path + ".address"
		c.address(path, listener.l.Address)
		c.tls(listener.path+".tls", listener.l.TLS)
		if first, taken := used[listener.l.Address]; taken && !usesEphemeralPort(listener.l.Address) {
			c.addProblem(path, "an address other than that of "+first, listener.l.Address)
		}
		used[listener.l.Address] = path
	}
	if l.AdvertisePeer != "" {
		c.address("listen.advertise_peer", l.AdvertisePeer)
	}
}

func usesEphemeralPort(address string) bool { return strings.HasSuffix(address, ":0") }

func (c *checker) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	if t.CertFile == "" {
		c.addProblem(path+".cert_file", "the path of a PEM file", "nothing")
	}
	if t.KeyFile == "" {
		c.addProblem(path+".key_file", "the path of a PEM file", "nothing")
	}
}

func (c *checker) platform(p *Platform) {
	c.url("platform.kv_url", p.KVURL)
	c.url("platform.vms_url", p.VMsURL)
	c.url("platform.weights_url", p.WeightsURL)
	inRange(c, "platform.weights_bytes_per_second", p.WeightsBytesPerSecond, 0, maxWeightRate)
	inRange(c, "platform.call_timeout_ms", p.CallTimeoutMS, 10, 60000)
}

func (c *checker) peers(p *Peers) {
	for i, seed := range p.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.key("peers.key", p.KeyFile, p.KeyEnv, true)
	inRange(c, "peers.full_mesh_limit", p.FullMeshLimit, 1, 1000)
	inRange(c, "peers.links_inside", p.SameDomainLinks, 1, 100)
	inRange(c, "peers.links_across", p.OtherDomainLinks, 1, 100)
	inRange(c, "peers.heartbeat_ms", p.HeartbeatMS, 10, 60000)
}

func (c *checker) key(path, file, env string, required bool) {
	if file != "" && env != "" {
		c.addProblem(path+"_env", "only one of key_file and key_env", "both")
	}
	if required && file == "" && env == "" {
		c.addProblem(path+"_file", "a path here, or a variable's name in key_env", "neither")
	}
}

func (c *checker) cursor(cu *Cursor) {
	c.key("cursor.key", cu.KeyFile, cu.KeyEnv, true)
	c.key("cursor.previous_key", cu.PreviousKeyFile, cu.PreviousKeyEnv, false)
	inRange(c, "cursor.max_age_s", cu.MaxAgeS, 60, 30*24*3600)
}

func (c *checker) operators(ops []Operator) {
	seen := map[string]bool{}
	for i, op := range ops {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".name", op.Name)
		if seen[op.Name] {
			c.addProblem(path+".name", "a name that no other operator has", strconv.Quote(op.Name))
		}
		seen[op.Name] = true
		raw, err := hex.DecodeString(op.TokenSHA256)
		if err != nil || len(raw) != 32 {
			c.addProblem(path+".token_sha256", "64 hex digits", "something else")
		}
		if op.Role != Viewer && op.Role != Editor && op.Role != Confirmer {
			c.addProblem(path+".role", "viewer, editor or confirmer", strconv.Quote(op.Role))
		}
	}
}

func (c *checker) policy(p *Policy) {
	inRange(c, "policy.resume_latency_weight", p.ResumeLatencyWeight, 0, 1000)
	inRange(c, "policy.extra_work_weight", p.ExtraWorkWeight, 0, 1000)
	if p.ResumeLatencyWeight == 0 && p.ExtraWorkWeight == 0 {
		c.addProblem("policy.extra_work_weight", "one weight above 0", "both 0")
	}
	inRange(c, "policy.min_suspect_ms", p.MinSuspectMS, 1, maxSuspectMS-1)
	inRange(c, "policy.max_suspect_ms", p.MaxSuspectMS, p.MinSuspectMS+1, maxSuspectMS)
	inRange(c, "policy.failures_per_hour", p.FailuresPerHour, 1e-6, 3600)
	inRange(c, "policy.tail_exponent", p.TailExponent, 0.1, 20)
	inRange(c, "policy.prefill_bytes_per_second", p.PrefillBytesPerSecond, 1, 1e12)
	inRange(c, "policy.fixed_timeout_ms", p.FixedTimeoutMS, 0, 600000)
	inRange(c, "policy.patience_ms", p.MaxWaitMS, 0, dayMS)
	inRange(c, "policy.retry_budget_percent", p.RetryBudgetPercent, 0, maxPercent)
	inRange(c, "policy.hedge.budget_percent", p.Hedge.BudgetPercent, 0, maxPercent)
}

func (c *checker) routing(steps []Step) {
	seen := map[string]bool{}
	for i, step := range steps {
		path := fmt.Sprintf("routing.steps[%d]", i)
		c.name(path+".name", step.Name)
		if seen[step.Name] {
			c.addProblem(path+".name", "a step once", strconv.Quote(step.Name))
		}
		seen[step.Name] = true
		inRange(c, path+".weight", step.Weight, 0, 1000)
	}
}

func (c *checker) limits(l *Limits) {
	inRange(c, "limits.header_bytes", l.HeaderBytes, 4096, 1<<20)
	inRange(c, "limits.body_bytes", l.BodyBytes, 1024, 1<<30)
	inRange(c, "limits.memory_mb", l.MemoryMB, 0, math.MaxInt32)
	inRange(c, "limits.descriptors", l.Descriptors, 0, math.MaxInt32)
	inRange(c, "limits.max_open_requests", l.MaxOpenRequests, 1, math.MaxInt32)
	inRange(c, "limits.queue", l.Queue, 0, math.MaxInt32)
	inRange(c, "limits.requests_per_engine", l.RequestsPerEngine, 0, 100000)
	inRange(c, "limits.reserve_percent", l.ReservePercent, 0, 90)
}

func (c *checker) claims(cl *Claims) {
	inRange(c, "claims.shards", cl.Shards, 1, 1024)
	inRange(c, "claims.window_s", cl.WindowS, 60, 30*24*3600)
}

func (c *checker) directory(d *Directory) {
	inRange(c, "directory.vms_poll_ms", d.VMsPollMS, 50, 600000)
	inRange(c, "directory.load_poll_ms", d.LoadPollMS, 50, 600000)
	inRange(c, "directory.subset", d.Subset, 1, 10000)
}
