package verdict

import "dandelionspoke/internal/wire"

// Wire returns the verdict's protobuf value.
func (v Verdict) Wire() wire.Verdict {
	switch v {
	case NotRun:
		return wire.Verdict_NOT_RUN
	case Ran:
		return wire.Verdict_RAN
	default:
		return wire.Verdict_MAY_HAVE_RUN
	}
}

// FromWire returns the verdict of a protobuf value, or MayHaveRun for an unknown value.
func FromWire(v wire.Verdict) Verdict {
	switch v {
	case wire.Verdict_NOT_RUN:
		return NotRun
	case wire.Verdict_RAN:
		return Ran
	default:
		return MayHaveRun
	}
}
