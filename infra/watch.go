package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"wigeondale/bounded"
	"wigeondale/fleet"
)

// watchBuffer is the number of events buffered for a slow receiver. While the buffer is
// full, the stream is not read.
const watchBuffer = 64

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	StartRev int64  `json:"start_revision,omitempty,string"`
}

type watchMessage struct {
	Result struct {
		Canceled   bool  `json:"canceled"`
		CompactRev int64 `json:"compact_revision,string"`
		Events     []struct {
			Type string   `json:"type"`
			KV   keyValue `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error json.RawMessage `json:"error"`
}

// Watch opens a stream of the changes under prefix. Once the stream is open it has no
// timeout: on a broken connection the stream delivers nothing and reports no error, so the
// caller also polls at a low rate.
func (c *EtcdKV) Watch(ctx context.Context, prefix string, fromRev fleet.Revision) (<-chan WatchEvent, error) {
	start := time.Now()
	resp, cancel, err := c.openWatch(ctx, prefix, fromRev)
	c.meter.record("watch", start, err)
	if err != nil {
		return nil, err
	}
	events := make(chan WatchEvent, watchBuffer)
	go func() {
		defer cancel()
		defer close(events)
		defer resp.Body.Close()
		err := readWatch(ctx, resp.Body, events)
		if ctx.Err() != nil {
			return
		}
		sendEvent(ctx, events, WatchEvent{Err: err})
	}()
	return events, nil
}

func (c *EtcdKV) openWatch(ctx context.Context, prefix string, fromRev fleet.Revision) (*http.Response, func(), error) {
	in := watchRequest{watchCreate{Key: []byte(prefix), RangeEnd: []byte(PrefixEnd(prefix)), StartRev: fromRev.Number()}}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, nil, wrapFailure(reads, false, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	openTimeout := time.AfterFunc(c.timeout, cancel)
	req, err := newPost(ctx, c.base+"/v3/watch", body)
	if err != nil {
		cancel()
		return nil, nil, wrapFailure(reads, false, err)
	}
	resp, err := c.watcher.Do(req)
	if err != nil {
		cancel()
		return nil, nil, wrapFailure(reads, false, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, nil, statusError(reads, resp)
	}
	openTimeout.Stop()
	return resp, cancel, nil
}

// maxWatchBytes bounds one message of a watch. A watch that catches up gets up to 1,000 changes in
// one message, of a few kilobytes each.
const maxWatchBytes = 16 << 20

func readWatch(ctx context.Context, body io.Reader, events chan<- WatchEvent) error {
	r := bounded.NewReader(body, maxWatchBytes)
	dec := json.NewDecoder(r)
	for {
		r.Reset()
		var m watchMessage
		if err := dec.Decode(&m); err != nil {
			return wrapFailure(reads, true, err)
		}
		if err := m.err(); err != nil {
			return err
		}
		for _, e := range m.Result.Events {
			event := WatchEvent{Deleted: e.Type == "DELETE", Value: e.KV.value()}
			if !sendEvent(ctx, events, event) {
				return ctx.Err()
			}
		}
	}
}

func (m *watchMessage) err() error {
	if m.Result.CompactRev > 0 {
		return Error.Wrap(fmt.Errorf("%w: oldest is %d", ErrCompacted, m.Result.CompactRev))
	}
	if m.Result.Canceled {
		return wrapFailure(reads, true, fmt.Errorf("watch cancelled by the service"))
	}
	if len(m.Error) > 0 && !bytes.Equal(m.Error, []byte("null")) {
		return wrapFailure(reads, true, fmt.Errorf("watch: %s", m.Error))
	}
	return nil
}

func sendEvent(ctx context.Context, events chan<- WatchEvent, e WatchEvent) bool {
	select {
	case events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
