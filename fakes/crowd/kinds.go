package crowd

import (
	"bytes"
	"fmt"
	"strings"
)

// Kind is what the clients of a crowd do.
type Kind string

// These are the kinds. Heads and bodies of the largest legal size are unfinished.
const (
	HeadOfOneLine    Kind = "unfinished head with one long line"
	HeadOfManyLines  Kind = "unfinished head with many short lines"
	HeadOfManyNames  Kind = "unfinished head with many different names"
	EmptyLines       Kind = "empty lines without end"
	LinesAfterPost   Kind = "empty lines without end after a request"
	LargeBody        Kind = "body of the largest size, one byte short"
	SmallBody        Kind = "small body, one byte short"
	LargeChunks      Kind = "chunks of 64 KB without end"
	SmallChunks      Kind = "chunks of one byte without end"
	ChunkExtensions  Kind = "chunk extensions without end"
	Trailers         Kind = "trailers without end"
	WholeBodies      Kind = "whole bodies of the largest size"
	Idle             Kind = "nothing"
	UnreadAnswer     Kind = "a request whose large answer is not read"
	UnreadPipeline   Kind = "pipelined requests whose answers are not read"
	ExpectedContinue Kind = "Expect: 100-continue without the body"
	Handshake        Kind = "TLS handshake that stops after its first bytes"
)

const (
	smallBody      = 15 << 10
	chunkBytes     = 64 << 10
	headMargin     = 1 << 10 // an unfinished head is this much shorter than the largest legal one
	wholeBodies    = 2       // whole bodies that a client sends
	pipelined      = 20000   // requests that a client sends
	pipelinedBatch = 50
)

// script is what the clients of one crowd send.
type script struct {
	// piece returns the n-th part of what a client sends; nothing after the last one.
	piece  func(client, n int) []byte
	unread bool // the clients don't read
}

// requestOf returns the head of a request up to its last line end, without the empty line.
func (c Config) requestOf(method, path, framing string, client, n int) string {
	id := fmt.Sprintf("crowd-%d-%d", client, n)
	return strings.ReplaceAll(fmt.Sprintf("%s %s HTTP/1.1\r\n%s%s", method, path, c.Request, framing), "{id}", id)
}

// scriptOf returns the script of a kind.
func scriptOf(c Config) (script, error) {
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n"
	begin := func(framing, rest string) func(int) string {
		return func(client int) string { return c.requestOf("POST", c.Path, framing, client, 0) + rest }
	}
	switch c.Kind {
	case HeadOfOneLine:
		return c.head("X-Line: " + strings.Repeat("a", c.HeadBytes)), nil
	case HeadOfManyLines:
		return c.head(strings.Repeat("a:b\r\n", c.HeadBytes/5+1)), nil
	case HeadOfManyNames:
		return c.head(manyNames(c.HeadBytes)), nil
	case EmptyLines:
		return endless(func(int) string { return "" }, "\r\n"), nil
	case LinesAfterPost:
		return endless(begin(length(1), "\r\nq"), "\r\n"), nil
	case LargeBody:
		return c.body(c.BodyBytes), nil
	case SmallBody:
		return c.body(smallBody), nil
	case LargeChunks:
		return endless(begin(chunked, "\r\n"), fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("q", chunkBytes))), nil
	case SmallChunks:
		return endless(begin(chunked, "\r\n"), "1\r\nq\r\n"), nil
	case ChunkExtensions:
		return endless(begin(chunked, "\r\n1"), ";a=b"), nil
	case Trailers:
		return endless(begin(chunked, "\r\n1\r\nq\r\n0\r\n"), "X-Line: junk\r\n"), nil
	case WholeBodies:
		return c.wholeBodies(), nil
	case Idle:
		return once(func(int) string { return "" }), nil
	case Handshake:
		return once(func(int) string { return "\x16\x03\x01\x02\x00\x01" }), nil // of a ClientHello of 512 bytes
	case UnreadAnswer:
		s := once(func(client int) string { return c.requestOf("POST", c.LargePath, length(1), client, 0) + "\r\nq" })
		s.unread = true
		return s, nil
	case UnreadPipeline:
		return c.pipeline(), nil
	case ExpectedContinue:
		return once(begin("Expect: 100-continue\r\n"+length(c.BodyBytes), "\r\n")), nil
	}
	return script{}, fmt.Errorf("no crowd of kind %q", c.Kind)
}

// once sends one text.
func once(text func(client int) string) script {
	return script{piece: func(client, n int) []byte {
		if n > 0 {
			return nil
		}
		return []byte(text(client))
	}}
}

// endless sends begin and then repeats a text, endlessBytes at most.
func endless(begin func(client int) string, repeated string) script {
	many := bytes.Repeat([]byte(repeated), max(1, step/len(repeated)))
	return script{piece: func(client, n int) []byte {
		if n == 0 {
			return append([]byte(begin(client)), many...)
		}
		if n*len(many) > endlessBytes {
			return nil
		}
		return many
	}}
}

// head sends a head that lacks its end, with as much of lines as fits.
func (c Config) head(lines string) script {
	return once(func(client int) string {
		begin := c.requestOf("POST", c.Path, "", client, 0)
		return begin + lines[:max(0, c.HeadBytes-headMargin-len(begin))]
	})
}

// manyNames returns lines with different names, of at least size bytes.
func manyNames(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "n%x:b\r\n", i)
	}
	return b.String()
}

// body sends a body of a size that lacks its last byte.
func (c Config) body(size int) script {
	rest := bytes.Repeat([]byte("q"), size-1)
	return script{piece: func(client, n int) []byte {
		switch n {
		case 0:
			return []byte(c.requestOf("POST", c.Path, fmt.Sprintf("Content-Length: %d\r\n", size), client, 0) + "\r\n")
		case 1:
			return rest
		}
		return nil
	}}
}

// wholeBodies sends whole requests, one after the other.
func (c Config) wholeBodies() script {
	body := bytes.Repeat([]byte("q"), c.BodyBytes)
	return script{piece: func(client, n int) []byte {
		switch {
		case n >= 2*wholeBodies:
			return nil
		case n%2 == 1:
			return body
		}
		return []byte(c.requestOf("POST", c.Path, fmt.Sprintf("Content-Length: %d\r\n", len(body)), client, n) + "\r\n")
	}}
}

// pipeline sends many small requests.
func (c Config) pipeline() script {
	return script{unread: true, piece: func(client, n int) []byte {
		if n*pipelinedBatch >= pipelined {
			return nil
		}
		var b bytes.Buffer
		for i := range pipelinedBatch {
			b.WriteString(c.requestOf("POST", c.Path, "Content-Length: 1\r\n", client, n*pipelinedBatch+i) + "\r\nq")
		}
		return b.Bytes()
	}}
}
