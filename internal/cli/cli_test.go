package cli

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dandelionspoke/internal/objectstoretest"
)

func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	code = Run(args, &out, &err)
	return code, out.String(), err.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "n.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	bad := writeFile(t, "colour = 1\n")
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
			if got, out, errText := runCommand(t, tt.args...); got != tt.want {
				t.Errorf("exit code %d, want %d\n%s%s", got, tt.want, out, errText)
			}
		})
	}
}

// Guards against errors in a file that are printed without their line or the allowed values.
func TestCheckReportsErrors(t *testing.T) {
	path := writeFile(t, "region = \"r\"\ncolour = 1\n[log]\nlevel = \"loud\"\n")
	code, _, stderr := runCommand(t, "check", path)
	if code != ExitFailed {
		t.Errorf("exit code %d, want ExitFailed", code)
	}
	for _, want := range []string{path + ":2: colour: ", path + ":4: log.level: ", "allowed: \"debug\", \"info\", \"warn\" or \"error\""} {
		if !strings.Contains(stderr, want) {
			t.Errorf("stderr lacks %q:\n%s", want, stderr)
		}
	}
}

// Guards against a dump that ignores an error status or does not send the token.
func TestDump(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/dump" || r.Header.Get("Authorization") != "Bearer secret" {
			http.Error(w, "a bearer token is required", http.StatusUnauthorized)
			return
		}
		io.WriteString(w, "{}")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	if code, _, errText := runCommand(t, "dump", address); code != ExitFailed || !strings.Contains(errText, "401") {
		t.Errorf("without a token: exit code %d, %s", code, errText)
	}
	if code, out, _ := runCommand(t, "dump", address, "--token", "secret"); code != ExitOK || out != "{}" {
		t.Errorf("with the token: exit code %d, %s", code, out)
	}
}

// Guards against a completion script that bash rejects, that completes nothing, or that offers hidden commands.
func TestCompletion(t *testing.T) {
	_, script, _ := runCommand(t, "completion")
	complete := func(words string) string {
		cmd := exec.Command("bash", "-c", script+"\nCOMP_WORDS=("+words+"); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _dandelionspoke; echo ${COMPREPLY[@]}")
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return strings.TrimSpace(string(out))
	}
	if got := complete("dandelionspoke ver"); got != "version" {
		t.Errorf("completion of ver: got %q, want version", got)
	}
	if got := complete("dandelionspoke node --set"); got != "--settings" {
		t.Errorf("completion of node --set: got %q, want --settings", got)
	}
	if got := complete("dandelionspoke backe"); slices.Contains(strings.Fields(got), "backend") {
		t.Errorf("completion offers a hidden command: %q", got)
	}
}

// Guards against an evacuation that is reported although the store or the node has not accepted it, or that does not end.
func TestEvacuate(t *testing.T) {
	store := objectstoretest.New()
	server := httptest.NewServer(store)
	defer server.Close()
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/evacuations/oslo-a" || r.Method != http.MethodPut {
			http.Error(w, "no access to the store", http.StatusServiceUnavailable)
		}
	}))
	defer node.Close()
	address := strings.TrimPrefix(node.URL, "http://")
	for _, step := range []struct {
		args  []string
		code  int
		count int
	}{
		{[]string{"evacuate", "oslo-a"}, ExitUsage, 0},
		{[]string{"evacuate", "a/b", "--store", server.URL}, ExitFailed, 0},
		{[]string{"evacuate", "oslo-a", "--store", server.URL}, ExitOK, 1},
		{[]string{"evacuate", "oslo-a", "--store", server.URL}, ExitOK, 1},
		{[]string{"evacuate", "oslo-a", "--end", "--store", server.URL}, ExitOK, 0},
		{[]string{"evacuate", "oslo-a", "--end", "--store", server.URL}, ExitOK, 0},
		{[]string{"evacuate", "oslo-a", "--admin", address}, ExitOK, 0},
		{[]string{"evacuate", "oslo-a", "--end", "--admin", address}, ExitFailed, 0},
	} {
		code, out, errText := runCommand(t, step.args...)
		objects, err := store.List(t.Context(), "evacuations/")
		if code != step.code || err != nil || len(objects) != step.count {
			t.Errorf("%v: exit code %d, want %d; %d objects, want %d, %v\n%s%s", step.args, code, step.code, len(objects), step.count, err, out, errText)
		}
	}
}

// Guards against a rollout that ignores the expected version, the approval, or a concurrent rollout that came first.
func TestBundleCommands(t *testing.T) {
	server := httptest.NewServer(objectstoretest.New())
	defer server.Close()
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	text := "version = 1\n[services.katalog]\nslots = 8\n[[routes]]\nname = \"katalog\"\nservice = \"katalog\"\npath_prefix = \"/katalog\"\n"
	for name, content := range map[string]string{"b.toml": text, "other.toml": strings.Replace(text, "8", "9", 1), "bad.toml": strings.Replace(text, "slots", "slotts", 1)} {
		if err := os.WriteFile(path(name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	trusted := []string{"--trusted", path("ann.key.pub"), "--trusted", path("bo.key.pub")}
	rollout := func(file string) []string {
		return append([]string{"bundle", "rollout", path(file), "--store", server.URL, "--expect-version", "0"}, trusted...)
	}
	steps := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"bundle", "keygen", "ann", "--out", path("ann.key")}, ExitOK, "ann ed25519 "},
		{[]string{"bundle", "keygen", "ann", "--out", path("ann.key")}, ExitFailed, "file exists"},
		{[]string{"bundle", "keygen", "bo", "--out", path("bo.key")}, ExitOK, "bo ed25519 "},
		{[]string{"check", path("b.toml")}, ExitOK, "ok"},
		{[]string{"check", path("bad.toml")}, ExitFailed, "bad.toml:3: services.katalog.slotts"},
		{[]string{"bundle", "sign", path("bad.toml"), "--key", path("ann.key"), "--out", path("bad")}, ExitFailed, "slotts"},
		{[]string{"bundle", "sign", path("b.toml"), "--key", path("ann.key"), "--out", path("b")}, ExitOK, "version=1 author=ann"},
		{rollout("b"), ExitFailed, "approver"},
		{[]string{"bundle", "approve", path("b"), "--key", path("ann.key"), "--trusted", path("ann.key.pub")}, ExitFailed, "another key"},
		{[]string{"bundle", "approve", path("b"), "--key", path("bo.key"), "--trusted", path("ann.key.pub")}, ExitOK, "approver=bo"},
		{[]string{"bundle", "status", "--store", server.URL}, ExitOK, "version=0"},
		{rollout("b"), ExitOK, "msg=rolled_out version=1"},
		{[]string{"bundle", "sign", path("other.toml"), "--key", path("ann.key"), "--out", path("other")}, ExitOK, "version=1"},
		{[]string{"bundle", "approve", path("other"), "--key", path("bo.key"), "--trusted", path("ann.key.pub")}, ExitOK, "approver=bo"},
		{rollout("other"), ExitFailed, "version 1 by ann"},
		{[]string{"bundle", "history", "--store", server.URL}, ExitOK, "version=1 previous=0"},
		{[]string{"bundle", "restore", "1", "--store", server.URL, "--out", path("restored")}, ExitOK, "from=1 version=2"},
		{[]string{"bundle", "sign", path("restored"), "--key", path("ann.key"), "--out", path("restored")}, ExitOK, "version=2"},
	}
	for _, step := range steps {
		code, out, errText := runCommand(t, step.args...)
		if code != step.code || !strings.Contains(out+errText, step.want) {
			t.Errorf("%v: exit code %d, want %d with %q; got\n%s%s", step.args, code, step.code, step.want, out, errText)
		}
	}
}
