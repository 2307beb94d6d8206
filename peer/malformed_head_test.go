package peer

import (
	"bufio"
	"crypto/sha1"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// upgradeWith starts a server that accepts each WebSocket handshake with a status line and further lines in the head.
func upgradeWith(t *testing.T, status, lines string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + websocketGUID))
				io.WriteString(conn, status+"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Accept: "+
					base64.StdEncoding.EncodeToString(sum[:])+"\r\n"+lines+"\r\n")
				time.AfterFunc(time.Second, func() { conn.Close() })
			}
		}
	}()
	return ln.Addr().String()
}

// Guards against a malformed answer to the handshake of another router that counts as an upgrade.
func TestMalformedHandshakeIsNoUpgrade(t *testing.T) {
	m, _ := streamMesh(t, "n1", []byte(strings.Repeat("k", 32)))
	const sound = "HTTP/1.1 101 Switching Protocols"
	heads := map[string][2]string{
		"sound": {sound, ""}, "space in a name": {sound, "X Foo: 1\r\n"}, "space after a name": {sound, "X-Foo : 1\r\n"},
		"control byte in the reason": {"HTTP/1.1 101 S\x01", ""}, "HTTP/2.0": {"HTTP/2.0 101 S", ""}, "HTTP/0.9": {"HTTP/0.9 101 S", ""},
		"chunks": {sound, "Transfer-Encoding: chunked\r\n"},
	}
	for name, h := range heads {
		resp, err := m.streamClient.Get("http://" + upgradeWith(t, h[0], h[1]))
		if err == nil {
			resp.Body.Close()
		}
		if (err == nil) != (name == "sound") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
