package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	slots             = 12
)

// endpoint stands in for the application endpoint beside a node. The path of a request states how long it works: the element
// "work-N" means N ms, "size-N" a body of N bytes.
type endpoint struct {
	id, service, zone, address, control string
	born                                int64
	record                              *record
	running                             atomic.Int64
	sequence                            atomic.Int64
	left                                atomic.Bool
}

func startEndpoint(id, service, zone, ip, control string, rec *record) *endpoint {
	l := listen(ip)
	e := &endpoint{id: id, service: service, zone: zone, address: l.Addr().String(), control: control, born: time.Now().UnixMilli(), record: rec}
	go func() { _ = http.Serve(l, e) }()
	return e
}

// beat sends heartbeats until the process ends or the endpoint leaves.
func (e *endpoint) beat() {
	for !e.left.Load() {
		if !e.deliver("instances.heartbeat", e.heartbeat()) {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// heartbeat returns the body of the next heartbeat.
func (e *endpoint) heartbeat() []byte {
	body, _ := json.Marshal(map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "sequence": e.sequence.Add(1), "slow_start_ms": 0},
	})
	return body
}

// deliver sends a call to the node and reports whether it was acknowledged.
func (e *endpoint) deliver(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+e.control+"/rpc?call="+call+"&of="+e.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", e.running.Load(), slots))
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running.Load() >= slots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.record.run(id, e.id, "starts "+r.Method+" "+r.URL.RequestURI()+", Deadline-Ms "+r.Header.Get("Deadline-Ms"))
	work, size := 20*time.Millisecond, 200
	for _, part := range strings.Split(r.URL.Path, "/") {
		if text, ok := strings.CutPrefix(part, "work-"); ok {
			ms, _ := strconv.Atoi(text)
			work = time.Duration(ms) * time.Millisecond
		}
		if text, ok := strings.CutPrefix(part, "size-"); ok {
			size, _ = strconv.Atoi(text)
		}
	}
	deadline := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(min(work, deadline)):
	case <-r.Context().Done():
		e.record.run(id, e.id, "is dropped, its connection has closed")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		e.record.run(id, e.id, "is dropped, the rest of its body could not be read: "+err.Error())
		return
	}
	w.Header().Set("Server-Stamp", e.id+"."+id)
	if work > deadline {
		w.WriteHeader(http.StatusGatewayTimeout)
		e.record.run(id, e.id, "ends, 504")
		return
	}
	body := answerBody(e.id, id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write(body)
	outcome := "ends, 200"
	if err != nil {
		outcome = "ends, but its answer could not be written"
	}
	e.record.run(id, e.id, outcome)
}

// answerBody returns the body of the answer of an endpoint to a request.
func answerBody(endpoint, id string, size int) []byte {
	line := []byte(endpoint + " " + id + "\n")
	return bytes.Repeat(line, size/len(line)+1)
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("listen on %s: %v", ip, err)
	}
	return l
}
