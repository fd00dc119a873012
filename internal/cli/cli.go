// Package cli is the command line of dandelionspoke.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// Exit codes of the command.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailed means a fault in an input file or a failed operation.
	ExitFailed = 1
	// ExitUsage means unknown commands, flags or arguments.
	ExitUsage = 2
)

const programName = "dandelionspoke"

const description = "Load balancer for backend servers whose load changes within milliseconds.\n\n" +
	"Exit codes: 0 success, 1 fault in an input file or failed operation, 2 usage error."

type commands struct {
	Node       nodeCommand       `cmd:"" help:"Run a node beside a backend server."`
	Check      checkCommand      `cmd:"" help:"Check a settings or bundle file and report each fault."`
	Bundle     bundleCommand     `cmd:"" help:"Make, approve and roll out bundles."`
	Dump       dumpCommand       `cmd:"" help:"Print the state of a node as JSON."`
	Demo       demoCommand       `cmd:"" help:"Run the whole path on loopback in one process and report what callers saw."`
	Version    versionCommand    `cmd:"" help:"Print the version and build information."`
	Completion completionCommand `cmd:"" help:"Print a completion script for bash."`
	Backend    backendCommand    `cmd:"" hidden:"" help:"Run a stand-in backend server."`
	Store      storeCommand      `cmd:"" hidden:"" help:"Run a stand-in object API."`
}

// output is where commands write. Results go to out; progress, logs and errors go to err.
type output struct{ out, err io.Writer }

// Run executes the command in args, without the program name, and returns the exit code.
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

// errReported stands for faults that the command has already printed.
var errReported = errors.New("faults reported")

func exitCode(err error, stderr io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errReported):
		return ExitFailed
	default:
		fmt.Fprintf(stderr, "%s: %v\n", programName, err)
		return ExitFailed
	}
}
