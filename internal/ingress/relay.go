package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"dandelionspoke/internal/balance"
	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/httpconn"
	"dandelionspoke/internal/peer"
	"dandelionspoke/internal/table"
	"dandelionspoke/internal/wire"
)

// response is a response from a gate whose head has been read.
type response struct {
	endpoint      *table.Endpoint
	head          *wire.ResponseHead
	conn          *peer.Conn
	body          *peer.Body
	stop          func() bool // detaches the request's context from conn
	cancelAll     func()      // cancels the context of all attempts; may be nil
	cancelAttempt context.CancelFunc
	hedge         bool // of a hedge, which responded before the earlier attempt
	observation   *observation
	retained      *wire.AttemptFate // set instead of conn for a complete response that the gate had retained
}

func (resp *response) close() {
	if resp.conn != nil {
		resp.stop()
		_ = resp.conn.Close()
	}
	if resp.cancelAttempt != nil {
		resp.cancelAttempt()
	}
	if resp.cancelAll != nil {
		resp.cancelAll()
	}
}

// relay writes the response to the caller.
func (in *Ingress) relay(w http.ResponseWriter, q *request, resp *response) error {
	defer resp.close()
	q.status = int(resp.head.Status)
	q.lastEndpoint, q.hedgeWon = resp.endpoint, resp.hedge
	if resp.hedge {
		in.Counters.HedgesWon.Add(1)
	}
	in.closeIfDraining(w, q.httpRequest)
	q.responseStarted = true
	if q.bodyRestUsed {
		// Keeps net/http from discarding the part of the body that streamBody still reads. It fails only for writers that never
		// discard any.
		_ = http.NewResponseController(w).EnableFullDuplex()
		if !q.bodyRestRead.Load() && httpconn.MayClose(q.httpRequest.Context()) {
			// net/http closes the connection if much of the body is unread at the end of the response.
			w.Header().Set("Connection", "close")
		}
	}
	writeHead(w, resp.head)
	if resp.retained != nil {
		_, _ = w.Write(resp.retained.Body)
		if err := writeTrailers(w, resp.retained.Trailers); err != nil {
			return http.ErrAbortHandler
		}
		in.Counters.Answered.Add(1)
		return nil
	}
	defer resp.observation.end(balance.Failed, nil) // only if the rest panics
	err := copyBody(w, resp)
	if err == nil {
		err = writeTrailers(w, resp.body.End().Trailers)
	}
	outcome := outcomeOf(q.httpRequest.Context(), resp.head.Status, err)
	resp.observation.end(outcome, resp.body.End().GetLoad())
	if outcome == balance.Success {
		in.classes.Record(q.serviceName, q.route.Name, q.route.Class == bundle.Long, resp.observation.elapsed())
		if q.route.Hedge && q.route.Objective == 0 {
			in.latencyTracker(q).Record(time.Now(), resp.observation.elapsed())
		}
	}
	if err != nil {
		return http.ErrAbortHandler
	}
	in.Counters.Answered.Add(1)
	if in.OnSuccess != nil {
		in.OnSuccess(q.fingerprint, q.callerFingerprint)
	}
	return nil
}

func writeHead(w http.ResponseWriter, head *wire.ResponseHead) {
	h := w.Header()
	for _, header := range head.Headers {
		h[header.Name] = header.All()
	}
	if head.ContentLength >= 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(head.ContentLength, 10))
	}
	w.WriteHeader(int(head.Status))
	if head.ContentLength < 0 {
		// Without a flush, net/http would send an empty response with a Content-Length and drop its trailers.
		_ = http.NewResponseController(w).Flush()
	}
}

// writeTrailers sets the trailers of a response. It sets none and returns an error if one is malformed.
func writeTrailers(w http.ResponseWriter, trailers []*wire.Header) error {
	trailers, err := gate.CheckTrailers(trailers)
	if err != nil {
		return err
	}
	for _, t := range trailers {
		w.Header()[http.TrailerPrefix+t.Name] = t.All()
	}
	return nil
}

func copyBody(w http.ResponseWriter, resp *response) error {
	flush := resp.head.ContentLength < 0
	buf := make([]byte, wire.MaxChunkBytes)
	for {
		n, err := resp.body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
			}
			if flush {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if resp.body.End() != nil && err != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
