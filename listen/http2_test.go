package listen_test

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net/http"
	"testing"
	"time"

	"wigeondale/bounded"
	"wigeondale/listen"
)

// h2Preface is the preface of an HTTP/2 client with empty settings.
const h2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// Types and flags of frames.
const (
	frameData, frameHeaders, frameReset, frameSettings, framePing = 0, 1, 3, 4, 6

	endStream, endHeaders = 1, 4
)

// h2Post is the block of a POST to the path / of the host x by https, with indexed fields only but for the host.
const h2Post = "\x83\x84\x87\x41\x01x"

func frame(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))[1:]
	head = append(head, kind, flags)
	return string(binary.BigEndian.AppendUint32(head, stream)) + payload
}

// dialHTTP2 opens an HTTP/2 connection and sends frames.
func dialHTTP2(t *testing.T, addr string, cfg *tls.Config, frames string) *testClient {
	t.Helper()
	cfg = cfg.Clone()
	cfg.NextProtos = []string{"h2"}
	return writeEncrypted(t, addr, cfg, h2Preface+frames)
}

// readFrame returns the next frame of a kind with the flags.
func (c *testClient) readFrame(t *testing.T, kind, flags byte) []byte {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		head := make([]byte, 9)
		if _, err := io.ReadFull(c.r, head); err != nil {
			t.Fatal(err)
		}
		payload := make([]byte, binary.BigEndian.Uint32(append([]byte{0}, head[:3]...)))
		if _, err := io.ReadFull(c.r, payload); err != nil {
			t.Fatal(err)
		}
		if head[3] == kind && head[4]&flags == flags {
			return payload
		}
	}
}

// answerWhole reads the body and answers "whole".
func answerWhole(w http.ResponseWriter, r *http.Request) {
	if _, err := bounded.ReadHeld(r.Context(), r.Body, r.ContentLength, 4<<20, listen.Hold(r)); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "whole")
}

// Guards against an open answer over HTTP/2 that is cut since its connection looks like a slow request, for a new connection and for
// memory.
func TestOpenAnswerOverHTTP2IsNotCut(t *testing.T) {
	pool, entered, release := bounded.NewPool(1<<20, "test", nil), make(chan struct{}), make(chan struct{})
	addr, client := encryptedServer(t, listen.Config{MaxConns: 1, Requests: pool}, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		io.WriteString(w, "whole")
	})
	c := dialHTTP2(t, addr, client, frame(frameHeaders, endHeaders|endStream, 1, h2Post))
	<-entered
	c.Write([]byte(frame(framePing, 0, 0, "12345678")))
	c.readFrame(t, framePing, 1)
	time.Sleep(20 * time.Millisecond) // the share of recent bytes falls below 1
	write(t, addr, "x").awaitEnd(t)
	large := pool.HoldInput(bounded.Input{GiveUp: func() {}})
	defer large.Close()
	large.Received(1)
	go large.Grow(t.Context(), 1<<20)
	c.Write([]byte(frame(framePing, 0, 0, "12345678")))
	c.readFrame(t, framePing, 1)
	close(release)
	if got := c.readFrame(t, frameData, 0); string(got) != "whole" {
		t.Errorf("got %q", got)
	}
}

// Guards against connections of which all streams have an unfinished body and that keep new ones out.
func TestUnfinishedStreamsEndForANewConnection(t *testing.T) {
	pool := bounded.NewPool(16<<20, "test", nil)
	addr, client := encryptedServer(t, listen.Config{MaxConns: 4, Requests: pool}, answerWhole)
	for range 4 {
		c := dialHTTP2(t, addr, client, frame(frameHeaders, endHeaders, 1, h2Post)+frame(frameData, 0, 1, "x")+frame(framePing, 0, 0, "12345678"))
		c.readFrame(t, framePing, 1)
	}
	for range 6 {
		c := dialHTTP2(t, addr, client, frame(frameHeaders, endHeaders|endStream, 1, h2Post))
		if got := c.readFrame(t, frameData, 0); string(got) != "whole" {
			t.Errorf("got %q", got)
		}
	}
}

// Guards against bodies over HTTP/2 that stop one byte short and keep the memory from others.
func TestUnfinishedStreamIsGivenUpForMemory(t *testing.T) {
	pool := bounded.NewPool(1<<20, "test", nil)
	addr, client := encryptedServer(t, listen.Config{Requests: pool}, answerWhole)
	for range 40 {
		c := dialHTTP2(t, addr, client, "")
		for id := uint32(1); id <= 3; id += 2 {
			c.Write([]byte(frame(frameHeaders, endHeaders, id, h2Post) + frame(frameData, 0, id, string(bytes.Repeat([]byte("x"), 16000)))))
		}
	}
	awaitUsage(t, pool, 500<<10)
	for range 3 {
		write := frame(frameHeaders, endHeaders, 1, h2Post) + frame(frameData, 0, 1, string(bytes.Repeat([]byte("y"), 16000)))
		c := dialHTTP2(t, addr, client, write+frame(frameData, 0, 1, string(bytes.Repeat([]byte("y"), 16000)))+frame(frameData, endStream, 1, ""))
		if got := c.readFrame(t, frameData, 0); string(got) != "whole" {
			t.Errorf("got %q", got)
		}
	}
	if used, _ := pool.Usage(); used > 2<<20 {
		t.Errorf("%d bytes are in use", used)
	}
}

// Guards against streams without a header field, whose goroutines and buffers nothing accounts for, and against header blocks without
// their end beside an open stream.
func TestStreamsTakeMemory(t *testing.T) {
	pool, release := bounded.NewPool(64<<20, "test", nil), make(chan struct{})
	defer close(release)
	addr, client := encryptedServer(t, listen.Config{Requests: pool}, func(w http.ResponseWriter, r *http.Request) { <-release })
	c := dialHTTP2(t, addr, client, "")
	for id := uint32(1); id < 100; id += 2 {
		c.Write([]byte(frame(frameHeaders, endHeaders|endStream, id, h2Post)))
	}
	awaitUsage(t, pool, 50*4<<10)
	before, _ := pool.Usage()
	c.Write([]byte(frame(frameHeaders, 0, 101, h2Post+string(bytes.Repeat([]byte{0x90}, 900)))))
	awaitUsage(t, pool, before+30<<10)
}

// Guards against answers over HTTP/2 that their clients don't read and that keep the memory from others.
func TestUnreadAnswersOverHTTP2AreGivenUpForMemory(t *testing.T) {
	pool := bounded.NewPool(1<<20, "test", nil)
	addr, client := encryptedServer(t, listen.Config{Requests: pool}, answerWhole)
	noWindow := frame(frameSettings, 0, 0, "\x00\x04\x00\x00\x00\x00")
	for range 2 {
		c := dialHTTP2(t, addr, client, noWindow)
		for id := uint32(1); id < 200; id += 2 {
			c.Write([]byte(frame(frameHeaders, endHeaders|endStream, id, h2Post)))
		}
	}
	awaitUsage(t, pool, 1000<<10)
	c := dialHTTP2(t, addr, client, frame(frameHeaders, endHeaders|endStream, 1, h2Post))
	if got := c.readFrame(t, frameData, 0); string(got) != "whole" {
		t.Errorf("got %q", got)
	}
}
