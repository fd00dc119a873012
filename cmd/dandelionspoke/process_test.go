package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binary is the path of the command under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dandelionspoke")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "dandelionspoke")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running dandelionspoke command.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  lockedBuffer // standard error, and standard output after the msg=listening line
	// fields are the key=value pairs of the msg=listening line that the command prints.
	fields    map[string]string
	listening chan string // receives that line
	exited    chan struct{}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns what was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// processTimeout limits the time until a started process listens and until a stopped one exits.
const processTimeout = 40 * time.Second

// startProcess starts a command and returns when the command has printed its msg=listening line.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := spawnProcess(t, args...)
	p.awaitListening()
	return p
}

// spawnProcess starts a command.
func spawnProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{
		t: t, name: strings.Join(args, " "), cmd: exec.Command(binary, args...),
		listening: make(chan string, 1), exited: make(chan struct{}),
	}
	p.cmd.Stderr = &p.log
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	go func() {
		lines := bufio.NewScanner(stdout)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "msg=listening ") {
				p.listening <- lines.Text()
			} else {
				fmt.Fprintln(&p.log, lines.Text()) // a node logs to standard output
			}
		}
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

func (p *process) awaitListening() {
	p.t.Helper()
	select {
	case line := <-p.listening:
		p.fields = parseFields(line)
	case <-p.exited:
		p.t.Fatalf("%s exited before it listened: %s", p.name, p.log.String())
	case <-time.After(processTimeout):
		p.t.Fatalf("%s does not listen within the timeout: %s", p.name, p.log.String())
	}
}

func parseFields(line string) map[string]string {
	fields := map[string]string{}
	for _, word := range strings.Fields(line) {
		key, value, _ := strings.Cut(word, "=")
		fields[key] = value
	}
	return fields
}

func (p *process) kill() {
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if p.t.Failed() {
		p.t.Logf("%s: log:\n%s", p.name, tail(p.log.String()))
		p.keepLog()
	}
}

// keepLog writes the whole log to a file in the directory SOAK_LOGS if that is set, to trace a failed seed.
func (p *process) keepLog() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	name := strings.NewReplacer("/", "_", " ", "_").Replace(fmt.Sprintf("%s-%d-%s", p.t.Name(), p.cmd.Process.Pid, filepath.Base(p.name)))
	if err := os.WriteFile(filepath.Join(dir, name+".log"), []byte(p.name+"\n"+p.log.String()), 0o600); err != nil {
		p.t.Log(err)
	}
}

// tail returns the last bytes of a log.
func tail(text string) string {
	const limit = 4000 // bytes
	return text[max(0, len(text)-limit):]
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s: signal %v: %v", p.name, s, err)
	}
}

// wait waits until the process exits and returns the exit code.
func (p *process) wait() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(processTimeout):
		p.t.Fatalf("%s does not exit within the timeout: %s", p.name, p.log.String())
	}
	return p.cmd.ProcessState.ExitCode()
}

// terminate sends SIGTERM and returns the exit code.
func (p *process) terminate() int {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	return p.wait()
}

// runCommand runs a command until it exits.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &err
	if e := cmd.Run(); cmd.ProcessState == nil {
		t.Fatal(e)
	}
	return cmd.ProcessState.ExitCode(), out.String(), err.String()
}

// mustRun runs a command, fails the test if its exit code is not 0, and returns its standard output.
func mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errText := runCommand(t, args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d: %s", args, code, errText)
	}
	return out
}

// Guards against a statically linked binary, which lacks the name service and time zone rules of libc.
func TestLinkedToLibc(t *testing.T) {
	f, err := elf.Open(binary)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("linked to %v, want libc", libraries)
	}
}
