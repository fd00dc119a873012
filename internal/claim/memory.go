package claim

import "time"

const (
	// memoryTime is the time for which an owner remembers the claims that it has stored. A store is restored from a copy
	// that is some seconds old.
	memoryTime = 2 * time.Minute
	// restoreWindow is the time after an owner has noticed that the store was restored in which it stores remembered
	// claims again whenever they are missing. Until all clients have noticed the restore, a late write may replace a shard.
	restoreWindow = 15 * time.Second
	// vouchTime is the time for which an owner must have been the only one of a shard for its knowledge of the shard to count
	// as complete. It exceeds the age of the copies from which a store is restored.
	vouchTime = 30 * time.Second
	// unverifiedHold is the time after the store was reached again in which keys without a claim are held as may-have-run in a
	// shard that this owner cannot vouch for. Meanwhile its other owners notice the restore and store their claims again.
	unverifiedHold = 5 * time.Second
	// maxGenerationAge is the age of the latest response of the store up to which a cached table may be written on: an
	// older one may be that of an earlier generation, whose revisions the store gives out again.
	maxGenerationAge = 2 * time.Second
)

// memory holds the claims of one shard that this owner has stored recently, without responses. It uses no clock. The zero
// value is empty.
type memory struct {
	records map[string]record // by key
	order   []memoryEntry     // oldest first
}

// memoryEntry is one store of a record. Only the latest entry of a key counts.
type memoryEntry struct {
	key   string
	state state
	at    time.Time
}

// remember adds a record that was stored at now, and forgets those older than memoryTime.
func (m *memory) remember(r record, now time.Time) {
	if m.records == nil {
		m.records = map[string]record{}
	}
	m.forgetOlder(now)
	if r.Outcome != nil {
		partial := r.Outcome.stripped()
		r.Outcome = &partial
	}
	r.line = nil
	m.records[r.Key] = r
	m.order = append(m.order, memoryEntry{r.Key, r.State, now})
}

// forgetOlder removes the records that were stored memoryTime before now. A record with a later state has a later entry.
func (m *memory) forgetOlder(now time.Time) {
	outdated := 0
	for ; outdated < len(m.order) && now.Sub(m.order[outdated].at) > memoryTime; outdated++ {
		e := m.order[outdated]
		if m.records[e.key].State == e.state {
			delete(m.records, e.key)
		}
	}
	m.order = m.order[outdated:]
}

// forget removes a claim that was released.
func (m *memory) forget(key, attempt string) {
	if r, found := m.records[key]; found && r.Attempt == attempt {
		delete(m.records, key)
	}
}

// restoreTo adds the records that t lacks, and the outcomes of attempts that it holds as claimed. It returns the number of
// changes.
func (m *memory) restoreTo(t *table) (changes int, err error) { return restoreRecords(t, m.records) }

func restoreRecords(t *table, records map[string]record) (changes int, err error) {
	for key, r := range records {
		existing, found := t.records[key]
		if found && (existing.Attempt != r.Attempt || existing.State != claimed || r.State == claimed) {
			continue
		}
		if err := t.set(r); err != nil {
			return changes, err
		}
		changes++
	}
	if changes == 0 {
		return 0, nil
	}
	return changes, t.trim(maxTableBytes)
}
