// Command standin3 plays the cases of the third review: it stands in for the platform, its store, the clients and the
// endpoints, and starts the project's nodes as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record is the protocol of a run, in the order in which things were seen.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	runs  map[string][]run // by Attempt-Id
}

// run is what an endpoint did with a request.
type run struct {
	at             time.Time
	endpoint, what string
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fatal("%v", err)
	}
	return &record{file: file, begin: time.Now(), runs: map[string][]run{}}
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// run records what an endpoint does with a request.
func (r *record) run(id, endpoint, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{time.Now(), endpoint, what})
	r.line("endpoint %s: request %s %s", endpoint, id, what)
}

// runsOf returns what endpoints did with a request.
func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

// current is the deployment of the case, which has to be closed before the process ends.
var current atomic.Pointer[deployment]

// fatal ends a case that could not run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if d := current.Swap(nil); d != nil {
		d.record.write("the case could not run: "+format, args...)
		d.close()
	}
	os.Exit(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: standin3 CASE RECORD")
	}
	rec := newRecord(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			fatal("%v", s)
		case <-time.After(maxTime):
			fatal("it takes longer than %v", maxTime)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case %s, disruption %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](rec, trouble)
	for _, b := range broken {
		rec.write("rule broken: %s", b)
		fmt.Println("rule broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	rec.write("rule held")
	fmt.Println("rule held")
}
