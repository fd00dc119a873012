package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

const (
	pipelinedCallers = 3
	// pipelinedReads is the number of reads that are sent without waiting for a response.
	pipelinedReads = 5
	// pipelinedFirstWork is the longest service time of the first of them, but for one in pipelinedLongEvery groups. That one takes
	// longer than a drain waits for its callers to leave, a quarter of the drain time.
	pipelinedFirstWork = 1500 * time.Millisecond
	pipelinedLongWork  = 6500 * time.Millisecond
	pipelinedLongEvery = 4
	// settleTime is the time after a fault in which its effects may end reads.
	settleTime = time.Second
)

// unansweredRead is a read whose connection ended without a response to it.
type unansweredRead struct {
	id          string
	node        int
	sent, ended time.Time
}

// runPipelinedCaller sends reads in groups over connections that it uses until they end.
func (s *soak) runPipelinedCaller(number int) {
	for n := number; !s.stopped.Load(); n++ {
		conn, err := net.Dial("tcp", s.ingressAddr(n))
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		reader := bufio.NewReader(conn)
		for group := 0; !s.stopped.Load() && s.sendPipelined(conn, reader, n%soakNodes, fmt.Sprintf("piped%d-%d.%d", number, n, group)); group++ {
		}
		_ = conn.Close()
	}
}

// sendPipelined sends a group of reads, of which the first one takes longest, and reports whether the connection can be used further.
func (s *soak) sendPipelined(conn net.Conn, reader *bufio.Reader, node int, group string) bool {
	var text []byte
	ids, sentAt := make([]string, pipelinedReads), time.Now()
	firstWork := rand.N(pipelinedFirstWork)
	if rand.IntN(pipelinedLongEvery) == 0 {
		firstWork = pipelinedLongWork
	}
	s.mu.Lock()
	for i := range ids {
		ids[i] = fmt.Sprintf("%s.%d", group, i)
		s.sent[ids[i]] = sentRequest{soakCaller{name: "piped"}, sentAt, false}
		work := 5 * time.Millisecond
		if i == 0 {
			work = firstWork
		}
		text = fmt.Appendf(text, "GET /katalog/open/%s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n\r\n", ids[i], backendtest.RequestIDHeader, ids[i],
			backendtest.ReplyBytesHeader, soakResponseBytes, backendtest.WorkHeader, work)
	}
	s.mu.Unlock()
	_ = conn.SetDeadline(sentAt.Add(soakRequestTimeout))
	if _, err := conn.Write(text); err != nil {
		return false
	}
	for i, id := range ids {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.recordUnanswered(ids[i:], node, sentAt)
			return false
		}
		s.readResponse(resp, soakCaller{name: "piped"}, id)
		if resp.Header.Get(verdict.Header) == verdict.NotRun.String() {
			s.mu.Lock()
			s.notRunIDs = append(s.notRunIDs, id)
			s.mu.Unlock()
			time.Sleep(retryPause)
		}
		if resp.Close {
			s.recordUnanswered(ids[i+1:], node, sentAt) // the caller takes them for not read
			return false
		}
	}
	return true
}

func (s *soak) recordUnanswered(ids []string, node int, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.unansweredReads = append(s.unansweredReads, unansweredRead{id, node, sentAt, time.Now()})
	}
}

// stopNodesInTurn terminates and restarts each node while no other fault happens.
func (s *soak) stopNodesInTurn() {
	time.Sleep(settleTime)
	for i := range soakNodes {
		end := s.beginFault(terminateNode, i)
		s.replaceNode(i, syscall.SIGTERM)
		end()
		time.Sleep(settleTime)
	}
}

// checkPipelined reports reads that ran and got no response although only a planned stop of their node happened meanwhile.
func (s *soak) checkPipelined(arrivals []backendtest.Arrival, stopsEnded time.Time) {
	ran := map[string]bool{}
	for _, a := range arrivals {
		ran[a.ID] = true
	}
	judged := 0
	for _, read := range s.unansweredReads {
		planned := read.ended.Before(stopsEnded) && slices.ContainsFunc(s.faults, func(f *soakFault) bool {
			return f.name == terminateNode && f.node == read.node && f.start.Before(read.ended) && f.end.After(read.sent)
		})
		disturbed := slices.ContainsFunc(s.faults, func(f *soakFault) bool {
			harmless := f.name == "reload node" || f.name == terminateNode && f.node == read.node
			return !harmless && f.start.Before(read.ended) && f.end.After(read.sent.Add(-settleTime))
		})
		if planned && !disturbed {
			judged++
			if ran[read.id] {
				s.errorf("read %s ran and got no response in a planned stop of node %d: sent %s, ended %s", read.id, read.node, clock(read.sent), clock(read.ended))
			}
		}
	}
	s.t.Logf("pipelined reads without a response %d, in undisturbed planned stops %d", len(s.unansweredReads), judged)
}
