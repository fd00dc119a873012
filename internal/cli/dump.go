package cli

import (
	"context"
	"io"
	"net/http"
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
	resp, err := callAdmin(ctx, http.MethodGet, c.Address, dumpPath, c.Token)
	if err != nil {
		return errors.Wrap(err, "dump")
	}
	defer resp.Body.Close()
	_, err = io.Copy(o.stdout, resp.Body)
	return err
}

// maxErrorTextBytes limits the part of an error response that is copied into the error message.
const maxErrorTextBytes = 1000
