// Package rig2 runs a small deployment on loopback addresses for the cases of the second review: a store, replicas that are
// scripted byte by byte, routers as processes of their own, and clients that record what they sent and got.
package rig2

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wigeondale/fakes/hosted"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Rig is one deployment.
type Rig struct {
	Store *hosted.Store

	dir     string
	record  *os.File
	started time.Time

	mu       sync.Mutex
	routers  []*Router
	replicas []*Replica
}

// New starts a store. What happens is written to record.txt in the folder of the case.
func New(folder string) (*Rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	return &Rig{Store: hosted.NewStore(), dir: dir, record: record, started: time.Now()}, nil
}

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	r.mu.Lock()
	routers, replicas := r.routers, r.replicas
	r.mu.Unlock()
	for _, n := range routers {
		n.Kill()
	}
	for _, p := range replicas {
		p.Stop()
	}
	r.Store.CloseClientConnections()
	r.Store.Close()
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// Router is one router process.
type Router struct {
	ID, Front, Ready, Stats, Peer string

	rig      *Rig
	store    string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// Ports of routers are below those that the system gives to connections, so that a router finds its ports free when it starts again.
const firstPort, lastPort = 15000, 30000

// FreeAddr returns an address on loopback that is free now.
func FreeAddr() (string, error) {
	var err error
	for range 100 {
		var ln net.Listener
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			return ln.Addr().String(), ln.Close()
		}
	}
	return "", err
}

// AddRouter starts a router that reaches the store at an address, and waits until it is ready. If another program takes one of its ports
// before it starts, it is started at others.
func (r *Rig) AddRouter(id, domain, store string, first bool) (n *Router, err error) {
	for range 5 {
		n = &Router{ID: id, rig: r, store: store, settings: filepath.Join(r.dir, id+".json")}
		if err = n.startAnywhere(domain, first); err == nil || n.ended == nil {
			break
		}
		n.Kill()
		if !strings.Contains(n.Output(), "address already in use") {
			break
		}
		_ = os.Remove(n.settings + ".log")
	}
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routers = append(r.routers, n)
	return n, nil
}

func (n *Router) startAnywhere(domain string, first bool) error {
	for _, a := range []*string{&n.Front, &n.Ready, &n.Stats, &n.Peer} {
		var err error
		if *a, err = FreeAddr(); err != nil {
			return err
		}
	}
	if err := n.write(domain, first); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	return n.AwaitReady(15 * time.Second)
}

// write writes the settings as deploy/wigeond.json.tmpl renders them for the site notas-andinas.
func (n *Router) write(domain string, first bool) error {
	text := fmt.Sprintf(`{
  "node": {"id": %q, "vm": %q, "failure_domain": %q, "region": "co-centro"},
  "limits": {"header_bytes": 65536, "memory_mb": 284, "descriptors": 4100},
  "shutdown": {"balancer_notice_ms": 2600},
  "hosted": {"front_address": %q, "readiness_address": %q, "metrics_address": %q, "peer_address": %q, "store_address": %q,
    "first_start": %t, "store_writes_per_s": 400, "heartbeat_ms": 1200, "grace_ms": 8000,
    "retry_window_s": 10, "retry_share": 0.8, "retry_burst": 150}
}`, n.ID, n.ID, domain, n.Front, n.Ready, n.Stats, n.Peer, n.store, first)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// Start starts the process with the command of the deploy file.
func (n *Router) Start() error {
	out, err := os.OpenFile(n.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/wigeond")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "WIGEONDALE_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	cmd, ended := n.cmd, n.ended
	go func() {
		defer close(ended)
		_ = cmd.Wait()
		_ = out.Close()
		n.rig.Log("router %s has ended: %v", n.ID, cmd.ProcessState)
	}()
	n.rig.Log("router %s started", n.ID)
	return nil
}

// Signal sends a signal to the process.
func (n *Router) Signal(s syscall.Signal) {
	n.rig.Log("%v to router %s", s, n.ID)
	_ = n.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (n *Router) Kill() {
	if n.ended == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// Ended is closed when the process has ended.
func (n *Router) Ended() <-chan struct{} { return n.ended }

// AwaitReady waits until the router says that it is ready.
func (n *Router) AwaitReady(most time.Duration) error {
	until := time.Now().Add(most)
	for time.Now().Before(until) {
		resp, err := http.Get("http://" + n.Ready + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.rig.Log("router %s is ready", n.ID)
				return nil
			}
		}
		select {
		case <-n.ended:
			until = time.Now()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("router %s isn't ready; its log: %s", n.ID, n.Output())
}

// Output returns what the process has written.
func (n *Router) Output() string {
	b, _ := os.ReadFile(n.settings + ".log")
	return string(b)
}

// Arrival is one request as a replica read it.
type Arrival struct {
	At      time.Time
	Replica *Replica
	Line    string // request line
	Head    http.Header
	Body    []byte
	Conn    net.Conn
	Reader  *bufio.Reader
}

// ID returns the request's X-Attempt-Id.
func (a *Arrival) ID() string { return a.Head.Get("X-Attempt-Id") }

// Replica is a scripted replica.
type Replica struct {
	ID, Service, Zone string
	// Serve answers a request that was read whole, and returns false if the connection has to be closed. Health checks, reports and other
	// calls without an attempt's id don't reach it.
	Serve func(a *Arrival) bool
	// Early, if set, is called with each request whose head was read and whose body wasn't. It returns true if it has answered, after
	// which the connection is closed.
	Early func(a *Arrival) bool
	// Report, if set, returns the body of a report.
	Report func() string

	rig *Rig
	ln  net.Listener

	mu       sync.Mutex
	arrivals []*Arrival
	conns    map[net.Conn]struct{}
}

// AddReplica starts a replica and registers it.
func (r *Rig) AddReplica(p *Replica) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.rig, p.ln, p.conns = r, ln, map[net.Conn]struct{}{}
	r.mu.Lock()
	r.replicas = append(r.replicas, p)
	r.mu.Unlock()
	go p.accept()
	p.Register("ready")
	return nil
}

// Addr returns the replica's address.
func (p *Replica) Addr() string { return p.ln.Addr().String() }

// Register writes the replica's entry.
func (p *Replica) Register(state string) {
	p.rig.Store.PutJSON("servers/"+p.ID, map[string]any{
		"service": p.Service, "address": p.Addr(), "zone": p.Zone, "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0,
		"sequence": time.Now().UnixMilli(),
	})
}

func (p *Replica) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.serve(c)
	}
}

func (p *Replica) serve(c net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		a, err := readHead(br)
		if err != nil {
			return
		}
		a.At, a.Replica, a.Conn, a.Reader = time.Now(), p, c, br
		if a.ID() != "" && p.Early != nil && p.Early(a) {
			return
		}
		if err := a.readBody(); err != nil {
			return
		}
		if a.ID() == "" {
			if !p.serveCall(a) {
				return
			}
			continue
		}
		p.mu.Lock()
		p.arrivals = append(p.arrivals, a)
		p.mu.Unlock()
		p.rig.Log("replica %s reads %s, %q, %d bytes of body", p.ID, a.ID(), a.Line, len(a.Body))
		if !p.Serve(a) {
			return
		}
	}
}

// serveCall answers a health check or a report.
func (p *Replica) serveCall(a *Arrival) bool {
	switch {
	case strings.HasPrefix(a.Line, "GET /healthz "):
		_, err := fmt.Fprintf(a.Conn, "HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", p.ID)
		return err == nil
	case strings.HasPrefix(a.Line, "GET /report ") && p.Report != nil:
		body := p.Report()
		_, err := fmt.Fprintf(a.Conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	_, err := io.WriteString(a.Conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// Arrivals returns the requests that the replica has read.
func (p *Replica) Arrivals() []*Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Arrival(nil), p.arrivals...)
}

// Stop ends the replica; its connections are closed.
func (p *Replica) Stop() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// HeadOf returns the head of a replica's answer to a.
func (a *Arrival) HeadOf(status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s-%s\r\nX-Replica-Id: %s\r\n%s\r\n", status, http.StatusText(status), a.ID(), a.Replica.ID, a.ID(), a.Replica.ID, more)
}

// Answer writes a whole answer.
func (a *Arrival) Answer(status int, body string) bool {
	_, err := io.WriteString(a.Conn, a.HeadOf(status, "Content-Length: "+strconv.Itoa(len(body))+"\r\n")+body)
	return err == nil
}

func readHead(br *bufio.Reader) (*Arrival, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return nil, err
	}
	a := &Arrival{Line: strings.TrimRight(line, "\r\n"), Head: http.Header{}}
	for {
		l, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		l = strings.TrimRight(l, "\r\n")
		if l == "" {
			return a, nil
		}
		name, value, _ := strings.Cut(l, ":")
		a.Head.Add(name, strings.TrimSpace(value))
	}
}

func (a *Arrival) readBody() error {
	if a.Head.Get("Transfer-Encoding") == "chunked" {
		return errors.New("chunks aren't read")
	}
	n, _ := strconv.Atoi(a.Head.Get("Content-Length"))
	a.Body = make([]byte, n)
	_, err := io.ReadFull(a.Reader, a.Body)
	return err
}

// Reply is what a client got.
type Reply struct {
	Status int
	Head   http.Header
	Body   []byte
	Err    error // the answer isn't whole
	Took   time.Duration
}

// Whole reports whether the answer is a whole success with a receipt.
func (r *Reply) Whole() bool {
	return r.Err == nil && r.Status/100 == 2 && r.Head.Get("X-Response-Seal") != ""
}

// Send sends bytes on a new connection and reads one answer.
func (r *Rig) Send(addr, raw string, most time.Duration, seen func(line []byte)) *Reply {
	began := time.Now()
	out := &Reply{}
	defer func() { out.Took = time.Since(began) }()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		out.Err = err
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(most))
	if _, err := io.WriteString(c, raw); err != nil {
		out.Err = err
		return out
	}
	method, _, _ := strings.Cut(raw, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		out.Err = err
		return out
	}
	out.Status, out.Head = resp.StatusCode, resp.Header
	var body bytes.Buffer
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		body.Write(buf[:n])
		if n > 0 && seen != nil {
			seen(buf[:n])
		}
		if err != nil {
			if err != io.EOF {
				out.Err = err
			}
			break
		}
	}
	out.Body = body.Bytes()
	return out
}

// WriteSettings replaces the settings that the process gets at its next start.
func (n *Router) WriteSettings(text string) error {
	return os.WriteFile(n.settings, []byte(text), 0o600)
}
