package bundle

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "dandelionspoke/internal/fixedseed"
)

type signers struct {
	author, approver, untrusted SigningKey
	trusted                     TrustedKeys
}

func newSigners(t testing.TB) signers {
	t.Helper()
	var s signers
	for name, target := range map[string]*SigningKey{"kari": &s.author, "ola": &s.approver, "eve": &s.untrusted} {
		k, err := GenerateKey(name)
		if err != nil {
			t.Fatal(err)
		}
		*target = k
	}
	trusted, err := ParseTrustedKeys([]string{s.author.Public(), s.approver.Public()})
	if err != nil {
		t.Fatal(err)
	}
	s.trusted = trusted
	return s
}

// sampleBundle returns a bundle that is valid unless content is below -1. Bundles of the same version with different
// values of content differ.
func sampleBundle(version uint64, services int, content int) *Bundle {
	b := &Bundle{Version: version, Services: map[string]Service{}}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		b.Services[name] = Service{Slots: 12 + (i+content)%4}
		for _, path := range []string{"browse", "orders", "archive"} {
			r := Route{Name: name + "-" + path, Service: name, PathPrefix: "/" + name + "/" + path}
			b.Routes = append(b.Routes, r)
		}
	}
	b.Policy.SubsetSize = 1 + content
	b.SetDefaults()
	return b
}

// envelope returns the envelope of b, signed and approved.
func (s signers) envelope(t testing.TB, b *Bundle) *Envelope {
	t.Helper()
	e, err := NewEnvelope(b)
	if err != nil {
		t.Fatal(err)
	}
	e.Sign(s.author)
	if err := e.Approve(s.approver, s.trusted); err != nil {
		t.Fatal(err)
	}
	return e
}

// TestVerify guards against accepting content that was not signed by two different trusted operators.
func TestVerify(t *testing.T) {
	s := newSigners(t)
	alias := s.author
	alias.Name = "kari-2"
	s.trusted[alias.Name] = s.trusted[s.author.Name]
	cases := map[string]struct {
		change func(*Envelope)
		ok     bool
	}{
		"signed and approved": {func(*Envelope) {}, true},
		"no author":           {func(e *Envelope) { e.Author = nil }, false},
		"no approver":         {func(e *Envelope) { e.Approver = nil }, false},
		"unknown author":      {func(e *Envelope) { e.Sign(s.untrusted); _ = e.Approve(s.approver, s.trusted) }, false},
		"own approval":        {func(e *Envelope) { _ = e.Approve(s.author, s.trusted); e.Approver = e.Author }, false},
		"own key, other name": {func(e *Envelope) { e.Approver = e.sign(approverRole, alias) }, false},
		"changed section":     {func(e *Envelope) { e.Sections["policy"] += "max_depth = 3\n" }, false},
		"removed section":     {func(e *Envelope) { delete(e.Sections, "route/service-0-orders") }, false},
		"raised version":      {func(e *Envelope) { e.Version++ }, false},
		"swapped roles":       {func(e *Envelope) { e.Author, e.Approver = e.Approver, e.Author }, false},
		"renamed author":      {func(e *Envelope) { e.Author.Name = s.approver.Name }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := s.envelope(t, sampleBundle(3, 2, 0))
			c.change(e)
			err := e.Verify(s.trusted)
			if (err == nil) != c.ok || err != nil && !errors.Is(err, ErrUntrusted) {
				t.Fatalf("Verify returned %v", err)
			}
		})
	}
	e := s.envelope(t, sampleBundle(3, 2, 0))
	if err := e.Approve(alias, s.trusted); !errors.Is(err, ErrUntrusted) {
		t.Fatalf("Approve with the author's key under another name returned %v", err)
	}
}

// TestAcceptorNeverReverts guards against a store, peer or delta that puts an older or unapproved bundle in force.
func TestAcceptorNeverReverts(t *testing.T) {
	s := newSigners(t)
	const versions, contents = 6, 2
	var offers []*Envelope
	for v := range versions {
		for content := range contents {
			offers = append(offers, s.envelope(t, sampleBundle(uint64(v+1), 1+v%2, content)))
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		a := NewAcceptor(s.trusted)
		for range 30 {
			e := rapid.SampledFrom(offers).Draw(rt, "offer")
			before := a.InForce()
			b, err := offerVariant(rt, a, offers, e)
			checkStep(rt, before, a.InForce(), err)
			checkBundle(rt, b, a.InForce())
		}
	})
}

// offerVariant offers e in full, as a delta from a random base, or without approval.
func offerVariant(rt *rapid.T, a *Acceptor, offers []*Envelope, e *Envelope) (*Bundle, error) {
	switch rapid.IntRange(0, 3).Draw(rt, "variant") {
	case 0:
		return a.OfferDelta(NewDelta(rapid.SampledFrom(offers).Draw(rt, "base"), e))
	case 1:
		unsigned := *e
		unsigned.Approver = nil
		b, err := a.Offer(&unsigned)
		if b != nil {
			rt.Fatal("envelope without approval was accepted")
		}
		return b, err
	default:
		return a.Offer(e)
	}
}

func checkStep(rt *rapid.T, before, after *Envelope, err error) {
	switch {
	case err != nil && before != after:
		rt.Fatalf("envelope was refused (%v), but the bundle in force changed", err)
	case err == nil && before != nil && after.Version <= before.Version:
		rt.Fatalf("version in force changed from %d to %d, want a higher one", before.Version, after.Version)
	}
}

// checkBundle compares the accepted bundle, for which unchanged sections were reused, with a full decode of e.
func checkBundle(rt *rapid.T, got *Bundle, e *Envelope) {
	if got == nil {
		return
	}
	want, err := e.Bundle()
	if err != nil {
		rt.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		rt.Fatal(diff)
	}
}

// TestAcceptorReports guards against refusals with an error that does not match their cause.
func TestAcceptorReports(t *testing.T) {
	s := newSigners(t)
	a := NewAcceptor(s.trusted)
	steps := []struct {
		e    *Envelope
		want error
	}{
		{s.envelope(t, sampleBundle(4, 1, 0)), nil},
		{s.envelope(t, sampleBundle(4, 1, 0)), ErrUnchanged},
		{s.envelope(t, sampleBundle(4, 1, 1)), ErrEquivocation},
		{s.envelope(t, sampleBundle(3, 1, 1)), ErrOlder},
		{s.envelope(t, sampleBundle(5, 1, -2)), ErrInvalid},
		{s.envelope(t, sampleBundle(6, 1, 2)), nil},
	}
	for i, step := range steps {
		if _, err := a.Offer(step.e); !errors.Is(err, step.want) {
			t.Fatalf("step %d: error %v, want %v", i, err, step.want)
		}
	}
	for _, base := range []*Envelope{steps[0].e, s.envelope(t, sampleBundle(6, 1, 0))} {
		d := NewDelta(base, s.envelope(t, sampleBundle(7, 1, 0)))
		if _, err := a.OfferDelta(d); !errors.Is(err, ErrBaseMismatch) {
			t.Fatalf("delta from another base returned %v", err)
		}
	}
}

// TestAcceptorByRole guards against bundles that are signed and approved by keys of the wrong role, such as by two
// authors.
func TestAcceptorByRole(t *testing.T) {
	s := newSigners(t)
	author := TrustedKeys{s.author.Name: s.trusted[s.author.Name]}
	approver := TrustedKeys{s.approver.Name: s.trusted[s.approver.Name]}
	e := s.envelope(t, sampleBundle(1, 1, 0))
	for _, roles := range [][2]TrustedKeys{{author, author}, {approver, approver}, {approver, author}} {
		if _, err := NewAcceptorByRole(roles[0], roles[1]).Offer(e); !errors.Is(err, ErrUntrusted) {
			t.Fatalf("envelope signed by keys of the wrong role returned %v", err)
		}
	}
	if _, err := NewAcceptorByRole(author, approver).Offer(e); err != nil {
		t.Fatal(err)
	}
}

// TestDelta guards against deltas that omit a changed section or keep a removed one.
func TestDelta(t *testing.T) {
	s := newSigners(t)
	rapid.Check(t, func(rt *rapid.T) {
		base := s.envelope(t, sampleBundle(1, rapid.IntRange(0, 5).Draw(rt, "old"), 0))
		next := s.envelope(t, sampleBundle(2, rapid.IntRange(0, 5).Draw(rt, "new"), rapid.IntRange(0, 1).Draw(rt, "content")))
		data, err := NewDelta(base, next).Encode()
		if err != nil {
			rt.Fatal(err)
		}
		d, err := DecodeDelta(data)
		if err != nil {
			rt.Fatal(err)
		}
		got, err := d.Apply(base)
		if err != nil {
			rt.Fatal(err)
		}
		if diff := cmp.Diff(next, got); diff != "" {
			rt.Fatal(diff)
		}
	})
}

// FuzzDecodeEnvelope mutates the text before compression, because nearly all mutations of compressed data would only
// fail the gzip checksum.
func FuzzDecodeEnvelope(f *testing.F) {
	s := newSigners(f)
	e := s.envelope(f, sampleBundle(3, 2, 0))
	for _, seed := range []any{e, NewDelta(e, s.envelope(f, sampleBundle(4, 1, 0)))} {
		text, err := json.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		encoded, err := encode(json.RawMessage(text))
		if err != nil {
			encoded = text
		}
		a := NewAcceptor(TrustedKeys{})
		if d, err := DecodeDelta(encoded); err == nil {
			_, _ = a.OfferDelta(d) // must not panic
		}
		e, err := DecodeEnvelope(encoded)
		if err != nil {
			return
		}
		if b, _ := a.Offer(e); b != nil {
			t.Fatal("envelope was accepted without trusted keys")
		}
		_, _ = e.Bundle() // must not panic
	})
}

// BenchmarkAccept measures the cost of one rollout to a node, with 720 services and 2,160 routes.
func BenchmarkAccept(b *testing.B) {
	s := newSigners(b)
	base := s.envelope(b, sampleBundle(1, 720, 0))
	next := sampleBundle(2, 720, 0)
	next.Services["service-9"] = Service{Slots: 40, LongSlots: 3, Connections: 9, QueueShort: 9, QueueLong: 9, SlowStart: 1e9}
	e := s.envelope(b, next)
	encodedEnvelope, err := e.Encode()
	if err != nil {
		b.Fatal(err)
	}
	encodedDelta, err := NewDelta(base, e).Encode()
	if err != nil {
		b.Fatal(err)
	}
	inForce, err := base.Bundle()
	if err != nil {
		b.Fatal(err)
	}
	root := base.Root()
	for b.Loop() {
		a := &Acceptor{authors: s.trusted, approvers: s.trusted, inForce: base, root: root, bundle: inForce}
		d, err := DecodeDelta(encodedDelta)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := a.OfferDelta(d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encodedEnvelope)), "whole-bytes")
	b.ReportMetric(float64(len(encodedDelta)), "delta-bytes")
}
