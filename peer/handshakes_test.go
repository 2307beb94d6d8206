package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
)

// Guards against a crowd that has no key, upgrades to WebSocket and then sends nothing: it keeps links and streams of other nodes out.
func TestCrowdWithoutKeyKeepsNoNodeOut(t *testing.T) {
	key := []byte(strings.Repeat("k", 32))
	n2, addr := streamMesh(t, "n2", key)
	n2.cfg.DialTimeout = time.Minute
	n1, _ := streamMesh(t, "n1", key)
	for range 40 {
		for _, path := range []string{Path, streamPath} {
			c, _, err := websocket.Dial(t.Context(), "ws://"+addr+path, nil)
			if err == nil {
				defer c.CloseNow()
			}
		}
	}
	s, err := n1.OpenStream(t.Context(), "n2", addr)
	if err != nil {
		t.Fatal("stream:", err)
	}
	defer s.Close()
	if _, err := n1.dial(t.Context(), addr, "n2"); err != nil {
		t.Error("link:", err)
	}
}
