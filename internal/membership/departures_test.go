package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/wire"
)

func departure(id string, incarnation int64) *wire.Departure {
	return &wire.Departure{EndpointId: id, Incarnation: incarnation}
}

// Guards against departures that are forgotten when the node restarts and announces a record without them.
func TestDeparturesOutliveARestart(t *testing.T) {
	old := record(5, alive)
	old.Departures, old.DeparturesKnown = []*wire.Departure{departure("a", 10)}, true
	restarted := record(9, alive)
	merged := Merge(old, restarted)
	if merged.Incarnation != 9 || len(merged.Departures) != 1 || !merged.DeparturesKnown {
		t.Errorf("record after the restart: %v", merged)
	}
	if len(restarted.Departures) != 0 {
		t.Error("Merge modified its input")
	}
}

// Guards against records that outgrow a datagram, and against later departures that are left out for earlier ones.
func TestLatestDeparturesAreKept(t *testing.T) {
	var all []*wire.Departure
	for i := range int64(10) {
		all = mergeDepartures([]*wire.Departure{departure("a", i)}, all)
	}
	if len(all) != maxDepartures || all[0].Incarnation != 9 || all[maxDepartures-1].Incarnation != 10-maxDepartures {
		t.Errorf("kept %v", all)
	}
}

// ownDepartures records what other nodes know of the departures of a node.
type ownDepartures struct {
	recorder
	list  []*wire.Departure
	known bool
}

func (o *ownDepartures) OwnDepartures(departures []*wire.Departure, known bool) {
	o.list = mergeDepartures(o.list, departures)
	o.known = o.known || known
}

// Guards against a restarted node that learns nothing of the departures that its previous process acknowledged, and against
// an exchange that reports those of another node.
func TestRestartedNodeLearnsItsDepartures(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	newNode := func(id, address string, at time.Time) (*Node, *ownDepartures) {
		out := &ownDepartures{}
		n, err := NewNode(Config{NodeID: id, UDPAddr: address, PeerAddr: address}, at, rand.New(rand.NewPCG(1, 2)), out, &Counters{})
		if err != nil {
			t.Fatal(err)
		}
		return n, out
	}
	exchange := func(from, to *Node, at time.Time) {
		request := proto.CloneOf(from.SyncRequest())
		from.HandleSyncReply(at, to.Self().PeerAddr, proto.CloneOf(to.HandleSync(at, request)))
	}
	neighbour, neighbourOut := newNode("neighbour", "10.0.0.2:1", now)
	first, _ := newNode("node", "10.0.0.1:1", now)
	first.AddDepartures(now, []*wire.Departure{departure("a", 10), departure("", 1)}, true)
	exchange(first, neighbour, now)
	second, out := newNode("node", "10.0.0.1:1", now.Add(time.Second))
	exchange(second, neighbour, now.Add(time.Second))
	if len(out.list) != 1 || out.list[0].GetEndpointId() != "a" || !out.known {
		t.Errorf("the restarted node learned %v, known %t", out.list, out.known)
	}
	if len(neighbourOut.list) != 0 || neighbourOut.known {
		t.Errorf("the neighbour took over departures of another node: %v", neighbourOut.list)
	}
	// A third process starts before the second one has learned anything.
	third, out := newNode("node", "10.0.0.1:1", now.Add(2*time.Second))
	exchange(third, neighbour, now.Add(2*time.Second))
	if len(out.list) != 1 || !out.known {
		t.Errorf("the third process learned %v, known %t", out.list, out.known)
	}
	stranger, out := newNode("stranger", "10.0.0.3:1", now.Add(time.Second))
	exchange(stranger, neighbour, now.Add(time.Second))
	if len(out.list) != 0 || out.known {
		t.Errorf("a new node learned %v, known %t", out.list, out.known)
	}
}

// Guards against a restarted node that is not told that the others count it, which costs its part of the rate limits for
// seconds, and against one that is told so although others may not: after its first start, or after a drain.
func TestRestartedNodeLearnsThatItIsCounted(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	newNode := func(id, address string, at time.Time) *Node {
		n, err := NewNode(Config{NodeID: id, UDPAddr: address, PeerAddr: address}, at, rand.New(rand.NewPCG(1, 2)), &recorder{}, &Counters{})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	neighbour := newNode("neighbour", "10.0.0.2:1", start)
	for _, step := range []struct {
		name    string
		at      time.Duration
		drain   bool // before the exchange
		counted bool
	}{
		{"first start", 0, false, false}, {"restart before gossip has spread", countedAfter / 2, false, false},
		{"restart", countedAfter, false, true}, {"restart later", time.Minute, false, true},
		{"drain", 2 * time.Minute, true, false}, {"start after the drain", 3 * time.Minute, false, false},
		{"restart after that", 4 * time.Minute, false, true},
	} {
		at := start.Add(step.at)
		n := newNode("node", "10.0.0.1:1", at)
		if step.drain {
			n.SetLeaving(at, true)
		}
		if got := neighbour.HandleSync(at, proto.CloneOf(n.SyncRequest())).Counted; got != step.counted {
			t.Errorf("%s: counted %t, want %t", step.name, got, step.counted)
		}
	}
}
