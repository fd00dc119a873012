package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/table"
)

// choiceCount is the number of choices over which the time is averaged.
const choiceCount = 200_000

// choiceRows measures the time of one choice among the given number of endpoints.
func choiceRows(endpoints int) ([]row, error) {
	picker, err := balance.New(balance.Dandelionspoke)
	if err != nil {
		return nil, err
	}
	now := time.Now().UnixNano()
	rng := rand.New(rand.NewPCG(1, uint64(endpoints)))
	svc := &table.Service{Name: requestService, Config: bundle.Service{Slots: 12, LongSlots: 4}}
	for i := range endpoints {
		e := &table.Endpoint{ID: fmt.Sprint("endpoint-", i), Slots: 12, Locality: table.Locality(i * table.Localities / endpoints), Stats: &table.Stats{}}
		e.Stats.ReportedInFlight.Store(rng.Int32N(12))
		e.Stats.ReportedAt.Store(now)
		e.Stats.LatencyNanos.Store(int64(time.Millisecond) + rng.Int64N(int64(time.Millisecond)))
		svc.Endpoints = append(svc.Endpoints, e)
	}
	svc.LocalityEnd = balance.LocalityEnds(svc.Endpoints)
	started := time.Now()
	for range choiceCount {
		picker.Pick(now, rng, svc, 0, false)
	}
	r := row{"measure=choice", fmt.Sprintf("endpoints=%d", endpoints)}
	return []row{r.with("ns_per_choice", float64(time.Since(started).Nanoseconds())/choiceCount)}, nil
}
