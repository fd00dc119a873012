package ingress

import (
	"net/http"

	"dandelionspoke/internal/recovery"
	"dandelionspoke/internal/verdict"
)

// recordPanic counts and logs a panic in the handling of a request. q is nil if the request has not been parsed.
func (in *Ingress) recordPanic(q *request, value any) {
	in.Counters.Panics.Add(1)
	if q == nil {
		recovery.Log(in.Logger, value)
		return
	}
	recovery.Log(in.Logger, value, "id", q.id, "route", q.route.Name, "service", q.serviceName)
}

// handlerPanic returns the error with which a request ends whose handler panicked. If nothing of the response has been sent,
// the caller gets a failure, otherwise the response is aborted. It has not run if no attempt had been started; what an
// idempotency key claimed is known to others only.
func (in *Ingress) handlerPanic(q *request, value any) error {
	if value == http.ErrAbortHandler {
		return http.ErrAbortHandler
	}
	in.recordPanic(q, value)
	switch {
	case q == nil, q.attemptsSent == 0 && q.idempotencyKey == "":
		return verdict.New(verdict.NotRun, verdict.InternalError, "the request could not be handled")
	case q.responseStarted:
		return http.ErrAbortHandler
	}
	return errHandlingPanicked()
}

// errHandlingPanicked returns the error of an attempt or request of which it is unknown whether it has run.
func errHandlingPanicked() error {
	return verdict.New(verdict.MayHaveRun, verdict.InternalError, "the handling of the request ended early")
}

// recoverBackground ends the panic of a goroutine that works for a request but does not decide on its result. Call it
// deferred.
func (in *Ingress) recoverBackground(q *request) {
	if value := recover(); value != nil {
		in.recordPanic(q, value)
	}
}
