package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

const bundleText = `version = 1

[services.katalog]
slots = 8
connections = 50

[[routes]]
name = "katalog"
service = "katalog"
path_prefix = "/katalog"
timeout = "10s"

[[routes]]
name = "orders"
service = "katalog"
path_prefix = "/katalog/orders"
timeout = "10s"
max_body_bytes = 100000
`

// fleet is a store, nodes and backend servers as separate processes.
type fleet struct {
	t        *testing.T
	dir      string
	store    *process
	keys     [2]string
	nodes    []*process
	settings []string
	backends []*process
}

// startFleet starts n nodes with a backend server each, rolls out a bundle and waits until every ingress answers.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.store = start(t, "store")
	f.rollout()
	for i := range n {
		f.addNode(i)
	}
	for _, node := range f.nodes {
		f.waitReady(node)
	}
	return f
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) write(name, text string) string {
	f.t.Helper()
	if err := os.WriteFile(f.path(name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return f.path(name)
}

func (f *fleet) rollout() {
	f.t.Helper()
	for i, name := range []string{"ann", "bo"} {
		f.keys[i] = strings.TrimSpace(must(f.t, "bundle", "keygen", name, "--out", f.path(name+".key")))
	}
	file := f.write("bundle.toml", bundleText)
	must(f.t, "check", file)
	must(f.t, "bundle", "sign", file, "--key", f.path("ann.key"), "--out", f.path("bundle.signed"))
	must(f.t, "bundle", "approve", f.path("bundle.signed"), "--key", f.path("bo.key"), "--trusted", f.path("ann.key.pub"))
	must(f.t, "bundle", "rollout", f.path("bundle.signed"), "--store", f.store.fields["store"], "--expect-version", "0",
		"--trusted", f.path("ann.key.pub"), "--trusted", f.path("bo.key.pub"))
}

// addNode starts a node on free ports and pins them in its settings for a restart.
func (f *fleet) addNode(i int) {
	f.t.Helper()
	zero := "127.0.0.1:0"
	file := f.writeSettings(i, zero, zero, zero, zero, zero)
	node := start(f.t, "node", "--settings", file)
	a := node.fields
	f.settings = append(f.settings, f.writeSettings(i, a["ingress"], a["peer"], a["udp"], a["admin"], a["announce"]))
	f.nodes = append(f.nodes, node)
	f.backends = append(f.backends, start(f.t, "backend",
		"--id", fmt.Sprintf("katalog-%d", i), "--service", "katalog", "--slots", "8", "--connections", "50",
		"--announce", a["announce"], "--ingress", a["ingress"]))
}

func (f *fleet) writeSettings(i int, ingress, peer, udp, admin, announce string) string {
	seeds := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		seeds = append(seeds, strconv.Quote(n.fields["peer"]))
	}
	text := fmt.Sprintf(`node_id = "node-%d"
region = "ostlandet"
failure_domain = "oslo-%c"
seeds = [%s]
drain_timeout = "20s"
[ingress]
listen = %q
header_timeout = "500ms"
max_header_bytes = 8192
[peer]
listen = %q
[gossip]
listen = %q
[admin]
listen = %q
[announce]
listen = %q
[store]
url = %q
[bundle]
trusted_keys = [%q]
approver_keys = [%q]
`, i, 'a'+i%2, strings.Join(seeds, ", "), ingress, peer, udp, admin, announce, f.store.fields["store"], f.keys[0], f.keys[1])
	return f.write(fmt.Sprintf("node-%d.toml", i), text)
}

// readyTimeout bounds the time until a started node answers requests.
const readyTimeout = 20 * time.Second

func (f *fleet) waitReady(node *process) {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + node.fields["ingress"] + "/katalog/ready")
		if err != nil {
			last = err.Error()
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status + " " + resp.Header.Get(verdict.ReasonHeader)
	}
	f.t.Fatalf("%s is not ready: %s", node.name, last)
}

// restart ends node i with SIGTERM and starts it again on the same addresses.
func (f *fleet) restart(i int) {
	f.t.Helper()
	if code := f.nodes[i].terminate(); code != 0 {
		f.t.Errorf("node %d: exit code %d after SIGTERM", i, code)
	}
	f.nodes[i] = start(f.t, "node", "--settings", f.settings[i])
	f.waitReady(f.nodes[i])
}

// runs returns the merged run logs of the backend servers.
func (f *fleet) runs() map[string]backendtest.Run {
	f.t.Helper()
	merged := map[string]backendtest.Run{}
	for _, b := range f.backends {
		resp, err := http.Get("http://" + b.fields["backend"] + backendtest.RunsPath)
		if err != nil {
			f.t.Fatal(err)
		}
		var runs map[string]backendtest.Run
		err = json.NewDecoder(resp.Body).Decode(&runs)
		resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		for id, r := range runs {
			r.Started += merged[id].Started
			merged[id] = r
		}
	}
	return merged
}

// request builds a request whose answer has n bytes.
func request(ctx context.Context, t *testing.T, method, address, path, id string, n int, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(backendtest.RequestIDHeader, id)
	req.Header.Set(backendtest.ReplyBytesHeader, strconv.Itoa(n))
	return req
}
