// Command cmd compares journal entries of scores with a baseline, prints one line for each, and exits with status 1 if
// one of them is not acceptable. See scripts/regression.
package main

import (
	"fmt"
	"os"

	"dandelionspoke/internal/regression"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: cmd BASELINE ENTRY...")
		os.Exit(2)
	}
	ok, err := run(os.Args[1], os.Args[2:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if !ok || err != nil {
		os.Exit(1)
	}
}

func run(baselineFile string, entries []string) (allOK bool, err error) {
	f, err := os.Open(baselineFile)
	if err != nil {
		return false, err
	}
	defer f.Close()
	baseline, err := regression.ReadBaseline(f)
	if err != nil {
		return false, err
	}
	allOK = true
	for _, name := range entries {
		data, err := os.ReadFile(name)
		if err != nil {
			return false, err
		}
		summary, err := regression.Parse(data)
		if err != nil {
			return false, fmt.Errorf("%s: %w", name, err)
		}
		line, ok := baseline.Compare(summary)
		fmt.Println(line)
		allOK = allOK && ok
	}
	return allOK, nil
}
