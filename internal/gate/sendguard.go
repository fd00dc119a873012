package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errExpired is the error of a write that would have sent a request after its deadline.
var errExpired = errors.New("gate: the deadline passed before the request was sent")

// errRevoked is the error of a write that would have sent a request after its attempt had ended.
var errRevoked = errors.New("gate: the attempt ended before the request was sent")

// sendGuard decides, at the write of its first byte, whether a request may still be sent. Earlier checks can't: the process may
// be paused after them, and its timers are late when it goes on. It is safe for concurrent use.
type sendGuard struct {
	deadline time.Time // zero for none
	state    atomic.Int32
}

// States of a sendGuard. Only sendPending changes, once.
const (
	sendPending = iota
	sendBegun
	sendRevoked
)

// newSendGuard returns the guard of a request with the deadline of ctx.
func newSendGuard(ctx context.Context) *sendGuard {
	deadline, _ := ctx.Deadline()
	return &sendGuard{deadline: deadline}
}

// begin must be called before the first byte is written. After an error, no byte may be written.
func (g *sendGuard) begin(now time.Time) error {
	if !g.deadline.IsZero() && hasPassed(g.deadline, now) {
		return errExpired
	}
	if !g.state.CompareAndSwap(sendPending, sendBegun) {
		return errRevoked
	}
	return nil
}

// revoke prevents the request from being sent, unless that has begun. It reports whether it has.
func (g *sendGuard) revoke() (begun bool) {
	return !g.state.CompareAndSwap(sendPending, sendRevoked)
}
