package infra

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wigeondale/fleet"

	"github.com/VictoriaMetrics/metrics"
)

// KVConfig contains the address and the limits of a client of the key-value service.
type KVConfig struct {
	URL         string        // base URL, such as http://127.0.0.1:2379
	Timeout     time.Duration // of one call; 0 means DefaultCallTimeout
	MaxInFlight int           // concurrent calls, not counting watches; 0 means DefaultMaxInFlight
}

// EtcdKV implements KV over the etcd v3 JSON gateway.
type EtcdKV struct {
	poster
	watcher *http.Client
}

var (
	_ KV           = (*EtcdKV)(nil)
	_ RangeDeleter = (*EtcdKV)(nil)
)

// NewEtcdKV returns a client of the key-value service at cfg.URL.
func NewEtcdKV(cfg KVConfig, set *metrics.Set) *EtcdKV {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultCallTimeout
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	return &EtcdKV{
		poster: poster{
			base:    cfg.URL,
			client:  newHTTPClient(cfg.Timeout),
			timeout: cfg.Timeout,
			slots:   make(chan struct{}, cfg.MaxInFlight),
			meter:   meter{set: set, service: "kv"},
		},
		watcher: newHTTPClient(cfg.Timeout),
	}
}

type keyValue struct {
	Key       []byte `json:"key"`
	Value     []byte `json:"value"`
	CreateRev int64  `json:"create_revision,string"`
	ModRev    int64  `json:"mod_revision,string"`
}

func (kv keyValue) value() Value {
	return Value{Key: string(kv.Key), Data: kv.Value, CreateRev: fleet.Revision(kv.CreateRev), ModRev: fleet.Revision(kv.ModRev)}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
}

type rangeResponse struct {
	KVs []keyValue `json:"kvs"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

type compare struct {
	Key       []byte  `json:"key"`
	Target    string  `json:"target"`
	Result    string  `json:"result"`
	CreateRev *string `json:"create_revision,omitempty"`
	ModRev    *string `json:"mod_revision,omitempty"`
}

type txnOp struct {
	Put   *putRequest   `json:"request_put,omitempty"`
	Range *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare `json:"compare"`
	Success []txnOp   `json:"success"`
	Failure []txnOp   `json:"failure"`
}

type txnResponse struct {
	Header struct {
		Revision int64 `json:"revision,string"`
	} `json:"header"`
	Succeeded bool `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type emptyResponse struct{}

// Get reads one key.
func (c *EtcdKV) Get(ctx context.Context, key string) (Value, bool, error) {
	var out rangeResponse
	err := c.call(ctx, "get", "/v3/kv/range", reads, rangeRequest{Key: []byte(key)}, &out)
	if err != nil || len(out.KVs) == 0 {
		return Value{}, false, err
	}
	return out.KVs[0].value(), true, nil
}

// Range reads the keys in [from, end) in key order, at most limit (0 means all).
func (c *EtcdKV) Range(ctx context.Context, from, end string, limit int) ([]Value, error) {
	in := rangeRequest{Key: []byte(from), RangeEnd: []byte(end), Limit: int64(limit)}
	var out rangeResponse
	if err := c.call(ctx, "range", "/v3/kv/range", reads, in, &out); err != nil {
		return nil, err
	}
	values := make([]Value, 0, len(out.KVs))
	for _, kv := range out.KVs {
		values = append(values, kv.value())
	}
	return values, nil
}

// Create writes key if it is absent; otherwise it returns the existing value.
func (c *EtcdKV) Create(ctx context.Context, key string, data []byte) (bool, Value, error) {
	return c.CreateWithLease(ctx, key, data, 0)
}

// CreateWithLease does the same as Create and attaches the key to lease: the service
// deletes the key when the lease ends.
func (c *EtcdKV) CreateWithLease(ctx context.Context, key string, data []byte, lease LeaseID) (bool, Value, error) {
	zero := "0"
	cmp := compare{Key: []byte(key), Target: "CREATE", Result: "EQUAL", CreateRev: &zero}
	ok, v, err := c.txn(ctx, "create", cmp, putRequest{Key: []byte(key), Value: data, Lease: int64(lease)})
	if ok {
		v.CreateRev = v.ModRev
	}
	return ok, v, err
}

// CompareAndSwap writes key if its revision is still modRev; otherwise CompareAndSwap
// returns the current value.
func (c *EtcdKV) CompareAndSwap(ctx context.Context, key string, modRev fleet.Revision, data []byte) (bool, Value, error) {
	rev := strconv.FormatInt(modRev.Number(), 10)
	cmp := compare{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRev: &rev}
	return c.txn(ctx, "cas", cmp, putRequest{Key: []byte(key), Value: data})
}

func (c *EtcdKV) txn(ctx context.Context, kind string, cmp compare, put putRequest) (bool, Value, error) {
	in := txnRequest{
		Compare: []compare{cmp},
		Success: []txnOp{{Put: &put}},
		Failure: []txnOp{{Range: &rangeRequest{Key: put.Key}}},
	}
	var out txnResponse
	if err := c.call(ctx, kind, "/v3/kv/txn", writes, in, &out); err != nil {
		return false, Value{}, err
	}
	if out.Succeeded {
		return true, Value{Key: string(put.Key), Data: put.Value, ModRev: fleet.Revision(out.Header.Revision)}, nil
	}
	if len(out.Responses) == 0 || out.Responses[0].Range == nil || len(out.Responses[0].Range.KVs) == 0 {
		return false, Value{}, nil
	}
	return false, out.Responses[0].Range.KVs[0].value(), nil
}

// Put writes key, whether the key exists or not, and attaches the key to lease; 0 means no
// lease.
func (c *EtcdKV) Put(ctx context.Context, key string, data []byte, lease LeaseID) error {
	in := putRequest{Key: []byte(key), Value: data, Lease: int64(lease)}
	return c.call(ctx, "put", "/v3/kv/put", writes, in, &emptyResponse{})
}

// Delete removes key; an absent key is no error.
func (c *EtcdKV) Delete(ctx context.Context, key string) error {
	return c.call(ctx, "delete", "/v3/kv/deleterange", writes, rangeRequest{Key: []byte(key)}, &emptyResponse{})
}

// DeleteRange removes every key in [from, end).
func (c *EtcdKV) DeleteRange(ctx context.Context, from, end string) error {
	in := rangeRequest{Key: []byte(from), RangeEnd: []byte(end)}
	return c.call(ctx, "delete", "/v3/kv/deleterange", writes, in, &emptyResponse{})
}

// Grant creates a lease whose duration is ttl, rounded up to whole seconds.
func (c *EtcdKV) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var out leaseResponse
	err := c.call(ctx, "grant", "/v3/lease/grant", writes, leaseRequest{TTL: seconds}, &out)
	return LeaseID(out.ID), err
}

// KeepAlive renews lease and returns the time until the lease expires; ErrLeaseNotFound
// means that the lease has expired or never existed.
func (c *EtcdKV) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	var out keepAliveResponse
	err := c.call(ctx, "keepalive", "/v3/lease/keepalive", writes, leaseRequest{ID: int64(lease)}, &out)
	if err != nil {
		return 0, err
	}
	if out.Result.TTL <= 0 {
		return 0, Error.Wrap(ErrLeaseNotFound)
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

// Revoke ends lease; the service then deletes the keys attached to it.
func (c *EtcdKV) Revoke(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, "revoke", "/v3/lease/revoke", writes, leaseRequest{ID: int64(lease)}, &emptyResponse{})
}
