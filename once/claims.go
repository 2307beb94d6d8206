package once

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/infra"
	"wigeondale/kvlog"
)

// Defaults and bounds.
const (
	DefaultShards       = 8
	DefaultWindow       = 24 * time.Hour
	DefaultClockSkew    = 5 * time.Minute
	DefaultRetryAfter   = time.Second
	DefaultCooldown     = 250 * time.Millisecond
	DefaultSendTimeout  = 2 * time.Second
	DefaultRelayTimeout = time.Second
	DefaultCompactEvery = 2048 // log entries

	// maxBatchOps times the size of the largest operation stays below kvlog.MaxDataBytes.
	maxBatchOps  = 2000
	maxQueue     = 20_000
	maxNameBytes = 128
	maxVoids     = 50_000
	// logWindow is the log's window in entries. A batch is never appended again
	// once its call returned, so it only has to cover one call.
	logWindow = 256
)

// Config of Claims; zero values stand for the defaults.
type Config struct {
	Node        string
	Incarnation string // differs at each start of the node, so that entry ids never repeat
	KV          infra.KV
	Prefix      string // of the keys, such as "claims/"
	// Shards is what this node proposes. The first proposal of all nodes is kept
	// in the key-value service and used by all.
	Shards int
	// Window is how long a key protects. Claims live on in the log for Window
	// plus ClockSkew, the most that two nodes' wall clocks differ by.
	Window       time.Duration
	ClockSkew    time.Duration
	RetryAfter   time.Duration // told to callers, and the pace of voiding
	Cooldown     time.Duration // refusals after a failure come at once for this long
	SendTimeout  time.Duration // of one batch to the log
	RelayTimeout time.Duration // of one batch to the owner
	CompactEvery uint64        // log entries between snapshots
	SettleTries  int           // as kvlog.Options
	SettleDelay  time.Duration // as kvlog.Options
	Events       *event.Log
	Metrics      *metrics.Set
}

func orDefault[T int | uint64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) setDefaults() {
	orDefault(&c.Shards, DefaultShards)
	orDefault(&c.Window, DefaultWindow)
	orDefault(&c.ClockSkew, DefaultClockSkew)
	orDefault(&c.RetryAfter, DefaultRetryAfter)
	orDefault(&c.Cooldown, DefaultCooldown)
	orDefault(&c.SendTimeout, DefaultSendTimeout)
	orDefault(&c.RelayTimeout, DefaultRelayTimeout)
	orDefault(&c.CompactEvery, DefaultCompactEvery)
}

func (c *Config) logOptions() kvlog.Options {
	return kvlog.Options{
		Window:      logWindow,
		SettleTries: c.SettleTries,
		SettleDelay: c.SettleDelay,
		Jitter:      rand.Float64,
		Events:      c.Events,
		Metrics:     c.Metrics,
	}
}

// Claims is one node's access to the claims of all shards.
type Claims struct {
	cfg    Config
	fwd    Forwarder
	agreed agreement
	voids  *voidQueue
}

// New returns the node's claims. It does no I/O; Run does the upkeep.
func New(cfg Config, fwd Forwarder) *Claims {
	cfg.setDefaults()
	return &Claims{cfg: cfg, fwd: fwd, voids: newVoidQueue(maxVoids)}
}

// Window returns how long a key protects.
func (c *Claims) Window() time.Duration { return c.cfg.Window }

// Claim asks for the key on behalf of an attempt. Attempts are named uniquely,
// once for all nodes and starts; asking again for the same attempt is
// idempotent. Only when Granted, and after InTime, may the attempt be
// dispatched. On any error it must never be, whatever comes later. Errors:
// ErrUnavailable, ErrUnknown, ErrKeyReused, ErrInvalid.
func (c *Claims) Claim(ctx context.Context, account, key string, body [16]byte, attempt string) (ClaimResult, error) {
	op, err := c.op(OpClaim, account, key, attempt)
	if err != nil {
		return ClaimResult{}, err
	}
	op.Body = body
	c.flushVoid(ctx, op.Key)
	r := c.route(ctx, op)
	c.count("claim", r, op)
	switch r.Code {
	case CodeDone:
		return verdict(op, r)
	case CodeUnavailable:
		return ClaimResult{}, c.unavailable()
	}
	c.queueVoid(op)
	return ClaimResult{}, Error.Wrap(ErrUnknown)
}

func verdict(op Op, r Result) (ClaimResult, error) {
	granted := r.Attempt == op.Attempt && r.State == Claimed
	if !granted && r.State == Claimed && r.Body != op.Body {
		return ClaimResult{}, Error.Wrap(ErrKeyReused)
	}
	return ClaimResult{Granted: granted, Holder: r.Holder, Attempt: r.Attempt, State: r.State}, nil
}

// Void says that an attempt of this node was never dispatched and will not be,
// which frees its key. On error the void goes on in the background.
func (c *Claims) Void(ctx context.Context, account, key, attempt string) error {
	op, err := c.op(OpVoid, account, key, attempt)
	if err != nil {
		return err
	}
	r := c.route(ctx, op)
	c.count("void", r, op)
	if r.Code == CodeDone {
		return nil
	}
	c.queueVoid(op)
	if r.Code == CodeUnavailable {
		return c.unavailable()
	}
	return Error.Wrap(ErrUnknown)
}

// VoidAsync is Void without waiting.
func (c *Claims) VoidAsync(account, key, attempt string) error {
	op, err := c.op(OpVoid, account, key, attempt)
	if err != nil {
		return err
	}
	c.queueVoid(op)
	return nil
}

// HandleBatch serves a batch that another router forwarded. It serves as owner
// whether or not this node thinks that it is: the log decides.
func (c *Claims) HandleBatch(ctx context.Context, b Batch) (BatchResult, error) {
	shards, err := c.open(ctx)
	if err != nil {
		return BatchResult{Results: sameResults(len(b.Ops), CodeUnavailable)}, nil
	}
	if b.Shard < 0 || b.Shard >= len(shards) || len(b.Ops) > maxBatchOps {
		return BatchResult{}, Error.Wrap(fmt.Errorf("%w: shard %d, %d operations", ErrInvalid, b.Shard, len(b.Ops)))
	}
	for _, op := range b.Ops {
		if err := op.check(); err != nil {
			return BatchResult{}, err
		}
		if op.Key.Shard(len(shards)) != b.Shard {
			return BatchResult{}, Error.Wrap(fmt.Errorf("%w: key of another shard", ErrInvalid))
		}
	}
	return BatchResult{Results: shards[b.Shard].local.doAll(ctx, b.Ops)}, nil
}

func (c *Claims) op(kind OpKind, account, key, attempt string) (Op, error) {
	if account == "" || key == "" {
		return Op{}, Error.Wrap(fmt.Errorf("%w: no account or key", ErrInvalid))
	}
	op := Op{Kind: kind, Key: NewKeyID(account, key), Attempt: attempt, Node: c.cfg.Node}
	return op, op.check()
}

func (op Op) check() error {
	if op.Attempt == "" || len(op.Attempt) > maxNameBytes || len(op.Node) > maxNameBytes {
		return Error.Wrap(fmt.Errorf("%w: attempt or node name", ErrInvalid))
	}
	return nil
}

// route sends op to the shard's owner. If that brings no certain answer, this
// node writes op itself: the log counts an operation once, and answers with
// what it shows.
func (c *Claims) route(ctx context.Context, op Op) Result {
	shards, err := c.open(ctx)
	if err != nil {
		return Result{Code: CodeUnavailable}
	}
	s := shards[op.Key.Shard(len(shards))]
	if _, self := c.fwd.Owner(s.id); self {
		return s.local.do(ctx, op)
	}
	relayed := s.relay.do(ctx, op)
	if relayed.Code == CodeDone {
		return relayed
	}
	r := s.local.do(ctx, op)
	if r.Code == CodeUnavailable && relayed.Code == CodeUnknown {
		return relayed
	}
	return r
}

func (c *Claims) relay(shard int, ops []Op) []Result {
	node, self := c.fwd.Owner(shard)
	if self {
		return sameResults(len(ops), CodeUnavailable)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.RelayTimeout)
	defer cancel()
	out, err := c.fwd.Forward(ctx, node, Batch{Shard: shard, Ops: ops})
	if err != nil || len(out.Results) != len(ops) {
		return sameResults(len(ops), CodeUnknown)
	}
	return out.Results
}

func (c *Claims) unavailable() error {
	spread := 0.5 + rand.Float64()
	return Error.Wrap(&UnavailableError{RetryAfter: time.Duration(spread * float64(c.cfg.RetryAfter))})
}

func (c *Claims) count(kind string, r Result, op Op) {
	if c.cfg.Metrics == nil {
		return
	}
	result := "unknown"
	switch {
	case r.Code == CodeUnavailable:
		result = "unavailable"
	case r.Code == CodeDone && r.Attempt == op.Attempt:
		result = "held"
	case r.Code == CodeDone:
		result = "duplicate"
	}
	c.cfg.Metrics.GetOrCreateCounter(fmt.Sprintf(`wigeon_once_ops_total{kind=%q,result=%q}`, kind, result)).Inc()
}
