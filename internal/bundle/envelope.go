package bundle

import (
	"bytes"
	"compress/gzip"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEnvelopeBytes bounds the uncompressed size of an envelope or delta.
const MaxEnvelopeBytes = 8 << 20

// Errors of decoding and verification. Compare with errors.Is.
var (
	// ErrUntrusted reports a missing or wrong signature, an unknown signer, or one key that signed as author and approver.
	ErrUntrusted = errors.New("bundle: signatures do not verify")
	// ErrMalformed reports data that cannot be decoded as an envelope or delta.
	ErrMalformed = errors.New("bundle: malformed envelope")
)

// Signature is an operator's signature of a version and its root hash.
type Signature struct {
	Name string `json:"name"`
	Sig  []byte `json:"sig"`
}

// Envelope is one version of a bundle with its signatures. An envelope that is in force is never modified.
type Envelope struct {
	Version  uint64     `json:"version"`
	Sections Sections   `json:"sections"`
	Author   *Signature `json:"author,omitempty"`
	Approver *Signature `json:"approver,omitempty"`
}

// NewEnvelope returns the unsigned envelope of b.
func NewEnvelope(b *Bundle) (*Envelope, error) {
	sections, err := b.Sections()
	if err != nil {
		return nil, err
	}
	return &Envelope{Version: b.Version, Sections: sections}, nil
}

// Root returns the root hash of the content.
func (e *Envelope) Root() Hash { return e.Sections.Root(e.Version) }

// Bundle decodes and validates the content.
func (e *Envelope) Bundle() (*Bundle, error) { return e.Sections.Bundle(e.Version) }

// AuthorName returns the name that the author's signature states. It is not verified.
func (e *Envelope) AuthorName() string {
	if e.Author == nil {
		return ""
	}
	return e.Author.Name
}

// role is the capacity in which an operator signs an envelope.
type role string

const (
	authorRole   role = "author"
	approverRole role = "approver"
)

// signaturePayload returns the text that is signed. It includes the role and the name, so that an author's signature
// cannot be used as an approval.
func signaturePayload(r role, name string, version uint64, root Hash) []byte {
	return fmt.Appendf(nil, "dandelionspoke signature v1\nrole %s\nname %q\nversion %d\nroot %s\n", r, name, version, root)
}

func (e *Envelope) sign(r role, k SigningKey) *Signature {
	return &Signature{Name: k.Name, Sig: ed25519.Sign(k.key, signaturePayload(r, k.Name, e.Version, e.Root()))}
}

// Sign sets the author's signature. It removes the approver's signature, which may be of earlier content.
func (e *Envelope) Sign(k SigningKey) {
	e.Author = e.sign(authorRole, k)
	e.Approver = nil
}

// Approve sets the approver's signature. The author's key must be in trusted, and k must be another key.
func (e *Envelope) Approve(k SigningKey, trusted TrustedKeys) error {
	author, err := e.verifyRole(authorRole, e.Author, trusted, e.Root())
	if err != nil {
		return err
	}
	if author.Equal(k.key.Public()) {
		return errors.Wrapf(ErrUntrusted, "%s signed as the author; the approver must use another key", k.Name)
	}
	e.Approver = e.sign(approverRole, k)
	return nil
}

// Verify returns ErrUntrusted unless one trusted key signed the content as author and another as approver.
func (e *Envelope) Verify(trusted TrustedKeys) error { return e.verify(trusted, trusted, e.Root()) }

func (e *Envelope) verify(authors, approvers TrustedKeys, root Hash) error {
	author, err := e.verifyRole(authorRole, e.Author, authors, root)
	if err != nil {
		return err
	}
	approver, err := e.verifyRole(approverRole, e.Approver, approvers, root)
	if err != nil {
		return err
	}
	if author.Equal(approver) {
		return errors.Wrap(ErrUntrusted, "author and approver have the same key")
	}
	return nil
}

func (e *Envelope) verifyRole(r role, s *Signature, trusted TrustedKeys, root Hash) (ed25519.PublicKey, error) {
	if s == nil {
		return nil, errors.Wrapf(ErrUntrusted, "no signature of the %s", r)
	}
	key, known := trusted[s.Name]
	if !known {
		return nil, errors.Wrapf(ErrUntrusted, "no trusted key has the %s's name %q", r, s.Name)
	}
	if !ed25519.Verify(key, signaturePayload(r, s.Name, e.Version, root), s.Sig) {
		return nil, errors.Wrapf(ErrUntrusted, "wrong signature of the %s %q", r, s.Name)
	}
	return key, nil
}

// Encode returns the envelope as JSON compressed with gzip.
func (e *Envelope) Encode() ([]byte, error) { return encode(e) }

// DecodeEnvelope decodes what Encode returns. It does not verify signatures.
func DecodeEnvelope(data []byte) (*Envelope, error) {
	e := &Envelope{}
	if err := decode(data, e); err != nil {
		return nil, err
	}
	return e, nil
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	compressor := gzip.NewWriter(&buf)
	if err := json.NewEncoder(compressor).Encode(v); err != nil {
		return nil, errors.Wrap(err, "bundle: encode envelope")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "bundle: compress envelope")
	}
	return buf.Bytes(), nil
}

func decode(data []byte, target any) error {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "bundle"), ErrMalformed)
	}
	text, err := io.ReadAll(io.LimitReader(decompressor, MaxEnvelopeBytes+1))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "bundle"), ErrMalformed)
	}
	if len(text) > MaxEnvelopeBytes {
		return errors.Wrapf(ErrMalformed, "more than %d bytes", MaxEnvelopeBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Mark(errors.Wrap(err, "bundle"), ErrMalformed)
	}
	if decoder.More() {
		return errors.Wrap(ErrMalformed, "data after the envelope")
	}
	return nil
}
