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
	// shardCount is the number of shards of a service. All nodes must use the same number: with two
	// numbers in the fleet, a key would map to two shards and its request could run twice; see layout.
	// Fewer shards put more claims into one write; more shards hold more claims in total (see
	// docs/design.md).
	shardCount = 64
	// writeTimeout bounds the commit of one batch, including retries after conflicts and the read-back.
	writeTimeout = 2 * time.Second
	// maxCacheBytes bounds the tables that all claimers with one sharedState cache between writes.
	maxCacheBytes = 32 << 20
)

// ErrFenced reports that the attempt no longer holds the claim.
var ErrFenced = errors.New("claim: the attempt does not hold the claim")

// Config configures a Claimer.
type Config struct {
	Store objectstore.Store
	// Service is the namespace of the keys: equal keys of two services are independent.
	Service string
	// Retention returns the time for which a key is kept. It is called for each operation.
	Retention func() time.Duration
	// WritesPerSecond bounds the total write rate of all shards. Claims above it wait and are batched
	// into the next write. Zero means no bound.
	WritesPerSecond float64
	// OwnedSince returns the time since which all claims of a shard are sent to this node, and false if they are not. May be
	// nil; see Router.OwnedSince.
	OwnedSince func(service string, shard int) (since time.Time, owned bool)
	Log        *slog.Logger
}

// burstWindow sets the burst of the write limiter: after an idle period, as many writes may be made at
// once as WritesPerSecond allows in this time.
const burstWindow = 200 * time.Millisecond

func (c Config) limiter() *rate.Limiter {
	if c.WritesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(c.WritesPerSecond*burstWindow.Seconds()))
	return rate.NewLimiter(rate.Limit(c.WritesPerSecond), burst)
}

// Claimer claims idempotency keys of one service. It is safe for concurrent use.
type Claimer struct {
	config Config
	shards int // number of shards
	shared *sharedState
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	openShards map[int]*shard // by shard number; each is created by its first operation
	held       heldClaims
}

// sharedState is shared by the claimers of one set; see NewClaimerSet. A Claimer that New returns has its own.
type sharedState struct {
	cachedBytes atomic.Int64 // encoded size of the cached tables
	limiter     *rate.Limiter
	layout      *layout
	generation  *storeGeneration
	// restoredClaims counts the claims that were stored again after a restore of the store.
	restoredClaims atomic.Int64
}

func newSharedState(config Config) *sharedState {
	return &sharedState{limiter: config.limiter(), layout: newLayout(config.Store), generation: newStoreGeneration(config.Store)}
}

// New returns a Claimer. Close ends its goroutines.
func New(config Config) *Claimer { return newWithSharedState(config, newSharedState(config)) }

func newWithSharedState(config Config, shared *sharedState) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		config:     config,
		shards:     shardCount,
		shared:     shared,
		ctx:        ctx,
		cancel:     cancel,
		openShards: map[int]*shard{},
	}
}

// Close cancels writes in progress and waits for the goroutines to end. Later calls fail.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.group.Wait()
}

// Acquire claims the key for one attempt. digest identifies the content of the request; attemptID is
// unique to the attempt. If the result is Run, the caller must call Complete or Release exactly once.
//
// An error wraps a verdict.Error with NotRun: the attempt has no permit and must not run. This also
// holds when the outcome of the claim's write is unknown. The Claimer then releases the claim in the
// background; a repeat that arrives before the release gets Held.
func (c *Claimer) Acquire(ctx context.Context, key string, digest, attemptID []byte) (Result, error) {
	id := newIdentity(key, digest, attemptID)
	if holder, found := c.held.lookup(c.config.Service, key); found {
		return record{Digest: holder.digest, State: claimed}.repeatResult(id)
	}
	started := time.Now()
	r, err := c.acquire(ctx, id)
	if err == nil && r.Kind == Run {
		r.Permit = Permit{startBefore: started.Add(PermitLifetime)}
		c.held.add(c.config.Service, key, id)
	}
	return r, err
}

// acquire returns no permit: the permit's lifetime is measured on the node that runs the request, which
// may be another one.
func (c *Claimer) acquire(ctx context.Context, id identity) (Result, error) {
	r, err := c.submit(ctx, &op{kind: opAcquire, id: id})
	if err != nil {
		return Result{}, asNotRun(err)
	}
	return r, nil
}

// Complete stores the outcome of the run that Acquire permitted. While the store is unavailable, it
// retries until ctx ends; the claim then remains and repeats get Held. ErrFenced means that the claim has
// expired. The response to the client need not wait for Complete.
func (c *Claimer) Complete(ctx context.Context, key string, o Outcome) error {
	id, found := c.held.remove(c.config.Service, key)
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

// Release removes the claim of an attempt that was not run and never will be, so that a retry can claim
// the key. If the store is unavailable, Release returns an error and retries in the background until
// Close.
func (c *Claimer) Release(ctx context.Context, key string) error {
	id, found := c.held.remove(c.config.Service, key)
	if !found {
		return errors.Wrapf(ErrFenced, "no claim of the key is held here")
	}
	return c.release(ctx, id)
}

func (c *Claimer) release(ctx context.Context, id identity) error {
	_, err := c.submit(ctx, &op{kind: opRelease, id: id})
	return err
}

// submit queues the operation at the key's shard and waits for the reply.
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
	number := shardNumber(o.id.key, c.shards)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errors.New("claim: closed")
	}
	s, found := c.openShards[number]
	if !found {
		s = newShard(c, fmt.Sprintf("claims/%s/%d", c.config.Service, number), number)
		c.openShards[number] = s
	}
	s.add(o)
	return nil
}

func shardNumber(key string, shards int) int {
	digest := sha256.Sum256([]byte(key))
	return int(binary.BigEndian.Uint32(digest[:]) % uint32(shards))
}

func newIdentity(key string, digest, attemptID []byte) identity {
	return identity{key: shortDigest(key), digest: shortDigest(string(digest)), attempt: shortDigest(string(attemptID))}
}

// shortDigest returns a digest of fixed size, so that the size of a record does not depend on the
// client's key.
func shortDigest(text string) string {
	digest := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(digest[:16])
}

// asNotRun converts err to a verdict.Error with NotRun, unless it already wraps a verdict.Error.
func asNotRun(err error) error {
	var verdictErr *verdict.Error
	switch {
	case errors.As(err, &verdictErr):
		return err
	case errors.Is(err, context.Canceled):
		return verdict.New(verdict.NotRun, verdict.Canceled, "%v", err)
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "%v", err)
	default:
		return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "%v", err)
	}
}
