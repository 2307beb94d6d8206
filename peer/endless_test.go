package peer

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/endless"
)

// websocketGUID is the constant of RFC 6455 from which a server derives its accept key.
const websocketGUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// Guards against a router, or what stands at its address, that answers the opening of a link or of a
// stream with bytes without end: a head, a false upgrade, or one message after a true upgrade. On
// 8472d66 it fails at heads at full speed: 10 MB are read.
func TestRouterWithoutEnd(t *testing.T) {
	m, _ := streamMesh(t, "n1", []byte(strings.Repeat("k", 32)))
	m.cfg.DialTimeout = time.Second
	opens := map[string]func(ctx context.Context, addr string) error{
		"link":   func(_ context.Context, addr string) error { _, err := m.dialOnce(addr, "n2"); return err },
		"stream": func(ctx context.Context, addr string) error { _, err := m.OpenStream(ctx, "n2", addr); return err },
	}
	message := "\x82\x7f\x00\x00\x00\xff\xff\xff\xff\xff" // of a terabyte
	for name, open := range opens {
		for _, kind := range append([]endless.Kind{endless.Switched, "message"}, endless.Heads...) {
			for _, gap := range []time.Duration{0, time.Millisecond} {
				answer := func(r *http.Request) endless.Answer {
					if kind != "message" {
						return endless.Answer{Kind: kind, Gap: gap}
					}
					sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + websocketGUID))
					accept := http.Header{"Sec-WebSocket-Accept": {base64.StdEncoding.EncodeToString(sum[:])}}
					return endless.Answer{Kind: endless.Switched, Gap: gap, Header: accept, Body: message}
				}
				t.Run(name+" "+string(kind)+" "+gap.String(), func(t *testing.T) {
					// After a false upgrade the library reads for up to 3 s.
					err := endless.CheckFunc(answer, 3*time.Second, 700<<10, func(ctx context.Context, addr string) {
						if err := open(ctx, addr); err == nil || errors.Is(err, ErrStopped) {
							t.Errorf("got %v", err)
						}
					})
					if err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}
