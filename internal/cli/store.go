package cli

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/objectstoretest"
)

// storeHeaderTimeout limits the time that a client has to send a request header.
const storeHeaderTimeout = 5 * time.Second

// storeCommand runs the object API of package objectstoretest as a process, for the quick start and for tests.
type storeCommand struct {
	Listen string `default:"127.0.0.1:0" help:"ip:port to listen on."`
}

// Run serves until SIGTERM or SIGINT. The objects are in memory and are lost on exit.
func (c *storeCommand) Run(o output) error {
	signals := catchSignals()
	defer signals.release()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: objectstoretest.New(), ReadHeaderTimeout: storeHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(ln) }()
	fmt.Fprintf(o.stdout, "msg=listening store=http://%s\n", ln.Addr())
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-signals.drain:
		// A graceful shutdown would wait for open watches, which do not end by themselves.
		return server.Close()
	}
}
