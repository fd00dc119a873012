package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/membership"
	"dandelionspoke/internal/system"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

const (
	// serviceCount is the number of services at the scale that the design targets.
	serviceCount = 720
	domainCount  = 15
	regionCount  = 7
	// subsetSize is the bundle's default.
	subsetSize = 24
	// tableTicks is the number of ticks over which the time is averaged.
	tableTicks     = 2000
	snapshotBuilds = 5
)

// discardOutput is a membership.Output that does nothing.
type discardOutput struct{}

func (discardOutput) SendDatagram(string, []byte)           {}
func (discardOutput) NewerBundle(uint64, string)            {}
func (discardOutput) Changed(_, _ *wire.Member)             {}
func (discardOutput) OwnDepartures([]*wire.Departure, bool) {}
func (discardOutput) EvacuationsChanged(evacuation.Set)     {}
func (discardOutput) Quarantined([]*wire.QuarantineEntry)   {}
func (discardOutput) Sync(string, *wire.SyncRequest)        {}

func tableMember(i int, now time.Time) *wire.Member {
	service := fmt.Sprintf("service-%03d", i%serviceCount)
	return &wire.Member{
		NodeId: fmt.Sprintf("node-%05d", i), Incarnation: uint64(membership.NewIncarnation(now)),
		PeerAddr:      fmt.Sprintf("10.%d.%d.%d:7947", i>>16, i>>8&0xff, i&0xff),
		UdpAddr:       fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&0xff, i&0xff),
		FailureDomain: fmt.Sprintf("domain-%02d", i%domainCount), Region: fmt.Sprintf("region-%d", i%domainCount%regionCount),
		Endpoints: []*wire.EndpointRecord{{Id: fmt.Sprintf("endpoint-%05d", i), Service: service, Slots: 12, Connections: 200}},
	}
}

// firstSubset is a system.SubsetFunc that keeps the first subsetSize candidates. BuildSnapshot copies them, as
// it does with any other subset.
func firstSubset(_ system.Self, _ string, candidates []*table.Endpoint, _ int) []*table.Endpoint {
	return candidates[:min(subsetSize, len(candidates))]
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// tableRows measures one node with n members: memory, full-state exchanges, snapshots and ticks.
func tableRows(n int) ([]row, error) {
	now := time.UnixMilli(1_700_000_000_000)
	before := heapBytes()
	node, err := nodeWithMembers(n, now)
	if err != nil {
		return nil, err
	}
	r := newRow("table", n).with("heap_bytes", heapBytes()-before)

	request := node.SyncRequest()
	r = r.with("sync_request_bytes", proto.Size(request))
	full := &wire.SyncRequest{Digests: make([]uint64, len(request.Digests))}
	r = r.with("sync_full_reply_bytes", proto.Size(node.HandleSync(now, full)))
	r = r.with("snapshot_build_us", buildMicros(node, now))
	r = r.with("tick_us", tickMicros(node, now))
	return []row{r}, nil
}

func nodeWithMembers(n int, now time.Time) (*membership.Node, error) {
	self := tableMember(0, now)
	cfg := membership.Config{
		NodeID: self.NodeId, UDPAddr: self.UdpAddr, PeerAddr: self.PeerAddr,
		FailureDomain: self.FailureDomain, Region: self.Region,
	}
	node, err := membership.NewNode(cfg, now, rand.New(rand.NewPCG(1, 1)), discardOutput{}, &membership.Counters{})
	if err != nil {
		return nil, err
	}
	members := make([]*wire.Member, 0, n-1)
	for i := 1; i < n; i++ {
		members = append(members, tableMember(i, now))
	}
	node.Merge(now, members)
	return node, nil
}

// buildMicros returns the median time to build a snapshot, in microseconds. All but the first build replace
// an earlier snapshot.
func buildMicros(node *membership.Node, now time.Time) float64 {
	self := system.Self{NodeID: node.Self().NodeId, FailureDomain: node.Self().FailureDomain, Region: node.Self().Region}
	var snapshot *table.Snapshot
	var times []float64
	for i := range snapshotBuilds {
		start := time.Now()
		snapshot = system.BuildSnapshot(uint64(i), self, node.Records(), nil, snapshot, now, firstSubset)
		times = append(times, micros(time.Since(start)))
	}
	return quantile(times, 0.5)
}

// tickMicros returns the mean time of a tick without incoming messages, in microseconds.
func tickMicros(node *membership.Node, now time.Time) float64 {
	start := time.Now()
	for range tableTicks {
		now = now.Add(50 * time.Millisecond)
		node.Tick(now)
	}
	return micros(time.Since(start)) / tableTicks
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
