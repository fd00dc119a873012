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

// Headers that the system and the server exchange.
const (
	deadlineHeader = "Dandelionspoke-Deadline-Ms"
	contextPrefix  = "Dandelionspoke-"
	// refusedHeader marks a 503 by which the server itself states that it did no work.
	refusedHeader = "Dandelionspoke-Backend-Refused"
)

// pacedReply is the answer length in bytes from which the service time is spread over the answer.
const pacedReply = 64 << 10

func (s *Server) serve(l *life, w http.ResponseWriter, r *http.Request) {
	s.waitThawed(l)
	switch r.URL.Path {
	case HealthPath:
		s.serveHealth(l, w)
	case LoadPath:
		s.serveLoad(l, w)
	case RunsPath:
		s.opts.Log.ServeHTTP(w, r)
	default:
		s.serveWork(l, w, r)
	}
}

// serveWork refuses the request before it runs, or runs it and logs the run.
func (s *Server) serveWork(l *life, w http.ResponseWriter, r *http.Request) {
	if l.draining.Load() {
		w.Header().Set("Connection", "close")
		refuse(w, "draining")
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.acquire(ctx, l) {
		refuse(w, "no free slot")
		return
	}
	defer s.release(l)
	id := r.Header.Get(RequestIDHeader)
	s.opts.Log.start(id, !idempotent(r))
	if s.mustCrash(r) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if s.failsFast() {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if s.run(ctx, l, w, r, id) {
		s.opts.Log.complete(id)
	}
}

// refuse answers that the server does not run the request, in the form that a gate recognises.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	w.Header().Set(refusedHeader, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// idempotent reports whether the request may run more than once. GET and HEAD may.
func idempotent(r *http.Request) bool {
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}

// requestContext ends when the caller goes away or the deadline passes.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func (s *Server) acquire(ctx context.Context, l *life) bool {
	waiting := s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case l.slots <- struct{}{}:
	default:
		if s.opts.ShedAbove > 0 && waiting > int64(s.opts.ShedAbove) {
			return false
		}
		select {
		case l.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		case <-l.dead:
			return false
		}
	}
	s.running.add(1)
	s.recordLoad(l)
	return true
}

func (s *Server) release(l *life) {
	s.running.add(-1)
	<-l.slots
	s.recordLoad(l)
}

// run does the work and writes the answer. It reports whether the answer was written in full.
func (s *Server) run(ctx context.Context, l *life, w http.ResponseWriter, r *http.Request, id string) bool {
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
	work := s.serviceTime(l, r)
	first := work
	if n >= pacedReply {
		first = work / 2
	}
	if !sleep.For(ctx, first) {
		http.Error(w, "deadline exceeded or caller gone", http.StatusGatewayTimeout)
		return false
	}
	if err := s.callNext(ctx, r, id); err != nil {
		http.Error(w, "call to next service: "+err.Error(), http.StatusBadGateway)
		return false
	}
	w.Header().Set(EndpointHeader, s.opts.ID)
	w.Header().Set(RequestDigestHeader, FormatDigest(digest.Sum64()))
	return writeReply(ctx, w, r, id, n, work-first)
}

func replyBytes(r *http.Request) (int64, error) {
	text := r.Header.Get(ReplyBytesHeader)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	return int64(min(n, MaxReplyBytes)), err
}

// writeReply writes n bytes and spreads the rest of the service time over them.
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
	chunks := max(1, n/pacedReply)
	for range chunks {
		if !sleep.For(ctx, rest/time.Duration(chunks)) {
			panic(http.ErrAbortHandler) // the answer must not look complete
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
