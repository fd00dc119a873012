// Command standin plays the cases of the review: it starts nodes as separate processes, with stand-ins of the platform's
// store, of the backend servers and of their clients in its own process, and judges what these see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which returns the violations of the rule.
var cases = map[string]func(*run) ([]string, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(play(*name, *record, *trouble))
}

func play(name, recordFile string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	r, err := newRun(recordFile, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	violations, err := c(r)
	r.close()
	if err != nil {
		r.log("the case could not run: %v", err)
		r.finish()
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, v := range violations {
		r.log("VIOLATION: %s", v)
	}
	r.log("violations: %d", len(violations))
	r.finish()
	fmt.Printf("%s trouble=%v violations=%d\n", name, trouble, len(violations))
	if len(violations) > 0 {
		return 1
	}
	return 0
}
