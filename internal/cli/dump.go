package cli

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type dumpCommand struct {
	Address string        `arg:"" help:"ip:port of the node's admin listener."`
	Token   string        `env:"DANDELIONSPOKE_ADMIN_TOKEN" help:"Bearer token of the admin listener."`
	Timeout time.Duration `default:"10s" help:"Time limit of the request."`
}

// dumpPath is the URL path of the state dump on the admin listener.
const dumpPath = "/v1/dump"

// Run prints the state of a node as JSON.
func (c *dumpCommand) Run(o output) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+dumpPath, nil)
	if err != nil {
		return err
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
		return errors.Newf("dump of %s: %s: %s", c.Address, resp.Status, strings.TrimSpace(string(text)))
	}
	_, err = io.Copy(o.stdout, resp.Body)
	return err
}

// maxErrorTextBytes limits the part of an error response that is copied into the error message.
const maxErrorTextBytes = 1000
