package rollout

import (
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/wire"
)

// maxDeltaVersions is the number of recent versions, including the one in force, that a Provider keeps to build deltas.
const maxDeltaVersions = 8

// ErrNoBundle reports that the peer has no bundle in force.
var ErrNoBundle = errors.New("rollout: peer has no bundle")

// Provider replies from memory to the bundle requests of other nodes. It is safe for concurrent use.
type Provider struct {
	mu      sync.Mutex
	recent  []*bundle.Envelope // oldest first; the last one is in force
	encoded []byte             // encoded form of the envelope in force
	deltas  map[uint64][]byte  // encoded delta to the envelope in force, by base version; nil: not smaller than the envelope
}

// Set sets the envelope in force, which the replies carry. The caller must not modify it afterwards.
func (p *Provider) Set(e *bundle.Envelope) error {
	encoded, err := e.Encode()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = append(p.recent, e)
	p.recent = p.recent[max(0, len(p.recent)-maxDeltaVersions):]
	p.encoded = encoded
	p.deltas = map[uint64][]byte{}
	return nil
}

// Reply returns the reply to a request. It carries the envelope in force, as a delta if the provider keeps the
// requester's version and the delta is smaller, else in full. It carries no envelope when the requester is up to date
// or no bundle is in force.
func (p *Provider) Reply(request *wire.BundleRequest) (*wire.BundleReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) == 0 {
		return &wire.BundleReply{}, nil
	}
	current := p.recent[len(p.recent)-1]
	reply := &wire.BundleReply{Version: current.Version}
	if request.GetHaveVersion() >= current.Version {
		return reply, nil
	}
	delta, err := p.deltaFrom(request.GetHaveVersion(), current)
	if err != nil {
		return nil, err
	}
	if delta == nil {
		reply.Envelope = p.encoded
		return reply, nil
	}
	reply.Envelope = delta
	reply.Delta = true
	reply.BaseVersion = request.GetHaveVersion()
	return reply, nil
}

// deltaFrom returns the encoded delta from version to current, or nil if the full envelope is to be sent.
func (p *Provider) deltaFrom(version uint64, current *bundle.Envelope) ([]byte, error) {
	if data, found := p.deltas[version]; found {
		return data, nil
	}
	for _, base := range p.recent {
		if base.Version != version {
			continue
		}
		data, err := bundle.NewDelta(base, current).Encode()
		if err != nil {
			return nil, err
		}
		if len(data) >= len(p.encoded) {
			data = nil
		}
		p.deltas[version] = data
		return data, nil
	}
	return nil, nil
}

// OfferReply offers the envelope or delta of a peer's reply to the acceptor. On bundle.ErrBaseMismatch the caller
// repeats the request with HaveVersion 0, to which the reply is the full envelope.
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
