package demo

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"dandelionspoke/internal/backendtest"
)

// Summary is the result of one run. Latencies are in milliseconds and cover successful requests. P50 and P99 exclude the
// requests of the light load phase.
type Summary struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Nodes    int     `json:"nodes"`

	Sent          int64 `json:"sent"`
	AnsweredOK    int64 `json:"answered_ok"`
	RefusedNotRun int64 `json:"refused_not_run"`
	MayHaveRun    int64 `json:"may_have_run"`
	RanFailed     int64 `json:"ran_failed"`
	BackendErrors int64 `json:"backend_errors"`
	WrongBody     int64 `json:"wrong_body"`
	Truncated     int64 `json:"cut_off"`
	// Unsent counts arrivals that the generator dropped because too many operations were in flight.
	Unsent int64 `json:"unsent"`

	DuplicateRuns int64 `json:"duplicate_runs"`
	// NotRunButRan counts non-idempotent operations that were only ever refused with the verdict not-run although the run
	// log contains them.
	NotRunButRan int64 `json:"not_run_but_ran"`
	// OKWithoutRun counts non-idempotent operations that succeeded although the run log does not contain them.
	OKWithoutRun int64 `json:"ok_without_run"`

	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// Results of the light load phase, which sends one request at a time, without service time. "Added" values are
	// differences from the direct path.
	LightSamples         int64   `json:"light_samples"`
	DirectP99            float64 `json:"direct_p99_ms"`
	SystemP99            float64 `json:"system_p99_ms"`
	ReverseProxyP99      float64 `json:"bare_hop_p99_ms"`
	AddedP50             float64 `json:"added_p50_ms"`
	AddedP99             float64 `json:"added_p99_ms"`
	ReverseProxyAddedP99 float64 `json:"bare_hop_added_p99_ms"`

	Kinds map[string]KindSummary `json:"classes"`
	// Reasons counts the error responses of the system by reason.
	Reasons map[string]int64 `json:"reasons"`
	// Faults lists the injected faults in order.
	Faults []string `json:"faults"`
	// Broken lists the first operations with a wrong body, a truncated or missing response, or a duplicate run.
	Broken []string `json:"broken"`
}

// KindSummary is the result for one request kind.
type KindSummary struct {
	Sent       int64   `json:"sent"`
	AnsweredOK int64   `json:"answered_ok"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
}

// Failed reports whether the run violated a guarantee to callers.
func (s *Summary) Failed() bool {
	return s.WrongBody+s.DuplicateRuns+s.Truncated+s.NotRunButRan+s.OKWithoutRun != 0
}

func (s *Summary) addTally(t *tally) {
	s.Sent = t.sent()
	s.AnsweredOK = t.count(OK)
	s.RefusedNotRun = t.count(RefusedNotRun)
	s.MayHaveRun = t.count(MayHaveRun)
	s.RanFailed = t.count(RanFailed)
	s.BackendErrors = t.count(BackendError)
	s.WrongBody = t.count(WrongBody)
	s.Truncated = t.count(Truncated)
	s.Broken = append([]string{}, t.broken...)
	s.Reasons = maps.Clone(t.reasons)
	s.Kinds = map[string]KindSummary{}
	overall := newLatencies()
	for name, k := range t.kinds {
		kindSummary := KindSummary{AnsweredOK: k.counts[OK], P50: roundToThousandths(k.latency.percentileMillis(50)), P99: roundToThousandths(k.latency.percentileMillis(99))}
		for _, n := range k.counts {
			kindSummary.Sent += n
		}
		s.Kinds[name] = kindSummary
		if name != lightLoadKindName {
			overall.hist.Merge(k.latency.hist)
		}
	}
	s.P50, s.P99 = roundToThousandths(overall.percentileMillis(50)), roundToThousandths(overall.percentileMillis(99))
}

// addRuns compares the run log with the outcomes that callers observed.
func (s *Summary) addRuns(t *tally, log *backendtest.RunLog) {
	duplicates := log.Duplicates()
	s.DuplicateRuns = int64(len(duplicates))
	s.NotRunButRan, s.OKWithoutRun = t.countContradictions(log)
	for _, id := range duplicates[:min(len(duplicates), maxBrokenListed)] {
		s.Broken = append(s.Broken, "duplicate run "+id)
	}
}

func roundToThousandths(v float64) float64 { return math.Round(v*1000) / 1000 }

func (s *Summary) addLightLoad(l *lightLoad) {
	s.LightSamples = l.system.count()
	s.DirectP99 = roundToThousandths(l.direct.percentileMillis(99))
	s.SystemP99 = roundToThousandths(l.system.percentileMillis(99))
	s.ReverseProxyP99 = roundToThousandths(l.reverseProxy.percentileMillis(99))
	s.AddedP50 = roundToThousandths(l.system.percentileMillis(50) - l.direct.percentileMillis(50))
	s.AddedP99 = roundToThousandths(s.SystemP99 - s.DirectP99)
	s.ReverseProxyAddedP99 = roundToThousandths(s.ReverseProxyP99 - s.DirectP99)
}

// Print writes the summary as text.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "workload %s, %d nodes, seed %d, %.1f s\n", s.Workload, s.Nodes, s.Seed, s.Seconds)
	fmt.Fprintf(w, "sent %d: answered_ok %d, refused_not_run %d, may_have_run %d, ran_failed %d, backend_errors %d, unsent %d\n",
		s.Sent, s.AnsweredOK, s.RefusedNotRun, s.MayHaveRun, s.RanFailed, s.BackendErrors, s.Unsent)
	fmt.Fprintf(w, "wrong_body %d, duplicate_runs %d, cut_off %d, not_run_but_ran %d, ok_without_run %d\n",
		s.WrongBody, s.DuplicateRuns, s.Truncated, s.NotRunButRan, s.OKWithoutRun)
	fmt.Fprintf(w, "p50 %.2f ms, p99 %.2f ms\n", s.P50, s.P99)
	fmt.Fprintf(w, "light load (%d samples): p99 direct %.2f ms, through the system %.2f ms (added %.2f ms), through a plain reverse proxy %.2f ms (added %.2f ms)\n",
		s.LightSamples, s.DirectP99, s.SystemP99, s.AddedP99, s.ReverseProxyP99, s.ReverseProxyAddedP99)
	for _, name := range slices.Sorted(maps.Keys(s.Kinds)) {
		kindSummary := s.Kinds[name]
		fmt.Fprintf(w, "  %-18s sent %6d, ok %6d, p50 %8.2f ms, p99 %8.2f ms\n", name, kindSummary.Sent, kindSummary.AnsweredOK, kindSummary.P50, kindSummary.P99)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Fprintf(w, "  reason %s: %d\n", reason, s.Reasons[reason])
	}
	for _, f := range s.Faults {
		fmt.Fprintf(w, "  fault: %s\n", f)
	}
	for _, b := range s.Broken {
		fmt.Fprintf(w, "  broken: %s\n", b)
	}
}
