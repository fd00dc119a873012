// Package membership keeps the table of member records: it merges received records, detects failed nodes
// and disseminates changes by gossip. It follows SWIM (Das, Gupta, Motivala, DSN 2002). It does no I/O,
// starts no goroutine, and takes the time and the source of randomness as arguments.
package membership
