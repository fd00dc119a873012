package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/node"
	"dandelionspoke/internal/verdict"
)

// sendOrder sends an order with an idempotency key through n. id identifies the run in the run log.
func (f *fleet) sendOrder(n *node.Node, key, id, body string) *http.Response {
	f.t.Helper()
	req, _ := http.NewRequest("POST", "http://"+n.Addrs().Ingress+"/order", strings.NewReader(body))
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set(backendtest.RequestIDHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		f.t.Fatal(err)
	}
	return resp
}

// Guards against a second run when requests with the same idempotency key arrive through other nodes, at the same
// time or later, and against refusing such requests while the first one runs.
func TestKeyRunsAtMostOnceThroughAnyNode(t *testing.T) {
	f := newFleet(t, 3)
	f.waitReady()
	for round := range 5 {
		key := fmt.Sprint("order-", round)
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				resp := f.sendOrder(f.nodes[i%3], key, key, "bike 7")
				if resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, reason %s", resp.StatusCode, resp.Header.Get(verdict.ReasonHeader))
				}
			})
		}
		wg.Wait()
		f.waitFor(5*time.Second, "stored outcome", func() bool {
			resp := f.sendOrder(f.nodes[(round+1)%3], key, key, "bike 7")
			return resp.StatusCode == http.StatusOK && resp.Header.Get("Idempotent-Replayed") == "true"
		})
	}
	if d := f.log.Duplicates(); len(d) > 0 {
		t.Errorf("duplicate runs: %q", d)
	}
	resp := f.sendOrder(f.nodes[0], "order-0", "reused", "bike 8")
	if resp.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("a reused key with another body got status %d", resp.StatusCode)
	}
}

// Guards against running a request with an idempotency key without a claim, against a wrong verdict, and against
// failures of other requests, while the store is down.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.waitReady()
	f.store.SetDown(true)
	resp := f.sendOrder(f.nodes[0], "during-outage", "during-outage", "bike 7")
	if v := resp.Header.Get(verdict.Header); v != "not-run" || f.log.Len() != 0 {
		t.Errorf("verdict %q with %d runs, want not-run without a run", v, f.log.Len())
	}
	for i := range 20 {
		if status, body := f.get(f.nodes[i%2], "/preview"); status != http.StatusOK {
			t.Fatalf("status %d during the outage: %s", status, body)
		}
	}
	f.store.SetDown(false)
	f.waitFor(5*time.Second, "keyed request after the outage", func() bool {
		resp := f.sendOrder(f.nodes[0], "during-outage", "during-outage", "bike 7")
		return resp.StatusCode == http.StatusOK
	})
	if d := f.log.Duplicates(); len(d) > 0 {
		t.Errorf("duplicate runs: %q", d)
	}
}

// Guards against a node that cannot join, or gets no bundle, when it starts while the store is down.
func TestJoinDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 2)
	f.waitReady()
	f.store.SetDown(true)
	f.addNode(2)
	f.waitReady()
	if status, body := f.get(f.nodes[2], "/preview"); status != http.StatusOK {
		t.Fatalf("status %d through the new node: %s", status, body)
	}
}

// Guards against a node without access to the store that refuses requests with an idempotency key, and against a
// second run when the same request is also sent through other nodes.
func TestKeyedWithoutStoreAccess(t *testing.T) {
	f := newFleet(t, 2)
	f.addNodeWithStore(2, nil)
	f.waitReady()
	f.waitFor(5*time.Second, "keyed request through the node without the store", func() bool {
		resp := f.sendOrder(f.nodes[2], "remote", "remote", "bike 7")
		return resp.StatusCode == http.StatusOK
	})
	for _, n := range f.nodes {
		f.waitFor(5*time.Second, "stored outcome", func() bool {
			resp := f.sendOrder(n, "remote", "remote", "bike 7")
			return resp.StatusCode == http.StatusOK && resp.Header.Get("Idempotent-Replayed") == "true"
		})
	}
	if d := f.log.Duplicates(); len(d) > 0 {
		t.Errorf("duplicate runs: %q", d)
	}
}

// Guards against requests with an idempotency key that keep failing after the fleet has noticed that a claim owner
// drained or crashed, and against second runs in the meantime.
func TestKeyedThroughOwnerLoss(t *testing.T) {
	f := newFleet(t, 4)
	f.addNodeWithStore(4, nil)
	f.waitReady()
	for i, remove := range []func(){
		func() { _ = f.nodes[0].Close() },
		func() { _ = f.nodes[1].Drain(t.Context()) },
	} {
		remove()
		for request := range 10 {
			key := fmt.Sprint("loss-", i, "-", request)
			f.waitFor(10*time.Second, key, func() bool {
				resp := f.sendOrder(f.nodes[4], key, key, "bike 7")
				return resp.StatusCode == http.StatusOK
			})
		}
	}
	if d := f.log.Duplicates(); len(d) > 0 {
		t.Errorf("duplicate runs: %q", d)
	}
}
