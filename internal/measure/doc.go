// Package measure compares endpoint choice policies in virtual time. It runs the product's decision
// code (balance, admission, retry, snapshots of system) between small fakes: backend servers with
// slots and drawn service times, network delays, and caller nodes. It measures no sockets and no CPU.
//
// Policy dandelionspoke stands for choice, gate admission, reports, probes, ejection and the retry budget.
// The other policies choose by their rule among all endpoints, or with OwnRegionOnly among those of the
// caller's region. Their backend server keeps one queue, bounded by its connections, and a refused
// request is sent once more.
//
// Virtual time comes from a seeded event loop, so that a seed determines every figure. testing/synctest
// was rejected: goroutines that wake at the same virtual instant run in an order that the runtime
// chooses, and four runs with one seed gave four different results, also with GOMAXPROCS=1.
//
// To run one scenario in a second or two:
//
//	go run ./internal/measure/cmd/measure --scenario swing --workload nordlys --policy p2c --policy dandelionspoke
//
// To run everything: bash scripts/measure. See docs/measurements.md for the results.
package measure
