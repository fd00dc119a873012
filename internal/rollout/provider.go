package rollout

import (
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/wire"
)

// providerVersions is the number of recent versions from which a Provider answers with a delta.
const providerVersions = 8

// ErrNoBundle reports that a peer has no bundle yet.
var ErrNoBundle = errors.New("rollout: peer has no bundle")

// Provider answers the bundle requests of other nodes from memory. It is safe for concurrent use.
type Provider struct {
	mu     sync.Mutex
	recent []*bundle.Envelope // oldest first; the last one is in force
	whole  []byte             // encoded form of the last one
	deltas map[uint64][]byte  // encoded delta to the last one by base version; nil: not worth sending
}

// Set makes e, which must be the envelope in force, the answer to requests. The caller must not modify it.
func (p *Provider) Set(e *bundle.Envelope) error {
	whole, err := e.Encode()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = append(p.recent, e)
	p.recent = p.recent[max(0, len(p.recent)-providerVersions):]
	p.whole = whole
	p.deltas = map[uint64][]byte{}
	return nil
}

// Answer returns the bundle in force as a delta from the version that the requester has, if that is known
// and smaller, or whole. The reply has no envelope when the requester is up to date or no bundle is in force.
func (p *Provider) Reply(request *wire.BundleRequest) (*wire.BundleReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) == 0 {
		return &wire.BundleReply{}, nil
	}
	newest := p.recent[len(p.recent)-1]
	reply := &wire.BundleReply{Version: newest.Version}
	if request.GetHaveVersion() >= newest.Version {
		return reply, nil
	}
	delta, err := p.deltaFrom(request.GetHaveVersion(), newest)
	if err != nil {
		return nil, err
	}
	if delta == nil {
		reply.Envelope = p.whole
		return reply, nil
	}
	reply.Envelope = delta
	reply.Delta = true
	reply.BaseVersion = request.GetHaveVersion()
	return reply, nil
}

func (p *Provider) deltaFrom(version uint64, newest *bundle.Envelope) ([]byte, error) {
	if data, found := p.deltas[version]; found {
		return data, nil
	}
	for _, base := range p.recent {
		if base.Version != version {
			continue
		}
		data, err := bundle.NewDelta(base, newest).Encode()
		if err != nil {
			return nil, err
		}
		if len(data) >= len(p.whole) {
			data = nil
		}
		p.deltas[version] = data
		return data, nil
	}
	return nil, nil
}

// Receive offers a peer's reply to the acceptor. On bundle.ErrBaseMismatch the caller asks again with
// HaveVersion 0, which yields the whole envelope.
func OfferReply(a *bundle.Acceptor, reply *wire.BundleReply) (*bundle.Bundle, error) {
	if len(reply.GetEnvelope()) == 0 {
		if reply.GetVersion() == 0 {
			return nil, ErrNoBundle
		}
		return nil, bundle.ErrUnchanged
	}
	if reply.GetDelta() {
		d, err := bundle.DecodeDelta(reply.GetEnvelope())
		if err != nil {
			return nil, err
		}
		return a.OfferDelta(d)
	}
	e, err := bundle.DecodeEnvelope(reply.GetEnvelope())
	if err != nil {
		return nil, err
	}
	return a.Offer(e)
}
