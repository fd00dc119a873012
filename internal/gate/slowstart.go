package gate

import (
	"time"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/settings"
	"dandelionspoke/internal/slowstart"
	"dandelionspoke/internal/verdict"
	"dandelionspoke/internal/wire"
)

// slowStartProbeInterval is the time between load probes that look for a backend server that has turned cold while requests
// arrive. Its heartbeats tell it too, but up to a second later.
const slowStartProbeInterval = 100 * time.Millisecond

// slowStart is the state of the gate's ramp, guarded by Gate.mu.
type slowStart struct {
	settings   settings.SlowStart
	ramp       *slowstart.Ramp
	starts     uint64    // times at which another process of the backend server was announced
	probedAt   time.Time // when the last load probe was sent, for whatever purpose
	loggedCold bool      // the last log line stated that the backend server is cold
}

// SetSlowStart sets the tolerance of the ramps that services configure. Call it before SetLimits.
func (g *Gate) SetSlowStart(s settings.SlowStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowStart.settings = s
}

// StateSlowStart records the slow start that a heartbeat of the process with this incarnation has stated, received at the
// given time. It ignores other processes than that of the current backend server.
func (g *Gate) StateSlowStart(id string, incarnation int64, remaining time.Duration, received time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backend == nil || g.backend.ID != id || g.backend.Incarnation != incarnation {
		return
	}
	g.slowStart.ramp.State(slowstart.Heartbeat, received, remaining)
	g.logSlowStartLocked("heartbeat")
}

// beginProbe records that a load probe is sent now, and returns what recordSlowStart needs to tell its response from that of
// an earlier process.
func (g *Gate) beginProbe() (starts uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowStart.probedAt = time.Now()
	return g.slowStart.starts
}

// recordSlowStart records the slow start that a response of the health path has stated; nil states nothing. address is that
// of the backend server that the probe was sent to, and starts the result of beginProbe: a response that was on its way when
// another process was announced may be that of the earlier one.
func (g *Gate) recordSlowStart(address string, starts uint64, remaining *time.Duration) {
	if remaining == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backend == nil || g.backend.Address != address || g.slowStart.starts != starts {
		return
	}
	g.slowStart.ramp.State(slowstart.Health, time.Now(), *remaining)
	g.logSlowStartLocked("health")
}

// restartSlowStartLocked makes the ramp treat the backend server as cold until it states otherwise. It is called with mu held
// when another process of a backend server is announced.
func (g *Gate) restartSlowStartLocked(previous, next *Backend) {
	if next == nil || previous.isServer(next) && previous.Incarnation == next.Incarnation {
		return
	}
	g.slowStart.starts++
	g.slowStart.ramp.Restart()
	g.logSlowStartLocked("start")
}

func (g *Gate) configureSlowStartLocked(s bundle.Service) {
	l := slowstart.Limits{PerSecond: s.RampPerSecond, Tolerance: g.slowStart.settings.Tolerance, Slack: g.slowStart.settings.Slack}
	g.slowStart.ramp.SetLimits(l)
}

// logSlowStartLocked logs when the backend server turns cold or a statement makes it warm. It is called with mu held.
func (g *Gate) logSlowStartLocked(source string) {
	remaining := g.slowStart.ramp.Remaining(time.Now())
	cold := remaining > 0
	if !g.slowStart.ramp.Enabled() || cold == g.slowStart.loggedCold || g.backend == nil {
		return
	}
	g.slowStart.loggedCold = cold
	if cold {
		g.Counters.SlowStarts.Add(1)
	}
	g.logger.Info("slow start changed", "event", "slow_start", "endpoint", g.backend.ID, "cold", cold, "remaining", remaining,
		"source", source, "ramp_per_second", g.slowStart.ramp.Rate())
}

// addSlowStartLocked adds the slow start to a load report.
func (g *Gate) addSlowStartLocked(l *wire.Load) {
	remaining := g.slowStart.ramp.Remaining(time.Now())
	if remaining <= 0 {
		return
	}
	l.SlowStartMs = waitMillis(remaining)
	l.RampMilli = uint32(max(1, min(g.slowStart.ramp.Rate()*1000, 1e9)))
}

// reserveSend takes a request from the ramp before it waits for a slot, so that no requests pile up beside a cold backend
// server. It returns an error with verdict NotRun if there is no room. Each reserved request ends with releaseSend or
// recordSend.
func (g *Gate) reserveSend() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slowStartError(g.slowStart.ramp.Reserve(time.Now()))
}

// releaseSend returns a reserved request that is not sent.
func (g *Gate) releaseSend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowStart.ramp.Release()
}

// recordSend records that a request is sent now, and returns its time for cancelSend. It returns an error with verdict NotRun if
// the backend server has turned cold meanwhile and there is no room.
func (g *Gate) recordSend() (time.Time, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, wait := g.slowStart.ramp.Send(time.Now())
	return at, g.slowStartError(wait)
}

// cancelSend removes a request from the record of sent ones: it did not reach the backend server.
func (g *Gate) cancelSend(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowStart.ramp.Unsend(at)
	g.slowStart.ramp.Release()
}

func (g *Gate) slowStartError(wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	g.Counters.RefusedSlowStart.Add(1)
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.SlowStart, Detail: "the backend server has just started", Wait: wait}
}

// watchSlowStart sends a load probe if the last one was sent slowStartProbeInterval ago or longer and the service has a ramp.
// Responses to requests do not state the slow start.
func (g *Gate) watchSlowStart(b *Backend) {
	now := time.Now()
	g.mu.Lock()
	due := g.slowStart.ramp.Enabled() && now.Sub(g.slowStart.probedAt) >= slowStartProbeInterval
	g.mu.Unlock()
	if !due {
		return
	}
	if path, _ := g.slowness.startProbe(now, -1); path != "" {
		go g.probeLoad(b.Address, path)
	}
}
