package listen

import (
	"errors"
	"net/http"
	"strconv"

	"wigeondale/bounded"
)

// ErrUnframed means that a part of an answer can't be sent yet: its client takes the end of the connection for the end of the answer,
// so that an answer that is cut would look whole.
var ErrUnframed = errors.New("the client can't tell a part of the answer from the whole")

// CanStream reports whether a client notices that an answer without a stated length is cut. HTTP/1.0 has no chunks.
func CanStream(r *http.Request) bool { return r.ProtoAtLeast(1, 1) }

// framedWriter gives each answer a length. An answer whose handler states none is sent when the handler has ended.
type framedWriter struct {
	http.ResponseWriter
	request *http.Request
	hold    *bounded.Hold
	status  int
	direct  bool // the head has gone out with a length
	body    []byte
	err     error
}

// frame returns a writer whose answers have a length, and a function that completes the answer.
func frame(w http.ResponseWriter, r *http.Request) (framed http.ResponseWriter, complete func()) {
	f := &framedWriter{ResponseWriter: w, request: r, hold: Hold(r)}
	return f, f.complete
}

// WriteHeader implements http.ResponseWriter.
func (f *framedWriter) WriteHeader(status int) {
	switch {
	case status < http.StatusOK:
		f.ResponseWriter.WriteHeader(status)
	case f.status != 0:
	default:
		f.status = status
		if f.direct = f.Header().Get("Content-Length") != ""; f.direct {
			f.ResponseWriter.WriteHeader(status)
		}
	}
}

// Write implements io.Writer.
func (f *framedWriter) Write(p []byte) (int, error) {
	f.WriteHeader(http.StatusOK)
	if f.direct {
		return f.ResponseWriter.Write(p)
	}
	if f.err == nil {
		f.err = f.hold.Grow(f.request.Context(), int64(len(p)))
	}
	if f.err != nil {
		return 0, Error.Wrap(f.err)
	}
	f.body = append(f.body, p...)
	return len(p), nil
}

// FlushError is called by http.ResponseController.
func (f *framedWriter) FlushError() error {
	if f.status != 0 && !f.direct {
		return Error.Wrap(ErrUnframed)
	}
	return http.NewResponseController(f.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (f *framedWriter) Unwrap() http.ResponseWriter { return f.ResponseWriter }

// complete sends an answer that its handler has completed.
func (f *framedWriter) complete() {
	switch {
	case f.direct:
		return
	case f.err != nil:
		panic(http.ErrAbortHandler) // the request may have run, and a part of its answer must not be sent
	}
	f.WriteHeader(http.StatusOK)
	if f.direct {
		return
	}
	if f.status != http.StatusNoContent && f.status != http.StatusNotModified {
		f.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	}
	f.ResponseWriter.WriteHeader(f.status)
	_, _ = f.ResponseWriter.Write(f.body) // an error means that the client has disconnected
}
