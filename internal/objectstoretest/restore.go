package objectstoretest

import (
	"maps"
	"time"

	"dandelionspoke/internal/objectstore"
)

// Copy is the state of a Store at one time.
type Copy struct {
	revision int64
	objects  map[string]objectstore.Object
	deleted  map[string]int64
}

// Paths to which a POST keeps a copy of the state, and restores the copy kept last.
const (
	CopyPath    = "/objectstoretest/copy"
	RestorePath = "/objectstoretest/restore"
)

func (s *Store) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.copyLocked()
}

// restoreKept restores the copy kept last, or the empty state if there is none.
func (s *Store) restoreKept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreLocked(s.kept)
}

// Copy returns a copy of the current state, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyLocked()
}

func (s *Store) copyLocked() Copy {
	return Copy{revision: s.revision, objects: maps.Clone(s.objects), deleted: maps.Clone(s.deleted)}
}

// Restore replaces the state by that of a copy, raises the generation by one and ends all watches. Writes since the copy
// are lost, and their revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreLocked(c)
}

func (s *Store) restoreLocked(c Copy) {
	s.generation++
	s.revision, s.objects, s.deleted = c.revision, maps.Clone(c.objects), maps.Clone(c.deleted)
	s.endWatchesLocked()
	s.notifyLocked()
}

// RestoreBeforeWrite restores the copy between the arrival of the next write and its effect: its condition is that of the
// earlier generation, and its answer of the new one.
func (s *Store) RestoreBeforeWrite(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.restoreBeforeWrite = &c
}

// RestoreAfterWrite restores the copy between the effect of the next write, which is lost, and its answer.
func (s *Store) RestoreAfterWrite(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.restoreAfterWrite = &c
}

// consumeRestore restores *c, if it is set, and clears it. It is called with mu held.
func (s *Store) consumeRestore(c **Copy) {
	if *c != nil {
		s.restoreLocked(**c)
		*c = nil
	}
}

// Generation implements objectstore.GenerationStater.
func (s *Store) Generation() (generation uint64, known bool, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation, true, time.Now()
}

// Revision returns the value of the version counter.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// condition returns the precondition of a write by a client that knows the current generation.
func (s *Store) condition(ifVersion int64) (objectstore.Condition, error) {
	generation, _, _ := s.Generation()
	return objectstore.ConditionIn(generation, ifVersion)
}
