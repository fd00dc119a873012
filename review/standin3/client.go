package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientConn is a client's connection to the outbound address of its machine.
type clientConn struct {
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

// request is one attempt of a client.
type request struct {
	id, method, host, path string
	deadline               time.Duration
	body                   string
	sentAt                 time.Time
}

// answer is what a client got for a request. err is set if the connection ended without a complete answer.
type answer struct {
	status     int
	stamp      string
	body       []byte
	retryAfter string
	close      bool
	err        error
	at         time.Time
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }

func newRequest(method, host, path string, deadline time.Duration) *request {
	return &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, host: host, path: path, deadline: deadline}
}

func dial(rec *record, address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		rec.write("client: no connection to %s: %v", address, err)
		return nil, err
	}
	return &clientConn{record: rec, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends requests with one write.
func (c *clientConn) send(requests ...*request) error {
	var text strings.Builder
	for _, q := range requests {
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
		if q.method != http.MethodGet {
			fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
		}
		text.WriteString("\r\n" + q.body)
		q.sentAt = time.Now()
		c.record.write("client: request %s %s %s sent to %s from %s, body of %d bytes, deadline %v", q.id, q.method, q.path, c.conn.RemoteAddr(), c.conn.LocalAddr(), len(q.body), q.deadline)
	}
	go func() { _, _ = io.WriteString(c.conn, text.String()) }() // an answer may come before the end of a long body
	return nil
}

// receive reads the answer to a request until its deadline and a little longer.
func (c *clientConn) receive(q *request) answer {
	_ = c.conn.SetReadDeadline(q.sentAt.Add(q.deadline + time.Second))
	a := c.read(q)
	a.at = time.Now()
	if a.err != nil {
		c.record.write("client: request %s got no complete answer: %v", q.id, a.err)
	} else {
		c.record.write("client: request %s got %d, stamp %q, body of %d bytes%s", q.id, a.status, a.stamp, len(a.body), ownText(a))
	}
	return a
}

func (c *clientConn) read(q *request) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{
		status: resp.StatusCode, stamp: resp.Header.Get("Server-Stamp"), body: body, retryAfter: resp.Header.Get("Retry-After"),
		close: resp.Close, err: err,
	}
}

// ownText returns the text of an answer of the node's own.
func ownText(a answer) string {
	if a.stamp != "" {
		return ""
	}
	return ": " + strings.TrimSpace(string(a.body))
}
