package bundle

import (
	"github.com/cockroachdb/errors"
)

// Reasons for which an Acceptor refuses an envelope. Compare with errors.Is.
var (
	// ErrUnchanged reports the version and content that are in force already.
	ErrUnchanged = errors.New("bundle: version is in force already")
	// ErrOlder reports a version below the one in force.
	ErrOlder = errors.New("bundle: version is below the one in force")
	// ErrEquivocation reports two verified contents with one version: two operators signed the same version.
	ErrEquivocation = errors.New("bundle: version is in force with other content")
	// ErrInvalid reports verified content that this node cannot use.
	ErrInvalid = errors.New("bundle: content is not valid")
)

// Acceptor decides which envelopes a node puts in force. The version in force only ever rises, whatever
// the store or a peer offers. After a restart it starts from nothing, because VMs keep no state; it
// then takes the first verified envelope and rises from there. It is not safe for concurrent use.
type Acceptor struct {
	authors   TrustedKeys
	approvers TrustedKeys
	unsigned  bool // the source of the envelopes vouches for them
	inForce   *Envelope
	root      Hash
	bundle    *Bundle
}

// NewAcceptor returns an Acceptor with nothing in force. Each trusted key may be of author or approver.
func NewAcceptor(trusted TrustedKeys) *Acceptor { return NewAcceptorByRole(trusted, trusted) }

// NewAcceptorByRole returns an Acceptor with nothing in force that takes the signature of an author
// only from authors and that of an approver only from approvers.
func NewAcceptorByRole(authors, approvers TrustedKeys) *Acceptor {
	return &Acceptor{authors: authors, approvers: approvers}
}

// NewUnsignedAcceptor returns an Acceptor with nothing in force that checks no signatures. It is for platforms
// whose store lets only operators write the configuration.
func NewUnsignedAcceptor() *Acceptor { return &Acceptor{unsigned: true} }

// InForce returns the envelope in force, or nil. The caller must not modify it.
func (a *Acceptor) InForce() *Envelope { return a.inForce }

// Version returns the version in force, or zero.
func (a *Acceptor) Version() uint64 {
	if a.inForce == nil {
		return 0
	}
	return a.inForce.Version
}

// Offer puts e in force and returns its bundle, or returns an error and changes nothing. The caller must
// not modify e afterwards.
func (a *Acceptor) Offer(e *Envelope) (*Bundle, error) {
	if e.Version < a.Version() {
		return nil, errors.Wrapf(ErrOlder, "offered %d, in force %d", e.Version, a.Version())
	}
	root := e.Root()
	if a.inForce != nil && e.Version == a.Version() && root == a.root {
		return nil, ErrUnchanged
	}
	if !a.unsigned {
		if err := e.verify(a.authors, a.approvers, root); err != nil {
			return nil, err
		}
	}
	if a.inForce != nil && e.Version == a.Version() {
		return nil, errors.Wrapf(ErrEquivocation, "version %d: root %s in force, %s offered by %q", e.Version, a.root, root, e.AuthorName())
	}
	b, err := e.Sections.bundle(e.Version, a.decoded())
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	a.inForce = e
	a.root = root
	a.bundle = b
	return b, nil
}

func (a *Acceptor) decoded() decoded {
	if a.inForce == nil {
		return decoded{}
	}
	return decoded{sections: a.inForce.Sections, bundle: a.bundle}
}

// OfferDelta applies d to the envelope in force and offers the result.
func (a *Acceptor) OfferDelta(d *Delta) (*Bundle, error) {
	if d.Version < a.Version() {
		return nil, errors.Wrapf(ErrOlder, "offered %d, in force %d", d.Version, a.Version())
	}
	e, err := d.Apply(a.inForce)
	if err != nil {
		return nil, err
	}
	return a.Offer(e)
}
