package listen_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
)

// Guards against heads by HTTP/1 that no memory accounts for, on connections that have agreed on HTTP/2.
func TestHTTP1AfterAgreementOnHTTP2(t *testing.T) {
	for _, agreed := range []string{"http/1.1", "h2"} {
		pool := bounded.NewPool(16<<20, "test", nil)
		addr, client := encryptedServer(t, listen.Config{HeaderBytes: 64 << 10, Requests: pool}, answerWhole)
		client = client.Clone()
		client.NextProtos = []string{agreed}
		c, text := writeEncrypted(t, addr, client, ""), "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:b\r\n", 6000)
		_, err := io.WriteString(c, text)
		if agreed == "h2" {
			if err == nil { // the connection may end before all is written
				c.awaitEnd(t)
			}
			if used, _ := pool.Usage(); used != 0 {
				t.Errorf("%s: %d bytes are in use after the end", agreed, used)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		awaitUsage(t, pool, 1<<20)
	}
}

// Guards against header blocks that count less on a connection that did not agree on HTTP/2.
func TestHTTP2WithoutAgreementCounts(t *testing.T) {
	for _, agreed := range [][]string{{"h2"}, nil} {
		pool := bounded.NewPool(16<<20, "test", nil)
		addr, client := encryptedServer(t, listen.Config{HeaderBytes: 64 << 10, Requests: pool}, answerWhole)
		client = client.Clone()
		client.NextProtos = agreed
		writeEncrypted(t, addr, client, h2Preface+frame(frameHeaders, endStream, 1, h2Post+strings.Repeat("\x90", 15000)))
		awaitUsage(t, pool, 1<<20)
	}
}

// Guards against a connection that speaks another protocol than agreed on and is served.
func TestOtherProtocolThanAgreedEnds(t *testing.T) {
	var ran atomic.Int64
	addr, client := encryptedServer(t, listen.Config{Requests: bounded.NewPool(1<<20, "test", nil)}, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	for agreed, text := range map[string]string{
		"h2":       "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"http/1.1": h2Preface + frame(frameHeaders, endHeaders|endStream, 1, h2Post),
	} {
		cfg := client.Clone()
		cfg.NextProtos = []string{agreed}
		c, start := writeEncrypted(t, addr, cfg, text), time.Now()
		if c.awaitEnd(t); time.Since(start) > 5*time.Second {
			t.Errorf("%s: the end took the time of a header", agreed)
		}
	}
	if ran.Load() != 0 {
		t.Errorf("%d handlers ran", ran.Load())
	}
}

// Guards against a preface that arrives in pieces, or a method with its first letter, and is taken for the other protocol.
func TestProtocolOfFirstBytesInPieces(t *testing.T) {
	addr, client := encryptedServer(t, listen.Config{Requests: bounded.NewPool(1<<20, "test", nil)}, answerWhole)
	c := writeEncrypted(t, addr, client, "")
	for _, b := range []byte(h2Preface + frame(frameHeaders, endHeaders|endStream, 1, h2Post)) {
		c.Write([]byte{b})
		time.Sleep(time.Millisecond)
	}
	if got := c.readFrame(t, frameData, 0); string(got) != "whole" {
		t.Errorf("got %q", got)
	}
	c = writeEncrypted(t, addr, client, "P")
	time.Sleep(20 * time.Millisecond)
	io.WriteString(c, "OST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	if resp := c.readAnswer(t); resp.StatusCode != http.StatusOK {
		t.Errorf("got %s", resp.Status)
	}
}
