package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dandelionspoke/internal/backendtest"
	"dandelionspoke/internal/verdict"
)

// soakCaller sends requests with the key of an account, or without a key if account is empty.
type soakCaller struct {
	name, account, key string
	// keyed callers send each order twice with an idempotency key. Accounts use the same idempotency keys.
	keyed bool
}

const (
	hotAccount      = "hot"
	regionalAccount = "regional"
	withdrawnCaller = "withdrawn"
	withdrawnKey    = "key-withdrawn"
	forgedAccount   = "forged"
	// retryPause is the time between a response other than 200 and the caller's next request.
	retryPause        = 10 * time.Millisecond
	soakResponseBytes = 3000
)

// soakCallers have names without a hyphen, which ends the name in request IDs.
var soakCallers = append([]soakCaller{
	{"hot0", hotAccount, "key-hot", true},
	{"hot1", hotAccount, "key-hot", false},
	{"hot2", hotAccount, "key-hot", false},
	{"calm0", "calm", "key-calm", true},
	{withdrawnCaller, "rotating", withdrawnKey, false},
	{"kept", "rotating", "key-kept", false},
	{"regional0", regionalAccount, "key-regional", true},
	{"open0", "", "", false},
}, calmCallers()...)

// calmCallers returns enough callers to send more to each backend server than its slow start permits.
func calmCallers() (callers []soakCaller) {
	for i := range 10 {
		callers = append(callers, soakCaller{fmt.Sprintf("calm%d", i+1), "calm", "key-calm", false})
	}
	return callers
}

// sentRequest describes the first attempt of a request.
type sentRequest struct {
	caller soakCaller
	at     time.Time
	order  bool
}

func (s *soak) ingressAddr(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[n%soakNodes].fields["ingress"]
}

// runCaller sends orders and reads in turn until the end of the run, over persistent connections.
func (s *soak) runCaller(c soakCaller) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: soakRequestTimeout}
	for n := 0; !s.stopped.Load(); n++ {
		id := fmt.Sprintf("%s-%d", c.name, n)
		order := n%2 == 0
		s.mu.Lock()
		s.sent[id] = sentRequest{c, time.Now(), order}
		s.mu.Unlock()
		notRun := s.send(client, c, id, n, order)
		if c.keyed && order {
			// The verdict of a repeat does not cover the first attempt.
			notRun = s.send(client, c, id, n+1, order) && notRun
		}
		if notRun {
			s.mu.Lock()
			s.notRunIDs = append(s.notRunIDs, id)
			s.mu.Unlock()
		}
	}
}

// send sends one request to the ingress of node n, records the response, and reports whether it was refused as not run.
func (s *soak) send(client *http.Client, c soakCaller, id string, n int, order bool) (notRun bool) {
	method, path := http.MethodGet, "/katalog/items/"+id
	if order {
		method, path = http.MethodPost, "/katalog/orders"
	}
	if c.account == "" {
		path = "/katalog/open/" + id
	}
	req := newRequest(context.Background(), s.t, method, s.ingressAddr(n), path, id, soakResponseBytes, "body of "+id)
	req.Header.Set(backendtest.WorkHeader, "5ms")
	req.Header.Set("Dandelionspoke-Account", forgedAccount)
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if c.keyed && order {
		_, number, _ := strings.Cut(id, "-")
		req.Header.Set("Idempotency-Key", number)
	}
	req.GetBody = nil // keeps net/http from retrying the request itself
	resp, err := client.Do(req)
	if err != nil {
		time.Sleep(retryPause) // a refused or broken connection has no verdict to check
		return false
	}
	s.readResponse(resp, c, id)
	if resp.StatusCode != http.StatusOK {
		time.Sleep(retryPause)
	}
	return resp.Header.Get(verdict.Header) == verdict.NotRun.String()
}

func (s *soak) readResponse(resp *http.Response, c soakCaller, id string) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return // visibly truncated, for example by a killed node
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses[c.name+" "+strconv.Itoa(resp.StatusCode)]++
	if resp.StatusCode == http.StatusOK {
		s.completeResponses++
		if err := backendtest.Verify(strings.NewReader(string(body)), id, soakResponseBytes); err != nil {
			s.wrongResponses = append(s.wrongResponses, fmt.Sprintf("%s: complete response with a wrong body: %v", id, err))
		}
	}
}
