package ingress

import (
	"context"
	"sync"

	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// exchangePending is exchange for an attempt that Withdraw may cancel in the meantime.
func (in *Ingress) exchangePending(ctx context.Context, q *request, resp *response, head *wire.RequestHead, query *wire.AttemptQuery) error {
	in.pendingAttempts.Store(query, resp.endpoint)
	defer in.pendingAttempts.Delete(query)
	return in.exchange(ctx, q, resp, head)
}

// Withdraw cancels the attempts that have not started to run: gates refuse those that still wait for a slot, and no
// new attempt starts. A node calls it shortly before it aborts the requests in flight, so that callers whose request
// has not run are told so. Requests that are running continue. Withdraw returns when the gates have been notified or
// ctx has ended.
func (in *Ingress) Withdraw(ctx context.Context) {
	in.closing.Store(true)
	var notified sync.WaitGroup
	in.pendingAttempts.Range(func(key, value any) bool {
		query, ep := proto.CloneOf(key.(*wire.AttemptQuery)), value.(*table.Endpoint)
		query.Withdraw = true
		notified.Go(func() {
			defer in.recoverBackground(nil)
			conn, err := in.Opener.Open(ctx, ep, peer.SessionControl)
			if err == nil {
				_, err = exchangeQuery(ctx, conn, query)
			}
			if err != nil {
				in.Logger.Info("attempt not withdrawn", "event", "withdraw_failed", "endpoint", ep.ID, "error", err)
			}
		})
		return true
	})
	notified.Wait()
}

// errNodeEnds is the cause of the end of attempts that GiveUp has canceled.
var errNodeEnds = errors.New("ingress: the node ends")

// trackUnanswered makes GiveUp call giveUp for the request until done is called.
func (in *Ingress) trackUnanswered(q *request, giveUp context.CancelCauseFunc) (done func()) {
	in.unanswered.Store(q, giveUp)
	return func() { in.unanswered.Delete(q) }
}

// GiveUp cancels the attempts of the requests without a response whose contexts selected accepts, and returns their number. Their
// callers are told that the request may have run. A node calls it shortly before it closes the connections of its callers.
func (in *Ingress) GiveUp(selected func(ctx context.Context) bool) (count int) {
	in.unanswered.Range(func(key, value any) bool {
		if selected(key.(*request).httpRequest.Context()) {
			value.(context.CancelCauseFunc)(errNodeEnds)
			count++
		}
		return true
	})
	return count
}

// queryAttempt asks the gate for the outcome of an attempt whose connection broke, until the attempt has ended.
func (in *Ingress) queryAttempt(ctx context.Context, ep *table.Endpoint, query *wire.AttemptQuery) *wire.AttemptFate {
	unknown := &wire.AttemptFate{Verdict: wire.Verdict_MAY_HAVE_RUN}
	for ctx.Err() == nil {
		in.Counters.Queries.Add(1)
		conn, err := in.Opener.Open(ctx, ep, peer.SessionControl)
		if err != nil {
			return unknown
		}
		outcome, err := exchangeQuery(ctx, conn, query)
		if err != nil {
			return unknown
		}
		if !outcome.InProgress {
			return outcome
		}
	}
	return unknown
}

func exchangeQuery(ctx context.Context, conn *peer.Conn, query *wire.AttemptQuery) (*wire.AttemptFate, error) {
	defer conn.Close()
	f, err := conn.Exchange(ctx, &wire.Frame{Kind: &wire.Frame_AttemptQuery{AttemptQuery: query}})
	if err != nil {
		return nil, err
	}
	if f.GetAttemptFate() == nil {
		return nil, errors.New("unexpected answer to an attempt query")
	}
	return f.GetAttemptFate(), nil
}
