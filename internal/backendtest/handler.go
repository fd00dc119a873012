package backendtest

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionspoke/internal/sleep"
	"dandelionspoke/internal/verdict"
)

// Headers that nodes and the server exchange.
const (
	deadlineHeader      = "Dandelionspoke-Deadline-Ms"
	attemptIDHeader     = "Dandelionspoke-Attempt-Id" // repeated in the response
	contextHeaderPrefix = "Dandelionspoke-"
	accountHeader       = "Dandelionspoke-Account"
	slowStartHeader     = "Dandelionspoke-Slow-Start-Ms"
	// backendRefusalHeader marks a 503 response with which the server states that it did not run the request.
	backendRefusalHeader = "Dandelionspoke-Backend-Refused"
)

// pacedChunkBytes is the size of the chunks over which half of the service time is spread. Shorter responses are written
// after the whole service time.
const pacedChunkBytes = 64 << 10

func (s *Server) serve(inst *instance, w http.ResponseWriter, r *http.Request) {
	s.waitWhileFrozen(inst)
	switch r.URL.Path {
	case HealthPath:
		s.serveHealth(inst, w)
	case LoadPath:
		s.serveLoad(inst, w)
	case RunsPath:
		s.opts.Log.ServeHTTP(w, r)
	default:
		if id := r.Header.Get(attemptIDHeader); id != "" {
			w.Header().Set(attemptIDHeader, id)
		}
		s.serveWork(inst, w, r)
	}
}

// serveWork refuses the request before it runs, or runs it and logs the run.
func (s *Server) serveWork(inst *instance, w http.ResponseWriter, r *http.Request) {
	if inst.draining.Load() {
		w.Header().Set("Connection", "close")
		refuse(w, "draining")
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.acquire(ctx, inst) {
		refuse(w, "no free slot")
		return
	}
	defer s.release(inst)
	id := r.Header.Get(RequestIDHeader)
	s.opts.Log.start(id, !idempotent(r))
	s.writeArrival(inst, r, id)
	if s.shouldCrash(r) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if s.shouldFail() {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if s.run(ctx, inst, w, r, id) {
		s.opts.Log.complete(id)
	}
}

// refuse responds that the server did not run the request, with the headers that a gate recognizes.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	w.Header().Set(backendRefusalHeader, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// idempotent reports whether the request may run more than once, as GET and HEAD requests may.
func idempotent(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// requestContext returns a context that ends when the caller cancels the request or its deadline passes.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (s *Server) acquire(ctx context.Context, inst *instance) bool {
	waiting := s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case inst.slots <- struct{}{}:
	default:
		if s.opts.MaxQueued > 0 && waiting > int64(s.opts.MaxQueued) {
			return false
		}
		select {
		case inst.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		case <-inst.ended:
			return false
		}
	}
	s.running.add(1)
	s.recordLoad(inst)
	return true
}

func (s *Server) release(inst *instance) {
	s.running.add(-1)
	<-inst.slots
	s.recordLoad(inst)
}

// run simulates the work and writes the response. It reports whether the response was written in full.
func (s *Server) run(ctx context.Context, inst *instance, w http.ResponseWriter, r *http.Request, id string) bool {
	digest := xxhash.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		http.Error(w, "request body is broken", http.StatusBadRequest)
		return false
	}
	n, err := replyBytes(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	work := s.serviceTime(inst, r)
	beforeReply := work
	if n >= pacedChunkBytes {
		beforeReply = work / 2
	}
	if !sleep.For(ctx, beforeReply) {
		http.Error(w, "deadline exceeded or caller gone", http.StatusGatewayTimeout)
		return false
	}
	if err := s.callNext(ctx, r, id); err != nil {
		http.Error(w, "call to next service: "+err.Error(), http.StatusBadGateway)
		return false
	}
	w.Header().Set(EndpointHeader, s.opts.ID)
	w.Header().Set(RequestDigestHeader, FormatDigest(digest.Sum64()))
	return writeReply(ctx, w, r, id, n, work-beforeReply)
}

func replyBytes(r *http.Request) (int64, error) {
	text := r.Header.Get(ReplyBytesHeader)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	return int64(min(n, MaxReplyBytes)), err
}

// writeReply writes a body of n bytes and spreads the duration rest over its chunks.
func writeReply(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, n int64, rest time.Duration) bool {
	trailers := r.Header.Get(TrailersHeader) != ""
	w.Header().Set("Content-Type", "application/octet-stream")
	if trailers {
		w.Header().Set("Trailer", ReplyDigestTrailer)
	} else {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	digest := xxhash.New()
	body := io.TeeReader(BodyReader(id, n), digest)
	chunks := max(1, n/pacedChunkBytes)
	for range chunks {
		if !sleep.For(ctx, rest/time.Duration(chunks)) {
			panic(http.ErrAbortHandler) // abort the connection, so that the truncated response does not look complete
		}
		if _, err := io.CopyN(w, body, n/chunks); err != nil {
			return false
		}
	}
	if _, err := io.Copy(w, body); err != nil {
		return false
	}
	if trailers {
		w.Header().Set(ReplyDigestTrailer, FormatDigest(digest.Sum64()))
	}
	return true
}
