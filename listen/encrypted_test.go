package listen_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
	"wigeondale/settings"
)

// encryptedServer starts a server with TLS, and returns its address and the configuration of its clients.
func encryptedServer(t *testing.T, cfg listen.Config, h http.HandlerFunc) (string, *tls.Config) {
	t.Helper()
	files := selfSigned(t)
	cfg.Listener = settings.Listener{Address: "127.0.0.1:0", TLS: files}
	s, err := listen.New(cfg, h)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	client, err := files.DialConfig()
	if err != nil {
		t.Fatal(err)
	}
	return s.Addr().String(), client
}

// writeEncrypted sends text on a new connection with TLS, which stays open.
func writeEncrypted(t *testing.T, addr string, cfg *tls.Config, text string) *testClient {
	t.Helper()
	c, err := tls.Dial("tcp", addr, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return &testClient{c, bufio.NewReader(c)}
}

// Guards against an open request over TLS that holds many times the memory of its head.
func TestEncryptedHeadTakesTheMemoryOfAPlainOne(t *testing.T) {
	pool := bounded.NewPool(16<<20, "test", nil)
	used := make(chan int64, 1)
	addr, client := encryptedServer(t, listen.Config{Requests: pool}, func(w http.ResponseWriter, r *http.Request) {
		n, _ := pool.Usage()
		used <- n
		io.WriteString(w, "whole")
	})
	fields := "Host: x\r\nA: " + strings.Repeat("b", 8<<10) + "\r\n"
	writeEncrypted(t, addr, client, "GET / HTTP/1.1\r\n"+fields+"\r\n").readAnswer(t)
	if n := <-used; n > 4*int64(len(fields)) {
		t.Errorf("a head of %d bytes holds %d", len(fields), n)
	}
}

// Guards against a head of the largest size that is refused since the handshake before it counts, and against an encrypted head over
// the limit that gets no answer.
func TestHeaderLimitOverTLS(t *testing.T) {
	addr, client := encryptedServer(t, listen.Config{HeaderBytes: 4096, Requests: bounded.NewPool(16<<20, "test", nil)}, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "whole")
	})
	for range 9 { // a handshake with a long certificate chain
		client.Certificates[0].Certificate = append(client.Certificates[0].Certificate, client.Certificates[0].Certificate[0])
	}
	head := "GET / HTTP/1.1\r\nHost: x\r\nA: "
	writeEncrypted(t, addr, client, head+strings.Repeat("b", 8000-len(head))+"\r\n\r\n").readAnswer(t)
	resp, err := http.ReadResponse(writeEncrypted(t, addr, client, head+strings.Repeat("b", 9000)).r, nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %v, %v", resp, err)
	}
}

// Guards against handshakes that stop after the first bytes and keep new connections out.
func TestUnfinishedHandshakeEndsForANewConnection(t *testing.T) {
	pool := bounded.NewPool(16<<20, "test", nil)
	addr, client := encryptedServer(t, listen.Config{MaxConns: 4, Requests: pool}, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "whole")
	})
	for range 4 {
		write(t, addr, "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03")
	}
	awaitUsage(t, pool, 1)
	for range 6 {
		writeEncrypted(t, addr, client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n").readAnswer(t)
	}
}

// Guards against a client of plain HTTP that gets no answer from a listener with TLS.
func TestPlainRequestToEncryptedListener(t *testing.T) {
	addr, _ := encryptedServer(t, listen.Config{}, nil)
	c := write(t, addr, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got %v, %v", resp, err)
	}
}
