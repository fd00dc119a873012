package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadHost    = "upload.example"
	uploadBytes   = 192 << 10
	uploadPiece   = 8 << 10
	uploadPause   = 20 * time.Millisecond
	uploadCount   = 8
	uploadTimeout = 2500 * time.Millisecond
	// answerBytes is the length of the answer, which is larger than what the connections between two nodes buffer.
	answerBytes = 1 << 20
)

// uploadBody returns a body whose bytes state their position.
func uploadBody() []byte {
	body := make([]byte, 0, uploadBytes)
	for len(body) < uploadBytes {
		body = binary.BigEndian.AppendUint32(body, uint32(len(body)))
	}
	return body
}

// received is what a backend server has read of a body.
type received struct {
	data     []byte
	complete bool
}

// earlyAnswer plays uploads to a backend server that answers before it has read a long body, keeps the connection and reads
// on. The rule is broken if it reads other bytes than those of the body.
func earlyAnswer(r *recorder, f *fleet, trouble bool) (bool, error) {
	if err := f.addMachines("front", "files"); err != nil {
		return false, err
	}
	if err := f.configure(7, []route{{host: uploadHost, prefix: "/put/", service: "files", timeout: uploadTimeout}}); err != nil {
		return false, err
	}
	if err := f.startNodes(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	read := map[string]received{}
	serve := func(e *endpoint, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Attempt-Id")
		readBody := func() bool {
			data, err := io.ReadAll(req.Body)
			mu.Lock()
			read[id] = received{data, err == nil}
			mu.Unlock()
			r.printf("%s has read %d bytes of %s, error: %v", e.id, len(data), id, err)
			return err == nil
		}
		answer := func() bool {
			r.printf("%s answers %s", e.id, id)
			_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", e.head(req), answerBytes, bytes.Repeat([]byte{'a'}, answerBytes))
			return err == nil
		}
		if trouble {
			return answer() && readBody()
		}
		return readBody() && answer()
	}
	if _, err := startEndpoint(f.machines[1], "i-files", serve); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all nodes are in touch
	for i := range uploadCount {
		chunked := i%2 == 0
		id := fmt.Sprintf("upload-%d", i)
		status, length, err := upload(f.machines[0].outbound, id, chunked)
		r.printf("client sent %s, chunked %t: status %d, %d bytes, error: %v", id, chunked, status, length, err)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	held, whole := true, uploadBody()
	for i := range uploadCount {
		id := fmt.Sprintf("upload-%d", i)
		got, ran := read[id]
		same := len(got.data) <= len(whole) && bytes.Equal(got.data, whole[:len(got.data)])
		switch {
		case !ran:
			r.printf("%s: the backend server did not read it", id)
			held = held && trouble
		case !same:
			r.printf("%s: read %d bytes, complete %t; from byte %d on they are others than the client sent", id, len(got.data), got.complete, firstDifference(got.data, whole))
			held = false
		case got.complete && len(got.data) != len(whole):
			r.printf("%s: read as complete with %d of %d bytes", id, len(got.data), len(whole))
			held = false
		default:
			r.printf("%s: read %d bytes, complete %t, as the client sent them", id, len(got.data), got.complete)
		}
	}
	return held, nil
}

func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// upload sends a request with a long body in pieces, and returns the status and the length of the answer.
func upload(address, id string, chunked bool) (status, length int, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(c, "POST /put/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n\r\n", id, uploadHost, id, uploadTimeout.Milliseconds(), framing)
	sent := make(chan error, 1)
	go func() { sent <- sendBody(c, chunked) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, errors.Join(err, <-sent)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n), err
}

func sendBody(c net.Conn, chunked bool) error {
	body := uploadBody()
	for len(body) > 0 {
		piece := body[:min(uploadPiece, len(body))]
		body = body[len(piece):]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := c.Write(piece); err != nil {
			return err
		}
		time.Sleep(uploadPause)
	}
	if chunked {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err
	}
	return nil
}
