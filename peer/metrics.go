package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meshMetrics holds the metrics of one mesh. Bytes sent include the WebSocket
// headers; bytes received are payloads only. Neither includes TCP, IP and TLS.
type meshMetrics struct {
	set       *metrics.Set
	sentBytes [frameTypes]*metrics.Counter
	sent      [frameTypes]*metrics.Counter
	received  *metrics.Counter
	rejected  map[string]*metrics.Counter
	linksUp   *metrics.Counter
	linksLost map[string]*metrics.Counter
	floodDup  *metrics.Counter
	floodDrop *metrics.Counter
	callLost  *metrics.Counter
	relayed   *metrics.Counter
	dialFails *metrics.Counter
}

// These constants are the reasons for rejecting a message or a connection.
const (
	rejectMalformed = "malformed"
	rejectOversized = "oversized"
	rejectHandshake = "handshake"
	rejectBusy      = "busy"
)

// These constants are the reasons for closing a link.
const (
	lostClosed    = "closed"
	lostSilent    = "silent"
	lostSlow      = "slow"
	lostRejected  = "rejected"
	lostReplaced  = "replaced"
	lostIdle      = "idle"
	lostDuplicate = "duplicate"
)

func newMeshMetrics(set *metrics.Set) *meshMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	m := &meshMetrics{
		set:       set,
		received:  set.GetOrCreateCounter("wigeon_peer_received_bytes_total"),
		rejected:  make(map[string]*metrics.Counter),
		linksUp:   set.GetOrCreateCounter("wigeon_peer_links_up_total"),
		linksLost: make(map[string]*metrics.Counter),
		floodDup:  set.GetOrCreateCounter("wigeon_peer_floods_duplicate_total"),
		floodDrop: set.GetOrCreateCounter("wigeon_peer_floods_dropped_total"),
		callLost:  set.GetOrCreateCounter("wigeon_peer_calls_lost_total"),
		relayed:   set.GetOrCreateCounter("wigeon_peer_calls_relayed_total"),
		dialFails: set.GetOrCreateCounter("wigeon_peer_dial_failures_total"),
	}
	for t := typeHeartbeat; t < frameTypes; t++ {
		m.sentBytes[t] = set.GetOrCreateCounter(fmt.Sprintf("wigeon_peer_sent_bytes_total{kind=%q}", frameNames[t]))
		m.sent[t] = set.GetOrCreateCounter(fmt.Sprintf("wigeon_peer_sent_messages_total{kind=%q}", frameNames[t]))
	}
	for _, r := range []string{rejectMalformed, rejectOversized, rejectHandshake, rejectBusy} {
		m.rejected[r] = set.GetOrCreateCounter(fmt.Sprintf("wigeon_peer_rejected_total{reason=%q}", r))
	}
	for _, r := range []string{lostClosed, lostSilent, lostSlow, lostRejected, lostReplaced, lostIdle, lostDuplicate} {
		m.linksLost[r] = set.GetOrCreateCounter(fmt.Sprintf("wigeon_peer_links_lost_total{reason=%q}", r))
	}
	return m
}

// These constants are the sizes in bytes of a WebSocket header without a mask, for a
// 7-bit, a 16-bit and a 64-bit payload length, and of the mask.
const (
	headerShort  = 2
	headerMedium = 4
	headerLong   = 10
	maskBytes    = 4
)

// wireBytes returns the size of a message including its WebSocket header.
func wireBytes(payload int, masked bool) int {
	n := payload + headerShort
	switch {
	case payload > 0xffff:
		n = payload + headerLong
	case payload > 125:
		n = payload + headerMedium
	}
	if masked {
		n += maskBytes
	}
	return n
}
