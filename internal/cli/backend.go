package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/backendtest"
)

// backendCommand runs the backend server of package backendtest as a process, for the quick start and for tests.
type backendCommand struct {
	ID           string        `required:"" help:"Endpoint ID."`
	Service      string        `required:"" help:"Service that the server belongs to."`
	Listen       string        `default:"127.0.0.1:0" help:"ip:port to listen on."`
	Announce     string        `help:"ip:port of the node's announce listener."`
	Ingress      string        `help:"ip:port of the node's ingress, for calls to other services."`
	Slots        int           `default:"12" help:"Maximum number of requests that run concurrently."`
	Connections  int           `default:"200" help:"Maximum number of open connections."`
	ServiceTime  time.Duration `default:"2ms" help:"Median service time."`
	Sigma        float64       `default:"0.3" help:"Standard deviation of the logarithm of the service time."`
	ColdStart    time.Duration `help:"Time after the start during which requests run slower."`
	ColdFactor   float64       `default:"4" help:"Factor by which a cold start multiplies the service time."`
	StateCold    bool          `help:"State the remaining time of the cold start to the node."`
	Arrivals     string        `help:"File to which a line of JSON is appended for each request that runs."`
	Seed         uint64        `default:"1" help:"Seed of the random service times."`
	DrainTimeout time.Duration `default:"30s" help:"Time limit of a graceful shutdown."`
}

// Run serves until SIGTERM or SIGINT. The first signal starts a graceful shutdown, the second one ends it immediately.
func (c *backendCommand) Run(o output) error {
	signals := catchSignals()
	defer signals.release()
	arrivals, err := c.openArrivals()
	if err != nil {
		return err
	}
	s, err := backendtest.Start(backendtest.Options{
		ID:             c.ID,
		Service:        c.Service,
		Listen:         c.Listen,
		Slots:          c.Slots,
		Connections:    c.Connections,
		ConnectDelay:   time.Millisecond,
		ServiceTime:    backendtest.Distribution{Median: c.ServiceTime, Sigma: c.Sigma},
		ColdStart:      c.ColdStart,
		ColdFactor:     c.ColdFactor,
		StateSlowStart: c.StateCold,
		Arrivals:       arrivals,
		Announce:       c.Announce,
		Ingress:        c.Ingress,
		Seed:           c.Seed,
		OnCrash:        func() { os.Exit(crashExitCode) },
	})
	if err != nil {
		return errors.Wrap(err, "start backend server")
	}
	defer s.Close()
	fmt.Fprintf(o.stdout, "msg=listening backend=%s\n", s.Addr())
	<-signals.drain
	ctx, cancel := context.WithTimeout(signals.ctx, c.DrainTimeout)
	defer cancel()
	return s.Drain(ctx)
}

// openArrivals opens the file for arrivals, or returns nil if there is none. The file stays open until the process exits.
func (c *backendCommand) openArrivals() (io.Writer, error) {
	if c.Arrivals == "" {
		return nil, nil
	}
	return os.OpenFile(c.Arrivals, os.O_WRONLY|os.O_CREATE|os.O_APPEND, privateFileMode)
}

// crashExitCode is the exit code after a request with the header backendtest.CrashHeader has crashed the server.
const crashExitCode = 70
