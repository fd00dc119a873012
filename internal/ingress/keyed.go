package ingress

import (
	"context"
	"net/http"

	"dandelionspoke/internal/verdict"
)

// Claims permits each idempotency key to run at most once.
type Claims interface{}

func (in *Ingress) serveKeyed(ctx context.Context, w http.ResponseWriter, q *request) error {
	return verdict.New(verdict.NotRun, verdict.ClaimUnavailable, "the store of claims can't be reached")
}
