package daemon

import (
	"context"
	"errors"
	"io"
	"sync"

	"wigeondale/backend"
	"wigeondale/bounded"
)

// reportedBody is the response body of a try. When it has ended or is closed, it reports the result of
// the try to the failure detector, once.
//
// If the head alone counted as a success, a backend server would stay healthy whose bodies break off
// or never end, and each call that it gets would fail.
type reportedBody struct {
	*backend.WatchedBody
	read   bool
	once   sync.Once
	report func(err error)
}

// Read implements io.Reader.
func (b *reportedBody) Read(p []byte) (int, error) {
	n, err := b.WatchedBody.Read(p)
	b.read = b.read || n > 0
	switch {
	case err == io.EOF:
		b.result(nil)
	case err != nil:
		b.result(b.failure(err))
	}
	return n, err
}

// failure returns err, or nil if nothing but the caller's end caused it, or its deadline while the body made progress.
func (b *reportedBody) failure(err error) error {
	if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	if err = b.WatchedBody.Failure(err); errors.Is(err, backend.ErrUnfinished) && errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// Close implements io.Closer. A body that was read and not to its end is longer than an answer may be.
func (b *reportedBody) Close() error {
	err := b.WatchedBody.Close()
	if b.read {
		b.result(Error.Wrap(bounded.ErrTooLong))
	}
	b.result(nil)
	return err
}

func (b *reportedBody) result(err error) { b.once.Do(func() { b.report(err) }) }
