package node

import (
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/announce"
)

// Guards against a delayed heartbeat that announces a backend server again whose departure the store has lost, after all
// nodes have restarted, and against members that a restored store does not list.
func TestDepartureOutlivesARestoreOfTheStore(t *testing.T) {
	const born = 1000
	f := newDepartureFleet(t, 3)
	f.waitFor("the server is announced", func() bool {
		f.heartbeat(0, born, 1)
		return f.current(0) == "katalog-1"
	})
	copied := f.store.Copy()
	f.nodes[0].registry.Deregister("katalog-1", born, time.Now())
	f.store.Restore(copied)
	f.waitFor("the departure and the members are stored again", func() bool {
		o, err := f.store.Get(t.Context(), membersPrefix+"local-a")
		if err != nil {
			return false
		}
		d, _, err := decodeDomainMembers(o.Value)
		return err == nil && len(d.PeerAddresses) == 3 && slices.ContainsFunc(d.Departures, func(e storedDeparture) bool {
			return e.NodeID == "node-0" && e.Departure == announce.Departure{ID: "katalog-1", Incarnation: born}
		})
	})
	if restores := f.nodes[0].Metrics()["store_restores"]; restores != 1 {
		t.Errorf("%d restores were noticed", restores)
	}
	for i := range f.nodes {
		f.kill(i)
	}
	for i := range f.nodes {
		f.start(i)
	}
	restarted := time.Now()
	for sequence := uint64(4); time.Since(restarted) < 2*time.Second; sequence++ {
		f.heartbeat(0, born, sequence)
		if id := f.current(0); id != "" {
			t.Fatalf("%s is announced %v after the restart", id, time.Since(restarted))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a node that goes through all members, or reads the store, for its generation although no claims are in use, and
// against reads beside other responses of the store.
func TestGenerationIsPolledOnlyWhileClaimsAreInUse(t *testing.T) {
	f := newDepartureFleet(t, 2)
	time.Sleep(2 * ownerPollInterval)
	for i, n := range f.nodes {
		if n.claimRouter.KnowsOwners() {
			t.Errorf("node %d has computed the owners of claims", i)
		}
	}
	now := time.Now()
	var poll generationPoll
	computed, reads := 0, 0
	interval := func() time.Duration { computed++; return time.Second }
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(generationCheckInterval) {
		statedAt := now
		if at.Sub(now) > 6*time.Second {
			statedAt = at // other calls are answered
		}
		if poll.due(at, statedAt, interval) {
			reads++
		}
	}
	if computed != 2 || reads != 6 {
		t.Errorf("interval computed %d times, %d reads; want 2 and 6", computed, reads)
	}
}
