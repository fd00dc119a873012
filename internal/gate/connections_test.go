package gate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

// Guards against more connections to the backend server than its limit, and against a wait for one that outlasts the
// request.
func TestConnectionLimit(t *testing.T) {
	p := newConnectionPool(2, defaultMaxResponseHeaderBytes)
	first, err := p.acquire(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err = p.acquire(context.Background(), ""); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := p.acquire(ctx, ""); verdict.Of(err) != verdict.NotRun || err == nil {
		t.Fatalf("a third connection was acquired, error %v; want not-run", err)
	}
	first.release(true)
	again, err := p.acquire(context.Background(), "")
	if err != nil || again != first {
		t.Fatalf("got connection %p, error %v; want the one released, %p", again, err, first)
	}
}

// Guards against a connection that is used again after a refusal, a broken response or a change of the limit.
func TestOnlyReusableConnectionsAreKept(t *testing.T) {
	p := newConnectionPool(0, defaultMaxResponseHeaderBytes)
	for _, test := range []struct {
		name                  string
		reusable, close, kept bool
	}{{"after a response", true, false, true}, {"after a refusal", false, false, false}, {"after the pool was closed", true, true, false}} {
		c, _ := p.acquire(context.Background(), "")
		if test.close {
			p.close()
		}
		c.release(test.reusable)
		if kept := len(p.idle) == 1; kept != test.kept {
			t.Errorf("%s: connection kept %t, want %t", test.name, kept, test.kept)
		}
	}
}

// Guards against a request that is sent again on a connection on which it has been refused, and against a connection that is
// not used for other requests.
func TestRefusedRequestGetsAnotherConnection(t *testing.T) {
	p := newConnectionPool(0, defaultMaxResponseHeaderBytes)
	c, _ := p.acquire(context.Background(), "a")
	c.release(c.recordRefusal("a"))
	if again, _ := p.acquire(context.Background(), "a"); again == c {
		t.Error("the refused request got the same connection")
	}
	other, _ := p.acquire(context.Background(), "b")
	if other != c {
		t.Error("another request got a new connection")
	}
	if other.recordRefusal("") {
		t.Error("a connection may be used again after a refusal without an identifier")
	}
	for n := 1; n < maxRefusedPerConnection; n++ {
		if !other.recordRefusal(fmt.Sprint(n)) {
			t.Fatalf("not reusable after %d refusals", n+1)
		}
	}
	if other.recordRefusal("last") {
		t.Error("the refusals of a connection are not bounded")
	}
}
