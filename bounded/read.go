package bounded

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// minBuffer is the first size of the buffer of a message.
const minBuffer = 2 << 10

// ReadHeld reads r, which may have limit bytes, and accounts for the memory in h. stated is the stated length, or -1.
func ReadHeld(ctx context.Context, r io.Reader, stated, limit int64, h *Hold) ([]byte, error) {
	if stated > limit {
		return nil, Error.New("%w: %d bytes, more than %d", ErrTooLong, stated, limit)
	}
	most := limit + 1
	if stated >= 0 {
		most = stated + 1 // one byte more shows the end of the message without another buffer
	}
	in := NewReader(r, limit)
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(2*int64(cap(buf)), minBuffer), most)
			if size <= int64(cap(buf)) {
				size = int64(cap(buf)) + minBuffer
			}
			if err := h.Grow(ctx, size); err != nil {
				return nil, err
			}
			grown := append(make([]byte, 0, size), buf...)
			h.Shrink(int64(cap(buf)))
			buf = grown
		}
		n, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case errors.Is(err, ErrTooLong):
			h.Endless()
			return nil, Error.Wrap(err)
		case err != nil:
			return nil, Error.Wrap(err)
		}
	}
}

// ReadAllHeld reads the body of resp as ReadHeld does.
func ReadAllHeld(ctx context.Context, resp *http.Response, limit int64, h *Hold) ([]byte, error) {
	return ReadHeld(ctx, resp.Body, resp.ContentLength, limit, h)
}
