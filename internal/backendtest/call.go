package backendtest

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// callReplyBytes is the length of the response to a call between services.
const callReplyBytes = 256

// callNext calls the first path in the request's CallHeader, if any, through the node's ingress and verifies the
// response.
func (s *Server) callNext(ctx context.Context, r *http.Request, id string) error {
	path, rest, _ := strings.Cut(r.Header.Get(CallHeader), ",")
	if path == "" || s.opts.Ingress == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.opts.Ingress+path, nil)
	if err != nil {
		return err
	}
	copyContextHeaders(req.Header, r.Header)
	next := id + "/" + path
	req.Header.Set(RequestIDHeader, next)
	req.Header.Set(ReplyBytesHeader, strconv.Itoa(callReplyBytes))
	if rest != "" {
		req.Header.Set(CallHeader, rest)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return errors.Newf("status %d", resp.StatusCode)
	}
	return Verify(resp.Body, next, callReplyBytes)
}

// copyContextHeaders copies the headers that the node sets on a request: its deadline, depth and priority.
func copyContextHeaders(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, contextHeaderPrefix) {
			dst[name] = values
		}
	}
}
