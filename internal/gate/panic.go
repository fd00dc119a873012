package gate

import (
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/recovery"
	"dandelionspoke/internal/verdict"
)

// recoverServe ends an attempt whose handling panicked: it releases the slot and the place in the ramp, records the outcome
// for queries of the ingress and refuses the attempt unless its response has begun. Call it deferred; by then the connection
// to the backend server is closed. If the admission queue itself panicked, requests that it was deciding on may wait until
// their deadlines.
func (c *call) recoverServe() {
	value := recover()
	if value == nil {
		return
	}
	c.recordPanic(value)
	// A second panic must not end the process either. The stream is closed without an answer then, and a query gets the
	// outcome may-have-run.
	defer func() {
		if value := recover(); value != nil {
			c.recordPanic(value)
		}
	}()
	c.releaseSlot(0)
	c.releaseSend()
	headSent := c.recorder != nil && c.recorder.headSent
	outcome := verdict.NotRun
	switch {
	case headSent:
		outcome = verdict.Ran
	case c.forwarded:
		outcome = verdict.MayHaveRun
	}
	if c.registered {
		c.gate.attempts.finish(c.id, time.Now(), outcome, nil)
	}
	if !headSent {
		e := &verdict.Error{Verdict: outcome, Reason: verdict.InternalError, Detail: "the handling of the request ended early"}
		c.sendRefusal(e, c.gate.Load())
	}
}

// recoverRead cancels an attempt whose request could not be read because of a panic.
func (c *call) recoverRead() {
	if value := recover(); value != nil {
		c.recordPanic(value)
		err := errors.New("gate: the request could not be read")
		c.body.CloseWithError(err)
		c.cancel(err)
	}
}

// recordPanic counts and logs a panic in the handling of the attempt.
func (c *call) recordPanic(value any) {
	c.gate.Counters.Panics.Add(1)
	recovery.Log(c.gate.logger, value, "id", c.requestID(), "attempt", hex.EncodeToString(c.id[:]), "route", c.head.Route)
}

// requestID returns the identifier of the request, or an empty string if the protocol panics.
func (c *call) requestID() (id string) {
	defer func() { _ = recover() }()
	return c.gate.protocol.RequestID(c.head.Headers)
}

// recoverBackground ends the panic of a goroutine or timer that works for several requests. Call it deferred.
func (g *Gate) recoverBackground() {
	if value := recover(); value != nil {
		g.Counters.Panics.Add(1)
		recovery.Log(g.logger, value)
	}
}
