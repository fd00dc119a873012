package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments.
const (
	graceTime   = 6 * time.Second
	contactTime = 3 * time.Second
)

var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 6,
	"lost_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2,
	"budget_window_s": 10, "retry_budget_min": 56, "recover_s": 15, "probes_per_s": 60,
}

// deployment is the store, the machines and what is recorded of them.
type deployment struct {
	dir      string
	record   *record
	store    *store
	storeURL string
	machines []*machine
	network  string // first three bytes of the addresses
}

// machine is a node and the endpoint beside it.
type machine struct {
	d                                     *deployment
	name, zone, region, service, ip       string
	outbound, control, ready, peer, admin string
	settings                              string // file
	endpoint                              *endpoint

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	closed  bool // it is not started again
}

func newDeployment(rec *record) *deployment {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{dir: dir, record: rec, store: newStore(), network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(256))}
	l := listen(d.network + ".1")
	d.storeURL = l.Addr().String()
	go d.store.serve(l)
	current.Store(d)
	return d
}

// freePorts returns different free ports of an address, as ip:port, which are free for UDP too.
func freePorts(ip string, count int) (addresses []string) {
	for len(addresses) < count {
		l := listen(ip)
		defer func() { _ = l.Close() }() // at the return, so that no port is drawn twice
		udp, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			continue
		}
		_ = udp.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// add prepares a machine. start starts it.
func (d *deployment) add(zone, region, service string) *machine {
	n := len(d.machines) + 1
	ip := fmt.Sprintf("%s.%d", d.network, 10+n)
	m := &machine{d: d, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, region: region, service: service, ip: ip}
	ports := freePorts(ip, 5)
	m.outbound, m.control, m.ready, m.peer, m.admin = ports[0], ports[1], ports[2], ports[3], ports[4]
	m.endpoint = startEndpoint(fmt.Sprintf("i-%08x", rand.Uint32()), service, zone, ip, m.control, d.record)
	m.settings = filepath.Join(d.dir, m.name+".toml")
	d.machines = append(d.machines, m)
	return m
}

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings() {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		fatal("%v", err)
	}
	_, port, _ := net.SplitHostPort(m.peer)
	values := map[string]string{
		"node": m.name, "region": m.region, "zone": m.zone, "listen.outbound": m.outbound, "listen.control": m.control,
		"listen.ready": m.ready, "ip": m.ip, "internal_ports.0": port, "service": m.service, "app_addr": m.endpoint.address,
		"platform.address": m.d.storeURL,
	}
	for name, value := range bounds {
		values["bounds."+name] = fmt.Sprint(value)
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	text += "\n[admin]\nlisten = " + strconv.Quote(m.admin) + "\n"
	if strings.Contains(text, "{{") {
		fatal("a placeholder of the settings is not filled in:\n%s", text)
	}
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		fatal("%v", err)
	}
}

// start starts the node with the command of the deploy file.
func (m *machine) start() {
	m.writeSettings()
	encoded, _ := json.Marshal(bounds)
	log, err := os.OpenFile(filepath.Join(m.d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("%v", err)
	}
	process := exec.Command("target/dandelionspoke", "node", "--settings", m.settings)
	process.Env = append(os.Environ(), "DANDELIONSPOKE_PLATFORM_BOUNDS="+string(encoded))
	process.Stdout, process.Stderr = log, log
	exited := make(chan struct{})
	if err := m.launch(process, exited); err != nil {
		fatal("start of a node: %v", err)
	}
	if process.Process == nil {
		return
	}
	go func() {
		err := process.Wait()
		m.d.record.write("node %s has ended: %v", m.name, err)
		_ = log.Close()
		close(exited)
	}()
}

// launch starts a process, unless the deployment is closed.
func (m *machine) launch(process *exec.Cmd, exited chan struct{}) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	if err := process.Start(); err != nil {
		return err
	}
	m.process, m.exited = process, exited
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time, as the platform does. done is closed when the node has ended.
func (m *machine) stop() (done <-chan struct{}) {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	m.d.record.write("SIGTERM to node %s", m.name)
	_ = process.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			m.d.record.write("SIGKILL to node %s", m.name)
			_ = process.Process.Kill()
		}
	}()
	return exited
}

// kill ends the node at once and waits until it has ended.
func (m *machine) kill() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	m.d.record.write("SIGKILL to node %s", m.name)
	_ = process.Process.Kill()
	<-exited
}

// run starts all machines and waits until all are ready and each has learnt of all endpoints.
func (d *deployment) run() {
	for _, m := range d.machines {
		m.start()
		go m.endpoint.beat()
	}
	for _, m := range d.machines {
		d.await(m.name+" ready", m.isReady)
	}
	time.Sleep(2 * time.Second) // gossip of the endpoints
}

func (d *deployment) await(what string, ok func() bool) {
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			fatal("not reached: %s", what)
		}
	}
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/readyz", nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watchReadiness checks each second whether the node is ready. The channel holds an item for each check since the last receive.
func (m *machine) watchReadiness() chan bool {
	checks := make(chan bool, 100)
	go func() {
		for len(checks) < cap(checks) {
			ready := m.isReady()
			m.d.record.write("readiness check of node %s: %v", m.name, ready)
			checks <- ready
			time.Sleep(time.Second)
		}
	}()
	return checks
}

// close ends all nodes. None is started any more.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.closed = true
		process, exited := m.process, m.exited
		m.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" { // the logs of the nodes are there
		_ = os.RemoveAll(d.dir)
	}
}

// rule of a configuration.
type rule struct {
	name, host, prefix, kind, service string
	timeoutMS                         int
}

func (d *deployment) configure(version int, services []string, rules []rule) {
	listeners := []any{}
	for _, r := range rules {
		listeners = append(listeners, map[string]any{"hostname": r.host, "rules": []any{map[string]any{
			"name": r.name, "route_kind": r.kind, "target_latency_ms": 1200, "priority": 1,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMS, "max_attempts": 2},
		}}})
	}
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 220, "protocol": "h1", "tls": false})
	}
	d.store.put("config", "main", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": listeners, "clusters": clusters,
	})
}
