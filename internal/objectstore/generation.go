package objectstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// GenerationHeader is the header in which the object API states the generation of the store, in each response. The
// generation rises by one each time the store is restored from a copy, after which it gives out revisions again.
const GenerationHeader = "Dandelionspoke-Store-Generation"

const (
	// revisionBits is the number of bits of a version that hold the revision of the store. The bits above hold the
	// generation, so that versions rise when the store is restored, and no version is given out twice.
	revisionBits = 48
	revisionMask = 1<<revisionBits - 1
	// generationMask limits the generation to the bits above, without the sign.
	generationMask = 1<<(63-revisionBits) - 1
)

// VersionOf returns the version of an object with a revision that a store of the given generation has given out. Without
// generations it is the revision. MustNotExist remains MustNotExist.
func VersionOf(generation uint64, revision int64) int64 {
	if revision == MustNotExist {
		return MustNotExist
	}
	return int64(generation&generationMask)<<revisionBits | revision&revisionMask
}

// RevisionOf returns the revision of the store in a version, and whether the version belongs to the given generation.
// MustNotExist belongs to each.
func RevisionOf(version int64, generation uint64) (revision int64, current bool) {
	if version == MustNotExist {
		return MustNotExist, true
	}
	return version & revisionMask, uint64(version)>>revisionBits == generation&generationMask
}

// PositionOf returns the position in the history of the store that a version states.
func PositionOf(version int64) Position {
	return Position{Generation: uint64(version) >> revisionBits, Revision: version & revisionMask}
}

// GenerationStater is implemented by stores that state their generation.
type GenerationStater interface {
	// Generation returns the highest generation that a response has stated, and when one has stated it last. known is
	// false if none has stated one.
	Generation() (generation uint64, known bool, at time.Time)
}

// Generations tracks the generation that the responses of a store state. The zero value knows none. It is safe for
// concurrent use.
type Generations struct {
	mu      sync.Mutex
	highest uint64
	known   bool
	at      time.Time
}

// Generation implements GenerationStater.
func (g *Generations) Generation() (generation uint64, known bool, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest, g.known, g.at
}

// errEarlierGeneration reports a response of the store as it was before it was restored.
var errEarlierGeneration = errors.New("objectstore: the response is of an earlier generation of the store")

// Observe records the generation that a response states in the named header, and returns it. A response without the header
// is taken to be of the highest generation known. The error is marked as ErrUnavailable if the response is of an earlier
// generation, so that it holds nothing that is still true.
func (g *Generations) Observe(header http.Header, name string) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stated, err := strconv.ParseUint(header.Get(name), 10, 64)
	switch {
	case err != nil:
		return g.highest, nil // an intermediary may have answered
	case !g.known || stated > g.highest:
		g.highest, g.known = stated, true
	case stated < g.highest:
		return stated, errors.Mark(errors.Wrapf(errEarlierGeneration, "%d, known %d", stated, g.highest), ErrUnavailable)
	}
	g.at = time.Now()
	return stated, nil
}

// Condition is the precondition of a conditional write in the store's own terms.
type Condition struct {
	Revision   int64 // MustNotExist or the revision that the object must have
	generation uint64
	known      bool
}

// Condition returns the precondition of a write. It returns ErrConflict if ifVersion is of another generation than the
// store's: the write must not be sent then, because its revision may be that of another content.
func (g *Generations) Condition(ifVersion int64) (Condition, error) {
	generation, known, _ := g.Generation()
	switch {
	case known:
		return ConditionIn(generation, ifVersion)
	case ifVersion == MustNotExist:
		return Condition{Revision: MustNotExist}, nil
	}
	// The version comes from another client of the store.
	return ConditionIn(uint64(ifVersion)>>revisionBits, ifVersion)
}

// ConditionIn is like Generations.Condition for a known generation.
func ConditionIn(generation uint64, ifVersion int64) (Condition, error) {
	revision, current := RevisionOf(ifVersion, generation)
	if !current {
		return Condition{}, errors.Wrap(ErrConflict, "the version is of another generation of the store")
	}
	return Condition{Revision: revision, generation: generation, known: true}, nil
}

// Check returns ErrUnknownOutcome for a write that a store of another generation than that of its condition has
// acknowledged: it may have replaced another content than the one that was read, or be lost.
func (c Condition) Check(acknowledged uint64) error {
	if c.known && acknowledged&generationMask != c.generation&generationMask {
		return errors.Wrapf(ErrUnknownOutcome, "acknowledged by generation %d, conditional on %d", acknowledged, c.generation)
	}
	return nil
}

// SameGeneration reports whether two versions are of one generation. MustNotExist is of each.
func SameGeneration(a, b int64) bool {
	return a == MustNotExist || b == MustNotExist || a>>revisionBits == b>>revisionBits
}
