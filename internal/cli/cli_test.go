package cli

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	code = Run(args, &out, &err)
	return code, out.String(), err.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "n.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	bad := write(t, "colour = 1\n")
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"help", []string{"--help"}, ExitOK},
		{"help of a command", []string{"check", "--help"}, ExitOK},
		{"version", []string{"version"}, ExitOK},
		{"no command", nil, ExitUsage},
		{"unknown command", []string{"frobnicate"}, ExitUsage},
		{"unknown flag", []string{"version", "--frobnicate"}, ExitUsage},
		{"missing argument", []string{"check"}, ExitUsage},
		{"missing flag", []string{"node"}, ExitUsage},
		{"missing file", []string{"check", bad + ".none"}, ExitFailed},
		{"faulty settings", []string{"check", bad}, ExitFailed},
		{"node with faulty settings", []string{"node", "--settings", bad}, ExitFailed},
		{"node with missing settings", []string{"node", "--settings", bad + ".none"}, ExitFailed},
		{"unsupported shell", []string{"completion", "fish"}, ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, out, errText := run(t, tt.args...); got != tt.want {
				t.Errorf("exit code %d, want %d\n%s%s", got, tt.want, out, errText)
			}
		})
	}
}

// Guards against faults without place or remedy.
func TestCheckReportsFaults(t *testing.T) {
	path := write(t, "region = \"r\"\ncolour = 1\n[log]\nlevel = \"loud\"\n")
	code, _, stderr := run(t, "check", path)
	if code != ExitFailed {
		t.Errorf("exit code %d", code)
	}
	for _, want := range []string{path + ":2: colour: ", path + ":4: log.level: ", "allowed: \"debug\", \"info\", \"warn\" or \"error\""} {
		if !strings.Contains(stderr, want) {
			t.Errorf("no %q in\n%s", want, stderr)
		}
	}
}

// Guards against a completion script that bash rejects or that offers nothing.
func TestCompletion(t *testing.T) {
	_, script, _ := run(t, "completion")
	complete := func(words string) string {
		cmd := exec.Command("bash", "-c", script+"\nCOMP_WORDS=("+words+"); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _dandelionspoke; echo ${COMPREPLY[@]}")
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return strings.TrimSpace(string(out))
	}
	if got := complete("dandelionspoke ver"); got != "version" {
		t.Errorf("completed ver to %q", got)
	}
	if got := complete("dandelionspoke node --set"); got != "--settings" {
		t.Errorf("completed node --set to %q", got)
	}
	if got := complete("dandelionspoke backe"); slices.Contains(strings.Fields(got), "backend") {
		t.Errorf("hidden command offered: %q", got)
	}
}
