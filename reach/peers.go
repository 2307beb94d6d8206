package reach

import (
	"slices"
	"strings"
	"sync"
	"time"

	"wigeondale/event"
)

const (
	// FloodCutOff is the kind of the messages that contain a Message.
	FloodCutOff = "reach.cut-off"
	// repeatInterval is how often a router that is cut off says so, and reportTTL how long it
	// counts as cut off after its last message.
	repeatInterval = time.Second
	reportTTL      = 3 * repeatInterval
)

// Message names the services from which a router is cut off. A message without services ends the
// earlier ones.
type Message struct {
	Services []string `cbor:"1,keyasint,omitempty"`
}

// Peers exchanges with the other routers which of them are cut off from which services. It is safe
// for concurrent use.
type Peers struct {
	monitor   *Monitor
	broadcast func(Message) // sends a message to all other routers
	log       *event.Log

	mu       sync.Mutex
	reported map[string]report // by router
	sent     time.Time
}

type report struct {
	services []string
	at       time.Time
}

// NewPeers returns Peers that tell the other routers, through broadcast, what m notices.
func NewPeers(m *Monitor, broadcast func(Message), log *event.Log) *Peers {
	return &Peers{monitor: m, broadcast: broadcast, log: log, reported: map[string]report{}}
}

// Tick repeats that this router is cut off, and forgets the routers that no longer say so.
func (p *Peers) Tick(now time.Time) {
	p.mu.Lock()
	due := now.Sub(p.sent) >= repeatInterval
	var ended []string
	for router, r := range p.reported {
		if now.Sub(r.at) > reportTTL {
			delete(p.reported, router)
			ended = append(ended, router)
		}
	}
	p.mu.Unlock()
	for _, router := range ended {
		p.log.Emit(event.PeerCutOffEnded, "peer", router, "reason", "not heard")
	}
	if due && p.monitor.Any() {
		p.Send(now)
	}
}

// Send tells the other routers from which services this router is cut off.
func (p *Peers) Send(now time.Time) {
	p.mu.Lock()
	p.sent = now
	p.mu.Unlock()
	p.broadcast(Message{p.monitor.CutOffServices()})
}

// Handle applies another router's message.
func (p *Peers) Handle(from string, m Message) {
	p.mu.Lock()
	before, known := p.reported[from]
	if len(m.Services) == 0 {
		delete(p.reported, from)
	} else {
		p.reported[from] = report{m.Services, time.Now()}
	}
	p.mu.Unlock()
	switch {
	case len(m.Services) == 0 && known:
		p.log.Emit(event.PeerCutOffEnded, "peer", from, "reason", "reported")
	case !slices.Equal(before.services, m.Services):
		p.log.Emit(event.PeerCutOff, "peer", from, "services", strings.Join(m.Services, ","))
	}
}

// CutOff reports whether another router says that it is cut off from a service.
func (p *Peers) CutOff(router, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.reported[router].services, service)
}

// AnyCutOff reports whether another router says that it is cut off from any service.
func (p *Peers) AnyCutOff(router string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.reported[router]
	return ok
}

// Reported returns the services from which other routers say that they are cut off, by router.
func (p *Peers) Reported() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][]string, len(p.reported))
	for router, r := range p.reported {
		out[router] = r.services
	}
	return out
}
