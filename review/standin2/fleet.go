package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the platform passes them to each node.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 6,
	"lost_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2,
	"budget_window_s": 10, "retry_budget_min": 60, "recover_s": 15, "probes_per_s": 60,
}

// fleet holds the machines of a small deployment and the platform's store.
type fleet struct {
	record     *recorder
	program    string
	repository string
	folder     string // temporary
	store      *store
	machines   []*machine
}

// machine is a VM with a node and the address of its backend server.
type machine struct {
	fleet                                    *fleet
	name, ip, zone, service                  string
	outbound, control, ready, peer, app, adm string
	metrics                                  string
	settings                                 string // file
	process                                  *exec.Cmd
	exited                                   chan struct{}
}

func newFleet(r *recorder, program, repository string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, program: program, repository: repository, folder: folder, store: s}, nil
}

// add adds a machine that hosts a backend server of the service. Its node is not started yet.
func (f *fleet) add(service, zone string) (*machine, error) {
	n := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("127.0.1.%d", n), zone: zone, service: service}
	for _, address := range []*string{&m.outbound, &m.control, &m.ready, &m.peer, &m.app, &m.adm, &m.metrics} {
		l, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return nil, err
		}
		*address = l.Addr().String()
		defer l.Close()
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// addMachines adds a machine for each of the services, in two zones in turn.
func (f *fleet) addMachines(services ...string) error {
	for i, service := range services {
		if _, err := f.add(service, []string{"zone-a", "zone-b"}[i%2]); err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts the nodes of all machines and waits until they are ready.
func (f *fleet) startNodes() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy file.
func (m *machine) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(m.fleet.repository, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	_, peerPort, err := net.SplitHostPort(m.peer)
	if err != nil {
		return err
	}
	text := strings.NewReplacer(
		"{{node}}", m.name, "{{region}}", "region-1", "{{zone}}", m.zone, "{{ip}}:9100", m.metrics, "{{ip}}", m.ip,
		"{{internal_ports.0}}", peerPort, "{{listen.outbound}}", m.outbound, "{{listen.control}}", m.control,
		"{{listen.ready}}", m.ready, "{{service}}", m.service, "{{app_addr}}", m.app, "{{platform.address}}", m.fleet.store.address,
		"{{bounds.grace_s}}", fmt.Sprint(bounds["grace_s"]), "{{bounds.retry_budget_ratio}}", fmt.Sprint(bounds["retry_budget_ratio"]),
		"{{bounds.retry_budget_min}}", fmt.Sprint(bounds["retry_budget_min"]), "{{bounds.budget_window_s}}", fmt.Sprint(bounds["budget_window_s"]),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return errors.New("the template of the settings has an unknown placeholder")
	}
	m.settings = filepath.Join(m.fleet.folder, m.name+".toml")
	return os.WriteFile(m.settings, []byte(text+"\n[admin]\nlisten = \""+m.adm+"\"\n"), 0o600)
}

// start starts the node with the command and the environment of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	encoded, err := json.Marshal(bounds)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.process = exec.Command(m.fleet.program, "node", "--settings", m.settings)
	m.process.Dir = m.fleet.repository
	m.process.Env = append(os.Environ(), "DANDELIONSPOKE_PLATFORM_BOUNDS="+string(encoded), "DANDELIONSPOKE_SETTINGS="+m.settings)
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(p *exec.Cmd) {
		_ = p.Wait()
		close(exited)
	}(m.process)
	m.fleet.record.printf("node %s started", m.name)
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.fleet.record.printf("node %s gets %s", m.name, s)
	_ = m.process.Process.Signal(s)
}

// kill ends the node and waits until it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

func (m *machine) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + m.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", m.name)
}

// stop ends all nodes. With KEEP_LOGS set, their logs are copied to that folder.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(f.folder))
	}
	_ = os.RemoveAll(f.folder)
}

// route is a route of the operator's configuration.
type route struct {
	host, prefix, service string
	idempotent            bool
	timeout               time.Duration
}

// configure writes a configuration to the store, as the operator does.
func (f *fleet) configure(version int, routes []route) error {
	services := map[string]bool{}
	var listeners, clusters []any
	for i, r := range routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		services[r.service] = true
		listeners = append(listeners, map[string]any{"hostname": r.host, "rules": []any{map[string]any{
			"name": fmt.Sprintf("r-%d", i), "route_kind": kind, "target_latency_ms": 500, "priority": 1,
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeout.Milliseconds(), "max_attempts": 2},
		}}})
	}
	for _, m := range f.machines {
		services[m.service] = true
	}
	for name := range services {
		clusters = append(clusters, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 240, "protocol": "h1", "tls": false})
	}
	f.record.printf("configuration %d is written", version)
	return f.store.put("config", "main", map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": listeners, "clusters": clusters,
	})
}

// heartbeat sends one heartbeat of a backend server to the node on its machine and reports whether it was acknowledged.
func (m *machine) heartbeat(id string, born int64, sequence int, state string) bool {
	body, err := json.Marshal(map[string]any{
		"address": m.app, "born": born,
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": sequence, "slow_start_ms": 0},
	})
	if err != nil {
		return false
	}
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+m.control+"/rpc?call=instances.heartbeat&of="+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// deregister sends the deregistration of a backend server to the node on its machine and reports whether it was acknowledged.
func (m *machine) deregister(id string, born int64) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"born":%d}`, born)
	resp, err := client.Post("http://"+m.control+"/rpc?call=instances.deregister&of="+id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
