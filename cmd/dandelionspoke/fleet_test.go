package main

import (
	"context"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
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

// fleet is a store, nodes and backend servers, each a process of its own.
type fleet struct {
	t             *testing.T
	dir           string
	store         *process
	publicKeys    [2]string // of the author and the approver
	nodes         []*process
	settingsFiles []string
	backends      []*process
	places        []place  // of the nodes; by default all nodes are in one region
	extraSettings string   // added to the settings of each node
	backendFlags  []string // added to the flags of each backend server
}

type place struct{ region, domain string }

// startFleet starts a store, rolls out a bundle, starts n nodes with one backend server each and waits until every
// ingress responds with 200.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.store = startProcess(t, "store")
	f.rolloutBundle()
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

func (f *fleet) rolloutBundle() {
	f.t.Helper()
	f.generateKeys()
	f.rollout(bundleText, 0, f.store.fields["store"])
}

func (f *fleet) generateKeys() {
	f.t.Helper()
	for i, name := range []string{"ann", "bo"} {
		f.publicKeys[i] = strings.TrimSpace(mustRun(f.t, "bundle", "keygen", name, "--out", f.path(name+".key")))
	}
}

// rollout signs a bundle and replaces the version that is in force, 0 if there is none.
func (f *fleet) rollout(text string, inForce int, storeURL string) {
	f.t.Helper()
	file := f.write("bundle.toml", text)
	mustRun(f.t, "check", file)
	mustRun(f.t, "bundle", "sign", file, "--key", f.path("ann.key"), "--out", f.path("bundle.signed"))
	mustRun(f.t, "bundle", "approve", f.path("bundle.signed"), "--key", f.path("bo.key"), "--trusted", f.path("ann.key.pub"))
	mustRun(f.t, "bundle", "rollout", f.path("bundle.signed"), "--store", storeURL, "--expect-version", strconv.Itoa(inForce),
		"--trusted", f.path("ann.key.pub"), "--trusted", f.path("bo.key.pub"))
}

// Ports of nodes. They are below the range from which the kernel takes the ports of other listeners and connections, so
// that no other process gets the port of a node while the node restarts.
const (
	firstNodePort = 22_000
	nodePorts     = 9_000
)

// usedAddresses holds the addresses that freeAddress has returned. An address is bound only some time later, and drawing one
// twice for a node makes its start fail.
var usedAddresses sync.Map

// freeAddress returns a loopback address whose TCP and UDP port is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstNodePort+mathrand.IntN(nodePorts))
		if _, used := usedAddresses.LoadOrStore(address, true); used {
			continue
		}
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		udp.Close()
		return address
	}
	t.Fatal("no free port found")
	return ""
}

// addNode starts a node on free ports, which it keeps when it restarts, and its backend server.
func (f *fleet) addNode(i int) {
	f.t.Helper()
	free := func() string { return freeAddress(f.t) }
	f.settingsFiles = append(f.settingsFiles, f.writeSettings(i, free(), free(), free(), free(), free()))
	node := startProcess(f.t, "node", "--settings", f.settingsFiles[i])
	a := node.fields
	f.nodes = append(f.nodes, node)
	f.backends = append(f.backends, startProcess(f.t, append([]string{"backend",
		"--id", fmt.Sprintf("katalog-%d", i), "--service", "katalog", "--slots", "8", "--connections", "50",
		"--announce", a["announce"], "--ingress", a["ingress"]}, f.backendFlags...)...))
}

func (f *fleet) writeSettings(i int, ingress, peer, udp, admin, announce string) string {
	seeds := make([]string, 0, len(f.nodes))
	for _, n := range f.nodes {
		seeds = append(seeds, strconv.Quote(n.fields["peer"]))
	}
	at := place{"ostlandet", fmt.Sprintf("oslo-%c", 'a'+i%2)}
	if len(f.places) > 0 {
		at = f.places[i]
	}
	text := fmt.Sprintf(`node_id = "node-%d"
region = %q
failure_domain = %q
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
`, i, at.region, at.domain, strings.Join(seeds, ", "), ingress, peer, udp, admin, announce, f.store.fields["store"], f.publicKeys[0], f.publicKeys[1])
	return f.write(fmt.Sprintf("node-%d.toml", i), text+f.extraSettings)
}

// readyTimeout limits the time until a started node responds to requests with 200.
const readyTimeout = 20 * time.Second

func (f *fleet) waitReady(node *process) {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	lastResult := ""
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + node.fields["ingress"] + "/katalog/ready")
		if err != nil {
			lastResult = err.Error()
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		lastResult = resp.Status + " " + resp.Header.Get(verdict.ReasonHeader)
	}
	f.t.Fatalf("%s is not ready within the timeout; last result: %s", node.name, lastResult)
}

// restart stops node i with SIGTERM and starts it again on the same addresses.
func (f *fleet) restart(i int) {
	f.t.Helper()
	if code := f.nodes[i].terminate(); code != 0 {
		f.t.Errorf("node %d: exit code %d after SIGTERM", i, code)
	}
	f.nodes[i] = startProcess(f.t, "node", "--settings", f.settingsFiles[i])
	f.waitReady(f.nodes[i])
}

// runs returns the runs that the backend servers logged, by request ID. Started is the sum over all servers.
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

// newRequest returns a request with the given request ID that asks the backend server for responseBytes bytes.
func newRequest(ctx context.Context, t *testing.T, method, address, path, id string, responseBytes int, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(backendtest.RequestIDHeader, id)
	req.Header.Set(backendtest.ReplyBytesHeader, strconv.Itoa(responseBytes))
	return req
}
