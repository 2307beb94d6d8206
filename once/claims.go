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

// Default values of Config, and limits.
const (
	DefaultShards       = 8
	DefaultWindow       = 24 * time.Hour
	DefaultClockSkew    = 5 * time.Minute
	DefaultRetryAfter   = time.Second
	DefaultCooldown     = 250 * time.Millisecond
	DefaultSendTimeout  = 2 * time.Second
	DefaultRelayTimeout = time.Second
	DefaultCompactEvery = 2048 // log entries

	// A batch of maxBatchOps operations of the largest size fits into
	// kvlog.MaxDataBytes.
	maxBatchOps    = 2000
	maxQueue       = 20_000
	maxNameBytes   = 128
	maxQueuedVoids = 50_000
	// logWindow is the number of recent log entries in which the log detects that an entry
	// was appended before. A batch is never appended again after the call that wrote it has
	// returned, so the window only needs to cover the entries appended during one call.
	logWindow = 256
)

// Config configures Claims. Zero values of the numbers are replaced by the
// defaults.
type Config struct {
	Node        string
	Incarnation string // differs for each start of the node, so that log entry ids never repeat
	KV          infra.KV
	Prefix      string // prefix of all keys in the key-value service, such as "claims/"
	// Shards is the number of shards that this node proposes. The first proposal
	// of any node is stored in the key-value service and used by all nodes.
	Shards int
	// Window is how long a key prevents a second run of its request. Claims are
	// kept for Window plus ClockSkew, the maximum difference between the wall
	// clocks of two nodes.
	Window       time.Duration
	ClockSkew    time.Duration
	RetryAfter   time.Duration // mean wait suggested to callers; also the interval between voiding rounds
	Cooldown     time.Duration // after a failure, claims are refused without a try for this long
	SendTimeout  time.Duration // timeout for writing one batch to the log
	RelayTimeout time.Duration // timeout for forwarding one batch to the owner
	CompactEvery uint64        // number of log entries between snapshots
	SettleTries  int           // see kvlog.Options
	SettleDelay  time.Duration // see kvlog.Options
	Events       *event.Log
	Metrics      *metrics.Set
}

func setDefault[T int | uint64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.Shards, DefaultShards)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.ClockSkew, DefaultClockSkew)
	setDefault(&c.RetryAfter, DefaultRetryAfter)
	setDefault(&c.Cooldown, DefaultCooldown)
	setDefault(&c.SendTimeout, DefaultSendTimeout)
	setDefault(&c.RelayTimeout, DefaultRelayTimeout)
	setDefault(&c.CompactEvery, DefaultCompactEvery)
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
	cfg       Config
	fwd       Forwarder
	agreement shardAgreement
	voids     *voidQueue
}

// New returns the node's access to the claims. New does no I/O; Run voids abandoned
// attempts and compacts the logs in the background.
func New(cfg Config, fwd Forwarder) *Claims {
	cfg.setDefaults()
	return &Claims{cfg: cfg, fwd: fwd, voids: newVoidQueue(maxQueuedVoids)}
}

// Window returns how long a key prevents a second run of its request.
func (c *Claims) Window() time.Duration { return c.cfg.Window }

// Claim claims the key for an attempt. The name of the attempt must be unique across
// all nodes and their restarts; claiming again for the same attempt is idempotent. The
// attempt may only be dispatched if the claim is granted and CheckDeadline, called
// after the claim was granted, returns no error. After an error the attempt must never
// be dispatched. Errors: ErrUnavailable, ErrUnknown, ErrKeyReused, ErrInvalid.
func (c *Claims) Claim(ctx context.Context, account, key string, body [16]byte, attempt string) (ClaimResult, error) {
	op, err := c.newOp(OpClaim, account, key, attempt)
	if err != nil {
		return ClaimResult{}, err
	}
	op.Body = body
	c.flushVoids(ctx, op.Key)
	r := c.execute(ctx, op)
	c.countResult("claim", r, op)
	switch r.Code {
	case CodeDone:
		return claimResult(op, r)
	case CodeUnavailable:
		return ClaimResult{}, c.unavailable()
	}
	c.queueVoid(op)
	return ClaimResult{}, Error.Wrap(ErrUnknown)
}

func claimResult(op Op, r Result) (ClaimResult, error) {
	granted := r.Attempt == op.Attempt && r.State == Claimed
	if !granted && r.State == Claimed && r.Body != op.Body {
		return ClaimResult{}, Error.Wrap(ErrKeyReused)
	}
	return ClaimResult{Granted: granted, Holder: r.Holder, Attempt: r.Attempt, State: r.State}, nil
}

// Void records that an attempt of this node was never dispatched and never will be,
// which frees the attempt's key. If the write fails, Void returns an error and the void
// is retried in the background.
func (c *Claims) Void(ctx context.Context, account, key, attempt string) error {
	op, err := c.newOp(OpVoid, account, key, attempt)
	if err != nil {
		return err
	}
	r := c.execute(ctx, op)
	c.countResult("void", r, op)
	if r.Code == CodeDone {
		return nil
	}
	c.queueVoid(op)
	if r.Code == CodeUnavailable {
		return c.unavailable()
	}
	return Error.Wrap(ErrUnknown)
}

// VoidAsync queues the void that Void would write and returns at once; the void is
// written in the background.
func (c *Claims) VoidAsync(account, key, attempt string) error {
	op, err := c.newOp(OpVoid, account, key, attempt)
	if err != nil {
		return err
	}
	c.queueVoid(op)
	return nil
}

// HandleBatch executes a batch that another router forwarded, even if this node does
// not consider itself the owner of the shard, because the log decides which claim holds
// a key.
func (c *Claims) HandleBatch(ctx context.Context, b Batch) (BatchResult, error) {
	shards, err := c.openShards(ctx)
	if err != nil {
		return BatchResult{Results: repeatResult(len(b.Ops), CodeUnavailable)}, nil
	}
	if b.Shard < 0 || b.Shard >= len(shards) || len(b.Ops) > maxBatchOps {
		return BatchResult{}, Error.Wrap(fmt.Errorf("%w: shard %d, %d operations", ErrInvalid, b.Shard, len(b.Ops)))
	}
	for _, op := range b.Ops {
		if err := op.validate(); err != nil {
			return BatchResult{}, err
		}
		if op.Key.Shard(len(shards)) != b.Shard {
			return BatchResult{}, Error.Wrap(fmt.Errorf("%w: key of another shard", ErrInvalid))
		}
	}
	return BatchResult{Results: shards[b.Shard].local.submitAll(ctx, b.Ops)}, nil
}

func (c *Claims) newOp(kind OpKind, account, key, attempt string) (Op, error) {
	if account == "" || key == "" {
		return Op{}, Error.Wrap(fmt.Errorf("%w: no account or key", ErrInvalid))
	}
	op := Op{Kind: kind, Key: NewKeyID(account, key), Attempt: attempt, Node: c.cfg.Node}
	return op, op.validate()
}

func (op Op) validate() error {
	if op.Attempt == "" || len(op.Attempt) > maxNameBytes || len(op.Node) > maxNameBytes {
		return Error.Wrap(fmt.Errorf("%w: attempt or node name", ErrInvalid))
	}
	return nil
}

// execute forwards op to the shard's owner. If this node is the owner, or the owner's
// answer is missing or is not CodeDone, this node writes op to the log itself and returns
// the state of the key in the log. The second write is safe, because an operation that is
// in the log twice takes effect once.
func (c *Claims) execute(ctx context.Context, op Op) Result {
	shards, err := c.openShards(ctx)
	if err != nil {
		return Result{Code: CodeUnavailable}
	}
	s := shards[op.Key.Shard(len(shards))]
	if _, self := c.fwd.Owner(s.id); self {
		return s.local.submit(ctx, op)
	}
	relayed := s.relay.submit(ctx, op)
	if relayed.Code == CodeDone {
		return relayed
	}
	r := s.local.submit(ctx, op)
	if r.Code == CodeUnavailable && relayed.Code == CodeUnknown {
		return relayed
	}
	return r
}

func (c *Claims) relay(shard int, ops []Op) []Result {
	node, self := c.fwd.Owner(shard)
	if self {
		return repeatResult(len(ops), CodeUnavailable)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.RelayTimeout)
	defer cancel()
	out, err := c.fwd.Forward(ctx, node, Batch{Shard: shard, Ops: ops})
	if err != nil || len(out.Results) != len(ops) {
		return repeatResult(len(ops), CodeUnknown)
	}
	return out.Results
}

func (c *Claims) unavailable() error {
	jitter := 0.5 + rand.Float64()
	return Error.Wrap(&UnavailableError{RetryAfter: time.Duration(jitter * float64(c.cfg.RetryAfter))})
}

func (c *Claims) countResult(kind string, r Result, op Op) {
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
