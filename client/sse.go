package client

import (
	"bufio"
	"bytes"
	"io"

	"wigeondale/bounded"
)

// maxEventBytes bounds one event of a stream, and the comments before it. An event holds one chunk
// of an engine, of at most 128 KB, of which the escapes of JSON may make six times as much, and of its names.
const maxEventBytes = 784 << 10

// sseEvent is one server-sent event. Its fields are valid until the next read.
type sseEvent struct {
	id   string
	name string
	data []byte
}

// sseReader splits a stream into events. An event is returned only after its
// terminating blank line. If the connection breaks inside an event, none of it is
// returned, so that the text and the last event id always match.
type sseReader struct {
	s  *bufio.Scanner
	ev sseEvent
}

func newSSEReader(r io.Reader) *sseReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &sseReader{s: s}
}

// next returns the next event that has data. It returns errBroken at the end of the
// stream: a complete answer ends with an event, not with the connection.
func (r *sseReader) next() (*sseEvent, error) {
	r.ev.id, r.ev.name = "", ""
	r.ev.data = r.ev.data[:0]
	size := 0
	for r.s.Scan() {
		line := r.s.Bytes()
		if size += len(line) + 1; size > maxEventBytes {
			return nil, Error.New("%w: event of more than %d bytes", bounded.ErrTooLong, maxEventBytes)
		}
		if len(line) > 0 {
			r.field(line)
			continue
		}
		if len(r.ev.data) > 0 {
			return &r.ev, nil
		}
	}
	if err := r.s.Err(); err != nil {
		return nil, err
	}
	return nil, errBroken
}

func (r *sseReader) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		r.ev.id = string(value)
	case "event":
		r.ev.name = string(value)
	case "data":
		if len(r.ev.data) > 0 {
			r.ev.data = append(r.ev.data, '\n')
		}
		r.ev.data = append(r.ev.data, value...)
	}
}
