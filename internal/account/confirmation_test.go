package account

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/rollout"
)

const testRevocation = 5 * time.Second

// testNode is a node whose bundle is just a version.
type testNode struct {
	confirmation Confirmation
	version      atomic.Uint64
}

func (n *testNode) offer(version uint64) {
	n.version.Store(max(version, n.version.Load()))
}

func (n *testNode) serves() bool { return n.confirmation.Within(time.Now(), testRevocation) }

// chain is a reader of a store, at index 0, and nodes that each ask the one before.
type chain struct {
	store *objectstoretest.Store
	nodes []*testNode
	// delay is the time that a request or a reply takes; a pause of either process is a long delay.
	delay func() time.Duration
	// published holds the times at which the versions 1, 2, ... were written.
	published []time.Time
	stop      func()
	asked     atomic.Int64 // number of requests between nodes
}

const chainLength = 4

func startChain(t *testing.T, delay func() time.Duration) *chain {
	c := &chain{store: objectstoretest.New(), delay: delay}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for range chainLength {
		c.nodes = append(c.nodes, &testNode{})
	}
	running.Go(func() { c.read(ctx, c.nodes[0]) })
	for i, n := range c.nodes[1:] {
		running.Go(func() { c.follow(ctx, n, i) })
	}
	c.stop = func() { cancel(); running.Wait() }
	return c
}

func (c *chain) read(ctx context.Context, n *testNode) {
	r := rollout.Reader{
		Store: c.store, Log: slog.New(slog.DiscardHandler), Deliver: func(e *bundle.Envelope) { n.offer(e.Version) },
		Source: rollout.Source{Key: "current", NoPoll: true, Decode: func(o objectstore.Object) (*bundle.Envelope, error) {
			version, err := strconv.ParseUint(string(o.Value), 10, 64)
			return &bundle.Envelope{Version: version}, err
		}},
		OnConfirmed: n.confirmation.RecordRead, ConfirmInterval: ConfirmInterval(testRevocation),
	}
	r.Run(ctx)
}

func (c *chain) follow(ctx context.Context, n *testNode, source int) {
	f := Follower{
		Confirmation: &n.confirmation, Revocation: testRevocation, OnChange: func(bool, error) {},
		Sources: func() []string { return []string{strconv.Itoa(source)} },
		Ask: func(context.Context, string) (time.Duration, bool, error) {
			c.asked.Add(1)
			time.Sleep(c.delay())
			from := c.nodes[source]
			age, confirmed := from.confirmation.Age(time.Now())
			version := from.version.Load()
			time.Sleep(c.delay())
			n.offer(version)
			return age, confirmed, nil
		},
	}
	f.Run(ctx)
}

func (c *chain) publish(t *testing.T) {
	t.Helper()
	version := len(c.published) + 1
	o, err := c.store.Get(t.Context(), "current")
	if err != nil {
		o.Version = objectstore.MustNotExist
	}
	if _, err := c.store.Put(t.Context(), "current", []byte(strconv.Itoa(version)), o.Version); err != nil {
		t.Fatal(err)
	}
	c.published = append(c.published, time.Now())
}

// check fails the test if a node serves keys with a bundle that was replaced more than testRevocation ago.
func (c *chain) check(t *testing.T) {
	t.Helper()
	for i, n := range c.nodes {
		version := int(n.version.Load())
		if n.serves() && version < len(c.published) && time.Since(c.published[version]) > testRevocation {
			t.Fatalf("node %d serves with version %d, replaced %v ago", i, version, time.Since(c.published[version]))
		}
	}
}

func (c *chain) serving() int {
	serving := 0
	for _, n := range c.nodes {
		if n.serves() {
			serving++
		}
	}
	return serving
}

// Guards against a node that keeps serving a withdrawn key because requests, replies or processes were delayed.
func TestDelaysMakeNoBundleLookYounger(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			r := rand.New(rand.NewPCG(seed, 1))
			c := startChain(t, func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if r.IntN(4) == 0 {
					return time.Duration(r.Int64N(int64(8 * time.Second)))
				}
				return time.Duration(r.Int64N(int64(20 * time.Millisecond)))
			})
			defer c.stop()
			served := 0
			for step := range 4000 {
				if step%30 == 0 {
					c.publish(t)
				}
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				c.check(t)
				served += c.serving()
			}
			if served == 0 {
				t.Error("no node ever served")
			}
		})
	}
}

// Guards against nodes that refuse keys although the store and all nodes respond, that ask more often than once an interval, that serve them for longer than allowed
// while the store is away, or that do not recover, and against a restarted process that trusts a bundle at once.
func TestConfirmationsEndWithTheStoreAndReturn(t *testing.T) {
	outages := map[string]struct{ begin, end func(*objectstoretest.Store) }{
		"unavailable":  {func(s *objectstoretest.Store) { s.SetDown(true) }, func(s *objectstoretest.Store) { s.SetDown(false) }},
		"unresponsive": {func(s *objectstoretest.Store) { s.SetCallDelay(time.Hour) }, func(s *objectstoretest.Store) { s.SetCallDelay(0) }},
	}
	for name, outage := range outages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOutage(t, outage.begin, outage.end) })
		})
	}
}

func checkOutage(t *testing.T, begin, end func(*objectstoretest.Store)) {
	c := startChain(t, func() time.Duration { return 10 * time.Millisecond })
	defer c.stop()
	c.publish(t)
	time.Sleep(4 * time.Second)
	c.asked.Store(0)
	for range 200 {
		if got := c.serving(); got != chainLength {
			t.Fatalf("%d nodes serve without a fault", got)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if intervals := int64(20 * time.Second / ConfirmInterval(testRevocation)); c.asked.Load() > (chainLength-1)*intervals {
		t.Errorf("%d requests in %d intervals", c.asked.Load(), intervals)
	}
	begin(c.store)
	time.Sleep(testRevocation + time.Millisecond)
	if got := c.serving(); got != 0 {
		t.Errorf("%d nodes serve %v after the store went away", got, testRevocation)
	}
	time.Sleep(time.Minute)
	if got := c.serving(); got != 0 {
		t.Errorf("%d nodes serve without the store", got)
	}
	end(c.store)
	time.Sleep(4 * time.Second)
	if got := c.serving(); got != chainLength {
		t.Errorf("%d nodes serve after the store came back", got)
	}
	if (&testNode{}).serves() {
		t.Error("a process that has just started serves without a confirmation")
	}
}

// Guards against a failed source that is asked forever while another one could confirm the bundle.
func TestFollowerAsksAnotherSourceAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var c Confirmation
		f := Follower{
			Confirmation: &c, Revocation: testRevocation, Sources: func() []string { return []string{"silent", "unconfirmed", "old", "good"} },
			OnChange: func(bool, error) {},
			Ask: func(ctx context.Context, source string) (time.Duration, bool, error) {
				switch source {
				case "silent":
					<-ctx.Done()
					return 0, false, ctx.Err()
				case "unconfirmed":
					return 0, false, nil
				case "old":
					return time.Minute, true, nil
				}
				return time.Second, true, nil
			},
		}
		go f.Run(ctx)
		time.Sleep(2 * time.Second)
		if !c.Within(time.Now(), testRevocation) {
			t.Error("not confirmed")
		}
		cancel()
		synctest.Wait()
	})
}
