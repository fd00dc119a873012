package bundle

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrBaseMismatch reports a delta from content that the receiver does not have. The receiver then requests the full
// envelope.
var ErrBaseMismatch = errors.New("bundle: delta is from another base")

// Delta holds the changes from one envelope, the base, to a later one, and the later envelope's signatures. The
// signatures cover the full content, not the delta.
type Delta struct {
	BaseVersion uint64     `json:"base_version"`
	BaseRoot    Hash       `json:"base_root"`
	Version     uint64     `json:"version"`
	Changed     Sections   `json:"changed"`
	Removed     []string   `json:"removed,omitempty"`
	Author      *Signature `json:"author,omitempty"`
	Approver    *Signature `json:"approver,omitempty"`
}

// NewDelta returns the delta from base to next.
func NewDelta(base, next *Envelope) *Delta {
	d := &Delta{
		BaseVersion: base.Version,
		BaseRoot:    base.Root(),
		Version:     next.Version,
		Changed:     Sections{},
		Author:      next.Author,
		Approver:    next.Approver,
	}
	for name, text := range next.Sections {
		if old, found := base.Sections[name]; !found || old != text {
			d.Changed[name] = text
		}
	}
	for _, name := range slices.Sorted(maps.Keys(base.Sections)) {
		if _, kept := next.Sections[name]; !kept {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// Apply returns the later envelope. It checks only that base is the delta's base; the caller must verify the signatures
// of the result.
func (d *Delta) Apply(base *Envelope) (*Envelope, error) {
	if base == nil || base.Version != d.BaseVersion || base.Root() != d.BaseRoot {
		return nil, errors.Wrapf(ErrBaseMismatch, "delta is from version %d", d.BaseVersion)
	}
	sections := maps.Clone(base.Sections)
	if sections == nil {
		sections = Sections{}
	}
	maps.Copy(sections, d.Changed)
	for _, name := range d.Removed {
		delete(sections, name)
	}
	return &Envelope{Version: d.Version, Sections: sections, Author: d.Author, Approver: d.Approver}, nil
}

// Encode returns the delta as JSON compressed with gzip.
func (d *Delta) Encode() ([]byte, error) { return encode(d) }

// DecodeDelta decodes what Encode returns. It does not verify signatures.
func DecodeDelta(data []byte) (*Delta, error) {
	d := &Delta{}
	if err := decode(data, d); err != nil {
		return nil, err
	}
	return d, nil
}
