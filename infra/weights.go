package infra

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fleet"
)

// WeightStore queries the weight store for the size of a model's files.
type WeightStore struct {
	base    string
	client  *http.Client
	timeout time.Duration
	meter   meter
}

// NewWeightStore returns a client of the weight store at base; timeout 0 means
// DefaultCallTimeout.
func NewWeightStore(base string, timeout time.Duration, set *metrics.Set) *WeightStore {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	return &WeightStore{base: base, client: newHTTPClient(timeout), timeout: timeout, meter: meter{set, "weights"}}
}

// ErrNoWeights means that the store has no files of the model.
var ErrNoWeights = errors.New("no such weights")

// Size returns the number of bytes read from the store to load ref.
func (w *WeightStore) Size(ctx context.Context, ref fleet.ModelRef) (int64, error) {
	start := time.Now()
	n, err := w.size(ctx, ref)
	w.meter.record("size", start, err)
	return n, err
}

func (w *WeightStore) size(ctx context.Context, ref fleet.ModelRef) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	path := "/weights/" + url.PathEscape(ref.Model) + "/" + url.PathEscape(ref.Version)
	if ref.Adapter != "" {
		path += "/" + url.PathEscape(ref.Adapter)
	}
	resp, err := read(ctx, w.client, http.MethodHead, w.base+path)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return 0, Error.Wrap(fmt.Errorf("%w: %s", ErrNoWeights, ref))
	case resp.StatusCode != http.StatusOK:
		return 0, statusError(reads, resp)
	case resp.ContentLength < 0:
		return 0, wrapFailure(reads, true, fmt.Errorf("no Content-Length for %s", ref))
	}
	return resp.ContentLength, nil
}
