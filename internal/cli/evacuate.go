package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/evacuation"
	"dandelionspoke/internal/objectstore"
)

type evacuateCommand struct {
	Domain  string        `arg:"" help:"Failure domain whose backend servers get no more requests."`
	End     bool          `help:"End the evacuation."`
	Store   string        `xor:"target" required:"" placeholder:"URL" help:"URL of the object API."`
	Admin   string        `xor:"target" required:"" placeholder:"ADDRESS" help:"ip:port of the admin listener of a node with access to the store."`
	Token   string        `env:"DANDELIONSPOKE_ADMIN_TOKEN" help:"Bearer token of the admin listener."`
	Timeout time.Duration `default:"10s" help:"Time limit of the whole command."`
}

// evacuationsPath is the URL path of the evacuations on the admin listener.
const evacuationsPath = "/v1/evacuations/"

// Run requests or ends an evacuation. When it returns without an error, the store has acknowledged the change.
func (c *evacuateCommand) Run(o output) error {
	if err := evacuation.CheckDomain(c.Domain); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	err := c.change(ctx)
	if err != nil {
		return errors.Wrapf(err, "evacuation of %s", c.Domain)
	}
	msg := "evacuation_requested"
	if c.End {
		msg = "evacuation_ended"
	}
	fmt.Fprintf(o.stdout, "msg=%s failure_domain=%s\n", msg, c.Domain)
	return nil
}

func (c *evacuateCommand) change(ctx context.Context) error {
	if c.Admin != "" {
		return c.changeThroughNode(ctx)
	}
	store, err := objectstore.NewClient(objectstore.Options{BaseURL: c.Store})
	if err != nil {
		return err
	}
	defer store.Close()
	if c.End {
		return evacuation.End(ctx, store, c.Domain)
	}
	return evacuation.Request(ctx, store, c.Domain)
}

func (c *evacuateCommand) changeThroughNode(ctx context.Context) error {
	method := http.MethodPut
	if c.End {
		method = http.MethodDelete
	}
	resp, err := callAdmin(ctx, method, c.Admin, evacuationsPath+url.PathEscape(c.Domain), c.Token)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
