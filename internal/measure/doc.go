// Package measure is a discrete-event simulation that compares endpoint choice policies. It runs
// dandelionspoke's own decision code (packages balance, admission and retry, and the snapshots of package
// system) with simulated caller nodes, network delays, and backend servers with slots and random service
// times. It opens no sockets and doesn't measure processor time.
//
// The policy dandelionspoke covers endpoint choice, gate admission, load reports, probes, ejection and the
// retry budget. The other policies are baselines: they choose by their own rule among all endpoints, or
// with LocalRegionOnly among those of the caller node's region. The backend server of a baseline has one FIFO
// queue, bounded by its connection limit, and a refused request is retried once.
//
// Virtual time comes from a seeded event loop, so the seed determines every result. testing/synctest
// isn't used because the runtime chooses the order in which goroutines wake at the same virtual instant:
// four runs with one seed gave four different results, even with GOMAXPROCS=1.
//
// To run one scenario, which takes a second or two:
//
//	go run ./internal/measure/cmd/measure --scenario swing --workload nordlys --policy p2c --policy dandelionspoke
//
// Scenario uneven compares the placement waits of the bundle in one run:
//
//	go run ./internal/measure/cmd/measure --scenario uneven --policy p2c --policy dandelionspoke --placement-wait 0s,15ms
//
// To run all of them: bash scripts/measure. docs/measurements.md has the results.
package measure
