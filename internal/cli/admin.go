package cli

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// callAdmin sends a request to the administration API of the node at address, and returns the response with its open body. A
// status other than 200 is an error with the node's text. token is empty if the node requires none.
func callAdmin(ctx context.Context, method, address, path, token string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
		return nil, errors.Newf("%s: %s: %s", address, resp.Status, strings.TrimSpace(string(text)))
	}
	return resp, nil
}
