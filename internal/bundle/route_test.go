package bundle

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIndexMatchesLikeBundle guards against an index that returns another route than a scan of all routes.
func TestIndexMatchesLikeBundle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom([]string{"", "a.example", "b.example", "A.example"})
		path := rapid.SampledFrom([]string{"", "/", "/a/", "/a/b/", "/a", "/ab/"})
		b := &Bundle{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			r := Route{Name: fmt.Sprint("r", i), Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "prefix")}
			if rapid.Bool().Draw(t, "method") {
				r.Methods = []string{"POST"}
			}
			b.Routes = append(b.Routes, r)
		}
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "request method")
		h, p := host.Draw(t, "request host"), path.Draw(t, "request path")+"x"
		if want, got := b.Match(method, h, p), NewIndex(b).Match(method, h, p); want != got {
			t.Fatalf("%s %s%s: %+v, want %+v", method, h, p, got, want)
		}
	})
}

// TestLimitedTo guards against limits above those of the endpoint, and wait lists that are sized for more slots than are
// used.
func TestLimitedTo(t *testing.T) {
	s := Service{Slots: 100, LongSlots: 85, Connections: 220, QueueShort: 800, QueueLong: 400, SlowStart: Duration(time.Second)}
	got := s.LimitedTo(12, 0, 0.8)
	if got.Slots != 9 || got.LongSlots != 8 || got.QueueShort != 72 || got.QueueLong != 36 || got.Connections != 220 {
		t.Errorf("limits of 12 announced slots: %+v", got)
	}
	if one := s.LimitedTo(1, 5, 0.8); one.Slots != 1 || one.LongSlots != 1 || one.QueueShort < 1 || one.Connections != 5 {
		t.Errorf("limits of one announced slot: %+v", one)
	}
	if same := s.LimitedTo(0, 0, 1); same != s {
		t.Errorf("limits without announced values: %+v", same)
	}
}

// TestUnsignedBundles guards against accepting an unsigned bundle at a node that requires signatures, and a lower
// version at one that does not.
func TestUnsignedBundles(t *testing.T) {
	b := &Bundle{Version: 1, Services: map[string]Service{"a": {}}}
	envelope, err := NewEnvelope(b)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewAcceptor(TrustedKeys{}).Offer(envelope); err == nil {
		t.Error("unsigned envelope was accepted by an acceptor that requires signatures")
	}
	acceptor := NewUnsignedAcceptor()
	if _, err := acceptor.Offer(envelope); err != nil {
		t.Fatal(err)
	}
	older := *envelope
	older.Version = 0
	if _, err := acceptor.Offer(&older); err == nil {
		t.Error("older version was accepted")
	}
}
