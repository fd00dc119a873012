package ingress

import (
	"context"

	"dandelionspoke/internal/ratelimit"
	"dandelionspoke/internal/verdict"
)

// takeToken takes a token of the account's rate limit for the request and all its attempts. It may wait for
// ratelimit.MaxWait. Without a token, it returns an error with the verdict NotRun.
func (in *Ingress) takeToken(ctx context.Context, q *request) error {
	if in.Limits == nil || q.accountName == "" {
		return nil
	}
	token, wait, ok := in.Limits.Acquire(ctx, q.accountName)
	if !ok {
		return &verdict.Error{
			Verdict: verdict.NotRun, Reason: verdict.RateLimited, Wait: wait, Detail: "the account has reached its rate limit",
		}
	}
	q.token = token
	return nil
}

// returnToken gives back the token of a request that is not sent to a backend server.
func (in *Ingress) returnToken(q *request) {
	if in.Limits != nil {
		in.Limits.Return(q.token)
		q.token = ratelimit.Token{}
	}
}

// returnTokenAfter gives back the token of a request that ended with err, if it has not been run.
func (in *Ingress) returnTokenAfter(q *request, err error) {
	if err != nil && verdict.Of(err) == verdict.NotRun {
		in.returnToken(q)
	}
}
