// Command standin2 plays the scripted cases of the second review. It starts nodes as separate processes, and holds the
// stand-ins of the platform's store, the backend servers and the clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// scenario plays one case and reports whether the rule held. trouble is false for the run without the disruption.
type scenario func(r *recorder, f *fleet, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"early-answer":     earlyAnswer,
	"crashing-request": crashingRequest,
	"departed-server":  departedServer,
	"all-crash":        allCrash,
	"planned-stop":     plannedStop,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run(os.Args[1:])) }

// run plays the scenario args[0] with the node program args[1], the repository args[2] and the record file args[3].
func run(args []string) int {
	if len(args) != 4 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENARIO NODE-PROGRAM REPOSITORY RECORD")
		return exitNotRun
	}
	r, err := newRecorder(args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	f, err := newFleet(r, args[1], args[2])
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("scenario %s, trouble %t", args[0], trouble)
	held, err := scenarios[args[0]](r, f, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitNotRun
	case !held:
		r.printf("the rule was broken")
		return exitBroken
	}
	r.printf("the rule held")
	return exitHeld
}

// recorder writes what is sent, answered and run, with the time since the start in seconds.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { _ = r.file.Close() }
