package main

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"dandelionspoke/internal/objectstoretest"
	"dandelionspoke/internal/verdict"
)

// Settings of the fleet, from which the bounds of the checks follow.
const (
	soakWindow          = 5 * time.Second
	soakWindowTolerance = 0.1
	soakWindowSlack     = 20 // requests
	soakRamp            = 13 // requests/s
	soakRampTolerance   = 1.5
	soakRampSlack       = 8 // requests
	soakSlowStart       = 3 * time.Second
	soakEvacuateWithin  = 5 * time.Second
	// soakApplyWithin is the time within which a bundle is in force: accounts.revocation, which holds only with accounts.require_confirmation.
	soakApplyWithin = 5 * time.Second
	hotRate         = 20 // requests/s and requests of burst
	hotRateLowered  = 8
	// operatorRetryTime limits the time until the store has acknowledged what the operator asks for.
	operatorRetryTime = 30 * time.Second
)

var soakSettings = fmt.Sprintf(`[rate_limit]
window = %q
tolerance = %g
slack = %d
[slow_start]
tolerance = %g
slack = %d
[evacuation]
within = %q
`, soakWindow, soakWindowTolerance, soakWindowSlack, soakRampTolerance, soakRampSlack, soakEvacuateWithin)

var soakPlaces = []place{
	{"ostlandet", "oslo-a"}, {"vestlandet", "bergen-a"}, {"ostlandet", "oslo-b"}, {"vestlandet", "bergen-b"},
}

func endpointID(i int) string { return fmt.Sprintf("katalog-%d", i) }

// soakBundle returns a bundle in which the hot account has the given rate and burst.
func soakBundle(version, rate int, withdrawnKeyValid bool) string {
	rotating := []string{digestOf("key-kept")}
	if withdrawnKeyValid {
		rotating = append(rotating, digestOf(withdrawnKey))
	}
	return fmt.Sprintf(`version = %d
[services.katalog]
slots = 8
connections = 50
ramp_per_second = %d
[[routes]]
name = "katalog"
service = "katalog"
path_prefix = "/katalog"
timeout = "10s"
[[routes]]
name = "ready"
service = "katalog"
path_prefix = "/katalog/ready"
timeout = "10s"
allow_anonymous = true
[[routes]]
name = "open"
service = "katalog"
path_prefix = "/katalog/open"
timeout = "10s"
allow_anonymous = true
[accounts.hot]
key_digests = [%s]
rate_per_second = %d
burst = %d
[accounts.calm]
key_digests = [%s]
[accounts.rotating]
key_digests = [%s]
[accounts.regional]
key_digests = [%s]
allowed_regions = [%q]
`, version, soakRamp, digestOf("key-hot"), rate, rate, digestOf("key-calm"), strings.Join(rotating, ", "),
		digestOf("key-regional"), soakPlaces[1].region)
}

func digestOf(key string) string { return fmt.Sprintf("\"%x\"", sha256.Sum256([]byte(key))) }

// operatorHistory holds when the store acknowledged what the operator did, and which failure domain was evacuated.
type operatorHistory struct {
	rolledOut, evacuated, restored, ended time.Time
	domain                                int
}

// runOperator keeps a copy of the store, withdraws a key and lowers a limit, evacuates a failure domain, restores the copy
// when all nodes must know of both, and ends the evacuation.
func (s *soak) runOperator() (h operatorHistory) {
	h.domain = s.operatorRng.IntN(soakNodes)
	copyFirst := s.operatorRng.IntN(2) == 0
	wait := func() { time.Sleep(time.Duration(s.operatorRng.IntN(1000)) * time.Millisecond) }
	s.waitResponse(withdrawnCaller + " 200")
	wait()
	if copyFirst {
		s.postStore(objectstoretest.CopyPath)
	}
	s.rollout(soakBundle(2, hotRateLowered, false), 1, s.storeURL)
	h.rolledOut = time.Now()
	if !copyFirst {
		s.postStore(objectstoretest.CopyPath)
	}
	wait()
	h.evacuated = s.evacuate(h.domain)
	s.sleepUntil(h.evacuated, soakEvacuateWithin)
	s.postStore(objectstoretest.RestorePath)
	h.restored = time.Now()
	// An evacuation that is ended before its readers have seen the restored store may be requested again by them.
	s.sleepUntil(h.restored, soakEvacuateWithin/2)
	wait()
	h.ended = time.Now()
	s.evacuate(h.domain, "--end")
	return h
}

// sleepUntil waits until the fleet must have learned of what the store acknowledged at the given time.
func (s *soak) sleepUntil(acknowledged time.Time, within time.Duration) {
	for time.Now().Before(s.deadline(acknowledged, within)) {
		time.Sleep(20 * time.Millisecond)
	}
}

// waitResponse waits until a caller has got a response with a status.
func (s *soak) waitResponse(callerAndStatus string) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		n := s.responses[callerAndStatus]
		s.mu.Unlock()
		if n > 0 {
			return
		}
	}
	s.t.Errorf("no response %q within %s", callerAndStatus, readyTimeout)
}

func (s *soak) postStore(path string) {
	resp, err := http.Post(s.storeURL+path, "", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("%s: %s", path, resp.Status)
	}
}

// evacuate requests the evacuation of the failure domain of node i through a node with access to the store, or ends it,
// and returns when the store has acknowledged it.
func (s *soak) evacuate(i int, flags ...string) time.Time {
	lastError := ""
	start := s.operatorRng.IntN(soakNodes)
	for began, n := time.Now(), start; time.Since(began) < operatorRetryTime; n++ {
		s.mu.Lock()
		admin := s.nodes[n%soakNodes].fields["admin"]
		s.mu.Unlock()
		code, _, text := runCommand(s.t, append([]string{"evacuate", soakPlaces[i].domain, "--admin", admin, "--timeout", "3s"}, flags...)...)
		if code == 0 {
			return time.Now()
		}
		lastError = text
	}
	s.t.Fatalf("evacuate %s %v: not acknowledged within %s: %s", soakPlaces[i].domain, flags, operatorRetryTime, lastError)
	return time.Time{}
}

// checkRestartKeepsKeyWithdrawn kills a node and reports whether the new process accepts the withdrawn key.
func (s *soak) checkRestartKeepsKeyWithdrawn() {
	i := s.operatorRng.IntN(soakNodes)
	s.replaceNode(i, syscall.SIGKILL)
	deadline := time.Now().Add(soakRecoveryTimeout)
	for time.Now().Before(deadline) {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.ingressAddr(i)+"/katalog/items/restarted", nil)
		if err != nil {
			s.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+withdrawnKey)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusUnauthorized {
				return
			}
			if resp.Header.Get(verdict.Header) != verdict.NotRun.String() {
				s.t.Errorf("node %d responds with %s to a withdrawn key after a restart", i, resp.Status)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Errorf("node %d does not respond with 401 to a withdrawn key after a restart", i)
}
