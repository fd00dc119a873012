package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the site pwlc-mesh-grown.
const (
	contactTime     = 4 * time.Second
	drainTime       = 3 * time.Second
	graceTime       = 6 * time.Second
	lostTime        = 200 * time.Millisecond
	heartbeatPeriod = 1500 * time.Millisecond
)

// Ports are the same on all VMs; each VM has a loopback address of its own.
const (
	outboundPort = 18304
	readyPort    = 18302
	controlPort  = 18306
	appPort      = 18301
	adminPort    = 18090
	peerPort     = 17620
	storePort    = 18309
)

// run is one play of a case.
type run struct {
	trouble bool
	start   time.Time
	dir     string // temporary directory
	subnet  string // first three parts of the loopback addresses of this play
	store   *store
	nodes   []*node
	servers []*server

	mu     sync.Mutex
	record bytes.Buffer
	file   string
	runs   []execution
	ids    int
}

// execution is one run of a request at a server.
type execution struct {
	request, server string
	at              time.Time
}

func newRun(file string, trouble bool) (*run, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{
		trouble: trouble, start: time.Now(), dir: dir, file: file,
		subnet: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	r.log("trouble: %v", trouble)
	r.store, err = startStore(r, r.subnet+".250")
	return r, err
}

func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.record, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers of the play.
func (r *run) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	r.mu.Lock()
	servers := r.servers
	r.mu.Unlock()
	for _, s := range servers {
		s.close()
	}
	if r.store != nil {
		r.store.close()
	}
}

func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != "" {
		_ = os.WriteFile(r.file, r.record.Bytes(), 0o644)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
}

func (r *run) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("%012x%04x", rand.Uint64()>>16, r.ids)
}

// recordRun notes that a server began to work on a request.
func (r *run) recordRun(request, server string) {
	r.mu.Lock()
	r.runs = append(r.runs, execution{request, server, time.Now()})
	r.mu.Unlock()
	r.log("server %s runs %s", server, request)
}

func (r *run) runsOf(request string) []execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []execution
	for _, e := range r.runs {
		if e.request == request {
			out = append(out, e)
		}
	}
	return out
}

// node is a node process on a VM of its own.
type node struct {
	run      *run
	name, ip string
	zone     string
	service  string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

// addNode prepares a node; start starts it.
func (r *run) addNode(zone, region, service string) (*node, error) {
	number := len(r.nodes) + 1
	n := &node{run: r, name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", r.subnet, number), zone: zone, service: service}
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node}}", n.name, "{{region}}", region, "{{zone}}", zone, "{{bounds.grace_s}}", "6", "{{ip}}", n.ip,
		"{{internal_ports.0}}", fmt.Sprint(peerPort), "{{listen.outbound}}", n.addr(outboundPort),
		"{{listen.control}}", n.addr(controlPort), "{{listen.ready}}", n.addr(readyPort), "{{service}}", service,
		"{{app_addr}}", n.addr(appPort), "{{platform.address}}", r.store.addr, "{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.retry_budget_min}}", "212", "{{bounds.budget_window_s}}", "10",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("deploy/settings.toml has a placeholder that the stand-in does not fill in")
	}
	text += fmt.Sprintf("\n[admin]\nlisten = %q\n", n.addr(adminPort))
	n.settings = filepath.Join(r.dir, n.name+".toml")
	if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, n)
	return n, nil
}

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.run.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/dandelionspoke", "node", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	n.process, n.exited = cmd, exited
	n.run.log("node %s started on %s", n.name, n.ip)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.run.log("node %s gets signal %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	<-n.exited
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.addr(readyPort) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the nodes and waits until each is ready.
func (r *run) startAll() error {
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return r.waitReady(r.nodes...)
}

func (r *run) waitReady(nodes ...*node) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.log("%d nodes are ready", len(nodes))
	return nil
}

// warmUp waits until a node's requests to a path are served ten times in a row.
func (r *run) warmUp(n *node, method, path string) error {
	deadline := time.Now().Add(20 * time.Second)
	for served := 0; served < 10; {
		if time.Now().After(deadline) {
			return fmt.Errorf("no service at %s through %s", path, n.name)
		}
		a := r.send(n, method, path, 0, 4*time.Second)
		served++
		if a.status != http.StatusOK {
			served = 0
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// answer is what a client got for a request.
type answer struct {
	id     string
	status int // 0 if the connection ended without a complete answer
	stamp  string
	body   string
	err    error
}

// send sends one request on a connection of its own and waits for the answer.
func (r *run) send(n *node, method, path string, work, deadline time.Duration) answer {
	id := r.newID()
	r.log("client sends %s %s (%s) to %s", method, path, id, n.name)
	a := r.exchange(n, id, method, path, work, deadline)
	r.log("client gets %d, stamp %q, for %s, error %v, body %.60q", a.status, a.stamp, id, a.err, a.body)
	return a
}

func (r *run) exchange(n *node, id, method, path string, work, deadline time.Duration) answer {
	c, err := net.DialTimeout("tcp", n.addr(outboundPort), time.Second)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c, requestText(id, method, path, work, deadline)); err != nil {
		return answer{id: id, err: err}
	}
	return readAnswer(newReader(c), id, method)
}

// requestText returns a request. The header Work-Ms tells the stand-in of the server how long to work.
func requestText(id, method, path string, work, deadline time.Duration) string {
	body, length := "", ""
	if method == http.MethodPost {
		body = "order " + id
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nWork-Ms: %d\r\n%s\r\n%s",
		method, path, hostName, id, deadline.Milliseconds(), work.Milliseconds(), length, body)
}
