package claim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/verdict"
)

const (
	// shardCount is the number of shards of a service. All nodes must agree on it, because with two
	// numbers in the fleet one key would have two shards and could run twice; see layout. Fewer shards
	// put more claims into a write, more shards keep more claims (see docs/design.md).
	shardCount = 64
	// writeTimeout bounds one group of claims, with its retries after conflicts and its read-back.
	writeTimeout = 2 * time.Second
	// maxCacheBytes bounds the shards that a claimer, or a Services, keeps in memory between writes.
	maxCacheBytes = 32 << 20
)

// ErrFenced reports that the attempt no longer holds the claim.
var ErrFenced = errors.New("claim: the attempt does not hold the claim")

// Config configures a Claimer.
type Config struct {
	Store objectstore.Store
	// Service separates the keys of services from one another.
	Service string
	// Retention returns the time for which a key is kept; it is read at each claim.
	Retention func() time.Duration
	// WritesPerSecond bounds the writes of all shards together; claims that exceed it wait and share
	// writes. Zero means no bound.
	WritesPerSecond float64
	Log             *slog.Logger
}

// pacingBurst is the time whose writes may be made at once after a quiet time.
const pacingBurst = 200 * time.Millisecond

func (c Config) limiter() *rate.Limiter {
	if c.WritesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(c.WritesPerSecond*pacingBurst.Seconds()))
	return rate.NewLimiter(rate.Limit(c.WritesPerSecond), burst)
}

// Claimer claims idempotency keys of one service. It is safe for concurrent use.
type Claimer struct {
	config Config
	shards int
	shared *shared // by all claimers of a Services
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	closed bool
	open   map[int]*shard
	held   holds
}

// shared is what claimers of several services have in common.
type shared struct {
	cached  atomic.Int64 // bytes of cached tables
	limiter *rate.Limiter
	layout  *layout
}

func newShared(config Config) *shared {
	return &shared{limiter: config.limiter(), layout: newLayout(config.Store)}
}

// New returns a Claimer. Close ends its goroutines.
func New(config Config) *Claimer { return newSharing(config, newShared(config)) }

func newSharing(config Config, common *shared) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		config: config,
		shards: shardCount,
		shared: common,
		ctx:    ctx,
		cancel: cancel,
		open:   map[int]*shard{},
	}
}

// Close ends writes in progress and waits for the goroutines. Later calls fail.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.group.Wait()
}

// Acquire claims the key for one attempt. After Run, the caller calls Complete or Release exactly once. digest identifies the request's content; attemptID is unique
// to the attempt. An error carries a verdict.Error with NotRun: this attempt has no permit and must not
// run. That is true also when the outcome of the claim's write stayed unknown; the claimer then removes
// the claim in the background, and a repeat that comes first gets Held.
func (c *Claimer) Acquire(ctx context.Context, key string, digest, attemptID []byte) (Result, error) {
	id := newIdentity(key, digest, attemptID)
	if holder, found := c.held.holder(c.config.Service, key); found {
		return record{Digest: holder.digest, State: claimed}.answer(id)
	}
	started := time.Now()
	r, err := c.acquire(ctx, id)
	if err == nil && r.Kind == Run {
		r.Permit = Permit{startBefore: started.Add(StartWithin)}
		c.held.hold(c.config.Service, key, id)
	}
	return r, err
}

// acquire returns no permit, because its time starts where the run is.
func (c *Claimer) acquire(ctx context.Context, id identity) (Result, error) {
	r, err := c.submit(ctx, &op{kind: opAcquire, id: id})
	if err != nil {
		return Result{}, notRun(err)
	}
	return r, nil
}

// Complete stores the outcome of the run that Acquire permitted. It retries while the store is
// unavailable until ctx ends; the claim then stays, and repeats get Held. ErrFenced means that the claim
// has expired. The answer to the caller need not wait for Complete.
func (c *Claimer) Complete(ctx context.Context, key string, o Outcome) error {
	id, found := c.held.drop(c.config.Service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	return c.complete(ctx, id, o)
}

func (c *Claimer) complete(ctx context.Context, id identity, o Outcome) error {
	if o.Verdict == verdict.NotRun {
		return errors.New("claim: an attempt that was not run is released, not completed")
	}
	_, err := c.submit(ctx, &op{kind: opComplete, id: id, outcome: o.bounded(), persistent: true})
	return err
}

// Release gives up a claim whose attempt was not run and never will be, so that a retry may claim the
// key. When the store is unavailable, Release returns an error and continues in the background until Close.
func (c *Claimer) Release(ctx context.Context, key string) error {
	id, found := c.held.drop(c.config.Service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	return c.release(ctx, id)
}

func (c *Claimer) release(ctx context.Context, id identity) error {
	_, err := c.submit(ctx, &op{kind: opRelease, id: id})
	return err
}

// submit hands the operation to the key's shard and waits for its reply.
func (c *Claimer) submit(ctx context.Context, o *op) (Result, error) {
	o.replies = make(chan reply, 1)
	if err := c.enqueue(o); err != nil {
		return Result{}, err
	}
	select {
	case r := <-o.replies:
		return r.result, r.err
	case <-ctx.Done():
	}
	if o.abandon() {
		return Result{}, errors.Wrap(ctx.Err(), "claim")
	}
	r := <-o.replies
	return r.result, r.err
}

func (c *Claimer) enqueue(o *op) error {
	n := shardNumber(o.id.key, c.shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.New("claim: closed")
	}
	s, found := c.open[n]
	if !found {
		s = newShard(c, fmt.Sprintf("claims/%s/%d", c.config.Service, n))
		c.open[n] = s
	}
	s.add(o)
	return nil
}

func shardNumber(key string, shards int) int {
	digest := sha256.Sum256([]byte(key))
	return int(binary.BigEndian.Uint32(digest[:]) % uint32(shards))
}

func newIdentity(key string, digest, attemptID []byte) identity {
	return identity{key: short(key), digest: short(string(digest)), attempt: short(string(attemptID))}
}

// short returns a fixed-size digest, so that the size of a record does not depend on the caller's key.
func short(text string) string {
	digest := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(digest[:16])
}

// notRun gives err the verdict NotRun unless it has one.
func notRun(err error) error {
	var known *verdict.Error
	switch {
	case errors.As(err, &known):
		return err
	case errors.Is(err, context.Canceled):
		return verdict.New(verdict.NotRun, verdict.Canceled, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "%v", err)
	default:
		return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "%v", err)
	}
}
