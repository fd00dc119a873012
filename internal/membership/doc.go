// Package membership holds the records of the nodes of the system and decides how they are merged,
// suspected and gossiped. It follows SWIM (Das, Gupta, Motivala, DSN 2002). It does no I/O, starts
// no goroutine and takes time and randomness as arguments.
package membership
