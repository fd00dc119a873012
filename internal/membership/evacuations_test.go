package membership_test

import (
	"fmt"
	"testing"
	"time"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/membershiptest"
)

func allHave(f *membershiptest.Fleet, want evacuation.Set) func() bool {
	return func() bool {
		for _, h := range f.Nodes {
			if set, known := h.Evacuations(); !known || !evacuation.Equal(set, want) {
				return false
			}
		}
		return true
	}
}

// Guards the requirement that an evacuation that one node reads reaches all nodes within about a second, although a part of
// the datagrams is lost, and that its end does.
func TestEvacuationReachesAllNodes(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		t.Run(fmt.Sprintf("loss=%v", loss), func(t *testing.T) {
			f := startFleet(t, membershiptest.Options{Nodes: 100, Seed: 21, Regions: 2, Loss: loss, Config: membership.Config{Evacuations: true}})
			for i, set := range []evacuation.Set{{Revision: 5, Domains: []string{"region-0-a"}}, {Revision: 9}} {
				f.Nodes[i].SetEvacuations(f.Now, set)
				took, ok := f.RunUntil(1500*time.Millisecond, allHave(f, set))
				if !ok {
					t.Fatalf("%v is not known everywhere after %v", set, took)
				}
				t.Logf("%v known everywhere after %v", set, took)
			}
			joined := f.Add(100)
			if took, ok := f.RunUntil(time.Second, allHave(f, evacuation.Set{Revision: 9})); !ok {
				t.Errorf("a joined node has %v after %v", joined.SyncRequest().Evacuations, took)
			}
		})
	}
}

// Guards against datagrams and exchanges that carry the set although no evacuation was ever requested or the part is off, and
// against a starting node that takes a peer without knowledge for one that knows of no evacuation.
func TestEvacuationsCostNothingUnlessUsed(t *testing.T) {
	f := startFleet(t, membershiptest.Options{Nodes: 2, Seed: 22, Config: membership.Config{Evacuations: true}})
	if m := f.Nodes[0].SyncRequest(); m.Evacuations != nil {
		t.Errorf("the request carries %v", m.Evacuations)
	}
	if _, known := f.Nodes[1].Evacuations(); known || f.Nodes[0].HandleSync(f.Now, f.Nodes[1].SyncRequest()).Evacuations != nil {
		t.Error("a node that has asked nobody states the set")
	}
	f.Nodes[0].SetEvacuations(f.Now, evacuation.Set{})
	f.Nodes[1].HandleSyncReply(f.Now, "", f.Nodes[0].HandleSync(f.Now, f.Nodes[1].SyncRequest()))
	if set, known := f.Nodes[1].Evacuations(); !known || set.Seen() || f.Nodes[1].SyncRequest().Evacuations != nil {
		t.Errorf("after an exchange with a node that knows of none: %v, known %v", set, known)
	}
	off := startFleet(t, membershiptest.Options{Nodes: 2, Seed: 22})
	off.Nodes[0].SetEvacuations(off.Now, evacuation.Set{Revision: 1, Domains: []string{"region-0-a"}})
	if set, known := off.Nodes[0].Evacuations(); known || set.Seen() {
		t.Errorf("without the setting: %v", set)
	}
}
