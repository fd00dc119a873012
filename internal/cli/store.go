package cli

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstoretest"
)

// storeHeaderTimeout bounds the time in which a request header arrives.
const storeHeaderTimeout = 5 * time.Second

// storeCommand runs the stand-in object API as a process, for the quick start and for tests.
type storeCommand struct {
	Listen string `default:"127.0.0.1:0" help:"ip:port to listen on."`
}

// Run serves until a signal. The objects are in memory and are lost at the end.
func (c *storeCommand) Run(o output) error {
	signals := catchSignals()
	defer signals.release()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: objectstoretest.New(), ReadHeaderTimeout: storeHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	fmt.Fprintf(o.out, "msg=listening store=http://%s\n", ln.Addr())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-signals.drain:
		// Watches never end by themselves, so the server does not wait for them.
		return server.Close()
	}
}
