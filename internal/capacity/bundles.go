package capacity

import (
	"fmt"
	"time"

	"dandelionspoke/internal/bundle"
)

// bundleVersions is the number of changes of one service over which the time to accept a change is averaged.
const bundleVersions = 20

// signer signs bundles as author and as approver.
type signer struct {
	author, approver bundle.SigningKey
	trusted          bundle.TrustedKeys
}

func newSigner() (*signer, error) {
	s := &signer{}
	var err error
	if s.author, err = bundle.GenerateKey("author"); err != nil {
		return nil, err
	}
	if s.approver, err = bundle.GenerateKey("approver"); err != nil {
		return nil, err
	}
	s.trusted, err = bundle.ParseTrustedKeys([]string{s.author.Public(), s.approver.Public()})
	return s, err
}

func (s *signer) sign(b *bundle.Bundle) (*bundle.Envelope, error) {
	b.SetDefaults()
	e, err := bundle.NewEnvelope(b)
	if err != nil {
		return nil, err
	}
	e.Sign(s.author)
	return e, e.Approve(s.approver, s.trusted)
}

// largeBundle returns a bundle with a read route and an order route for each of count services. Versions
// differ in the queue limit of one service.
func largeBundle(count int, version uint64) *bundle.Bundle {
	b := &bundle.Bundle{Version: version, Services: map[string]bundle.Service{}}
	idempotent := false
	for i := range count {
		name := fmt.Sprintf("service-%03d", i)
		b.Services[name] = bundle.Service{Slots: 12}
		b.Routes = append(b.Routes,
			bundle.Route{Name: name + "-read", Service: name, PathPrefix: "/" + name},
			bundle.Route{Name: name + "-order", Service: name, PathPrefix: "/" + name, Methods: []string{"POST"}, Idempotent: &idempotent})
	}
	b.Services["service-000"] = bundle.Service{Slots: 12, QueueShort: int(50 + version)}
	return b
}

// bundleRows measures the size of a bundle and of the delta for a change of one service, and the time to
// accept that delta.
func bundleRows(count int) ([]row, error) {
	s, err := newSigner()
	if err != nil {
		return nil, err
	}
	previous, err := s.sign(largeBundle(count, 1))
	if err != nil {
		return nil, err
	}
	full, err := previous.Encode()
	if err != nil {
		return nil, err
	}
	acceptor := bundle.NewAcceptor(s.trusted)
	if _, err := acceptor.Offer(previous); err != nil {
		return nil, err
	}
	var took time.Duration
	var deltaBytes int
	for version := uint64(2); version < 2+bundleVersions; version++ {
		next, err := s.sign(largeBundle(count, version))
		if err != nil {
			return nil, err
		}
		data, err := bundle.NewDelta(previous, next).Encode()
		if err != nil {
			return nil, err
		}
		deltaBytes = max(deltaBytes, len(data))
		started := time.Now()
		d, err := bundle.DecodeDelta(data)
		if err != nil {
			return nil, err
		}
		if _, err := acceptor.OfferDelta(d); err != nil {
			return nil, err
		}
		took += time.Since(started)
		previous = next
	}
	r := row{"measure=bundle", fmt.Sprintf("services=%d", count)}
	return []row{r.with("envelope_bytes", len(full)).with("delta_bytes", deltaBytes).
		with("accept_us", float64(took.Microseconds())/bundleVersions)}, nil
}
