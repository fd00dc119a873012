// Package cli implements the commands of dandelionspoke.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes of the command.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means an error in an input file or a failed operation.
	ExitFailed = 1
	// ExitUsage means an unknown or missing command, flag or argument.
	ExitUsage = 2
)

const programName = "dandelionspoke"

const description = "Load balancer for backend servers whose load changes within milliseconds.\n\n" +
	"Exit codes: 0 success, 1 error in an input file or failed operation, 2 usage error."

type commands struct {
	Node       nodeCommand       `cmd:"" help:"Run a node on the VM of a backend server."`
	Check      checkCommand      `cmd:"" help:"Check a settings or bundle file and print each error in it."`
	Bundle     bundleCommand     `cmd:"" help:"Sign, approve and roll out bundles."`
	Evacuate   evacuateCommand   `cmd:"" help:"Send no more requests to the backend servers of a failure domain, or end that."`
	Dump       dumpCommand       `cmd:"" help:"Print the state of a node as JSON."`
	Demo       demoCommand       `cmd:"" help:"Run nodes, backend servers and callers on loopback in one process and print the callers' results."`
	Version    versionCommand    `cmd:"" help:"Print the version and build information."`
	Completion completionCommand `cmd:"" help:"Print a completion script for bash."`
	Backend    backendCommand    `cmd:"" hidden:"" help:"Run a backend server for tests."`
	Store      storeCommand      `cmd:"" hidden:"" help:"Run an in-memory object API for tests."`
}

// output holds the output streams of a command: stdout for results and the log of the node command, stderr for errors,
// progress and the logs of the nodes in a demo.
type output struct{ stdout, stderr io.Writer }

// Run executes the command line in args, which does not include the program name, and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	code, exited := 0, false
	parser, err := newParser(stdout, stderr, func(c int) { code, exited = c, true })
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	ctx, err := parser.Parse(args)
	if exited { // --help has printed its text
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\nRun \"%s --help\" for the commands and flags.\n", programName, err, programName)
		return ExitUsage
	}
	return exitCode(ctx.Run(output{stdout, stderr}, parser.Model), stderr)
}

func newParser(stdout, stderr io.Writer, exit func(int)) (*kong.Kong, error) {
	return kong.New(&commands{},
		kong.Name(programName),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(exit),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}

// errFaultsPrinted is returned by a command that has printed the errors in a file. exitCode does not print it.
var errFaultsPrinted = errors.New("errors in the file have been printed")

func exitCode(err error, stderr io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFaultsPrinted):
		return ExitFailed
	default:
		fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return ExitFailed
	}
}
