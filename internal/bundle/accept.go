package bundle

import (
	"github.com/cockroachdb/errors"
)

// Errors with which an Acceptor refuses an envelope. Compare with errors.Is.
var (
	// ErrUnchanged reports an envelope whose version and content are already in force.
	ErrUnchanged = errors.New("bundle: version is in force already")
	// ErrOlder reports a version below the one in force.
	ErrOlder = errors.New("bundle: version is below the one in force")
	// ErrEquivocation reports a verified envelope that has the version in force but other content: operators
	// have signed different contents with the same version.
	ErrEquivocation = errors.New("bundle: version is in force with other content")
	// ErrInvalid reports a verified envelope whose content this node cannot decode, or that fails validation.
	ErrInvalid = errors.New("bundle: content is not valid")
)

// Acceptor decides which envelopes a node puts in force. The version in force never decreases, whatever
// the store or a peer offers. VMs keep no state, so after a restart no version is in force and the first
// verified envelope is accepted, whatever its version. An Acceptor is not safe for concurrent use.
type Acceptor struct {
	authors       TrustedKeys
	approvers     TrustedKeys
	allowUnsigned bool // skips the verification of signatures
	inForce       *Envelope
	root          Hash
	bundle        *Bundle
}

// NewAcceptor returns an Acceptor with nothing in force. Any trusted key may sign as author or as approver.
func NewAcceptor(trusted TrustedKeys) *Acceptor { return NewAcceptorByRole(trusted, trusted) }

// NewAcceptorByRole returns an Acceptor with nothing in force. It accepts author signatures only by keys in
// authors, and approver signatures only by keys in approvers.
func NewAcceptorByRole(authors, approvers TrustedKeys) *Acceptor {
	return &Acceptor{authors: authors, approvers: approvers}
}

// NewUnsignedAcceptor returns an Acceptor with nothing in force that verifies no signatures. It is for platforms
// whose store permits only operators to write the configuration.
func NewUnsignedAcceptor() *Acceptor { return &Acceptor{allowUnsigned: true} }

// InForce returns the envelope in force, or nil if there is none. The caller must not modify it.
func (a *Acceptor) InForce() *Envelope { return a.inForce }

// Version returns the version in force, or zero if there is none.
func (a *Acceptor) Version() uint64 {
	if a.inForce == nil {
		return 0
	}
	return a.inForce.Version
}

// Offer checks the version, signatures and content of e, puts it in force and returns its bundle. On an error it
// changes nothing. An Acceptor from NewUnsignedAcceptor skips the signatures. The caller must not modify e afterwards.
func (a *Acceptor) Offer(e *Envelope) (*Bundle, error) {
	if e.Version < a.Version() {
		return nil, errors.Wrapf(ErrOlder, "offered %d, in force %d", e.Version, a.Version())
	}
	root := e.Root()
	if a.inForce != nil && e.Version == a.Version() && root == a.root {
		return nil, ErrUnchanged
	}
	if !a.allowUnsigned {
		if err := e.verify(a.authors, a.approvers, root); err != nil {
			return nil, err
		}
	}
	if a.inForce != nil && e.Version == a.Version() {
		return nil, errors.Wrapf(ErrEquivocation, "version %d: root %s in force, %s offered by %q", e.Version, a.root, root, e.AuthorName())
	}
	b, err := e.Sections.decodeReusing(e.Version, a.decodedInForce())
	if err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	a.inForce = e
	a.root = root
	a.bundle = b
	return b, nil
}

// decodedInForce returns the bundle in force with the sections that it was decoded from.
func (a *Acceptor) decodedInForce() decodedBundle {
	if a.inForce == nil {
		return decodedBundle{}
	}
	return decodedBundle{sections: a.inForce.Sections, bundle: a.bundle}
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
