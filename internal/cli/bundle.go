package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/bundle"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/rollout"
)

type bundleCommand struct {
	Keygen  keygenCommand  `cmd:"" help:"Generate a signing key; the public key is written to FILE.pub and stdout."`
	Sign    signCommand    `cmd:"" help:"Sign a bundle as its author."`
	Approve approveCommand `cmd:"" help:"Approve a signed bundle with a key other than the author's."`
	Rollout rolloutCommand `cmd:"" help:"Make an approved bundle current in the store."`
	Status  statusCommand  `cmd:"" help:"Print the current version and where it is in force."`
	History historyCommand `cmd:"" help:"Print the rolled-out versions, newest first."`
	Restore restoreCommand `cmd:"" help:"Write an earlier version's content as the next version, ready to be signed and rolled out."`
}

// File modes. Only its owner may read a private key.
const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

type keygenCommand struct {
	Name string `arg:"" help:"Name of the key's owner."`
	Out  string `required:"" placeholder:"FILE" help:"New file for the private key."`
}

// Run writes a new key pair. It returns an error rather than overwrite a file.
func (c *keygenCommand) Run(o output) error {
	key, err := bundle.GenerateKey(c.Name)
	if err != nil {
		return err
	}
	private, err := key.MarshalPEM()
	if err != nil {
		return err
	}
	if err := writeNewFile(c.Out, private, privateFileMode); err != nil {
		return err
	}
	if err := writeNewFile(c.Out+".pub", []byte(key.Public()+"\n"), publicFileMode); err != nil {
		return err
	}
	fmt.Fprintln(o.stdout, key.Public())
	return nil
}

// writeNewFile creates the file and writes data to it. It returns an error if the file exists.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.CombineErrors(err, f.Close())
}

type signCommand struct {
	File string `arg:"" help:"Bundle in TOML, or an envelope from bundle restore."`
	Key  string `required:"" placeholder:"FILE" help:"Private key of the author."`
	Out  string `required:"" placeholder:"ENVELOPE" help:"File for the signed envelope."`
}

// Run signs the envelope in the file, or validates the TOML bundle in the file and signs a new envelope of it.
func (c *signCommand) Run(o output) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	e, err := bundle.DecodeEnvelope(data)
	if err != nil {
		b, faults := bundle.Parse(c.File, data)
		if err := printFaults(o, faults); err != nil {
			return err
		}
		if e, err = bundle.NewEnvelope(b); err != nil {
			return err
		}
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	e.Sign(key)
	if err := writeEnvelope(c.Out, e); err != nil {
		return err
	}
	fmt.Fprintf(o.stdout, "msg=signed version=%d author=%s root=%s\n", e.Version, key.Name, e.Root())
	return nil
}

type approveCommand struct {
	Envelope string   `arg:"" help:"Signed envelope; the approval is added to it."`
	Key      string   `required:"" placeholder:"FILE" help:"Private key of the approver."`
	Trusted  []string `required:"" sep:"none" placeholder:"FILE" help:"Public keys, one per line, among them the author's; repeatable."`
}

// Run verifies the author's signature and adds the approver's.
func (c *approveCommand) Run(o output) error {
	e, err := readEnvelope(c.Envelope)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	trusted, err := readTrustedKeys(c.Trusted)
	if err != nil {
		return err
	}
	if err := e.Approve(key, trusted); err != nil {
		return err
	}
	if err := writeEnvelope(c.Envelope, e); err != nil {
		return err
	}
	fmt.Fprintf(o.stdout, "msg=approved version=%d author=%s approver=%s root=%s\n", e.Version, e.AuthorName(), key.Name, e.Root())
	return nil
}

// storeFlags are the flags of all commands that access the object API.
type storeFlags struct {
	Store   string        `required:"" placeholder:"URL" help:"URL of the object API."`
	Timeout time.Duration `default:"10s" help:"Time limit of the whole command."`
}

// open returns a client of the object API and a context that ends at the time limit. The caller must call done to
// release both.
func (f *storeFlags) open() (ctx context.Context, client *objectstore.Client, done func(), err error) {
	client, err = objectstore.NewClient(objectstore.Options{BaseURL: f.Store})
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return ctx, client, func() { cancel(); client.Close() }, nil
}

type rolloutCommand struct {
	storeFlags
	Envelope      string   `arg:"" help:"Approved envelope."`
	Trusted       []string `required:"" sep:"none" placeholder:"FILE" help:"Public keys of author and approver, one per line; repeatable."`
	ExpectVersion *uint64  `placeholder:"N" help:"Version that must be current before the rollout; 0 means none."`
}

// Run makes the envelope current with one conditional update. If a concurrent rollout came first, the error names
// the version that it made current.
func (c *rolloutCommand) Run(o output) error {
	e, err := readEnvelope(c.Envelope)
	if err != nil {
		return err
	}
	trusted, err := readTrustedKeys(c.Trusted)
	if err != nil {
		return err
	}
	ctx, store, done, err := c.open()
	if err != nil {
		return err
	}
	defer done()
	result, err := rollout.NewOperator(store, trusted).Rollout(ctx, e, c.ExpectVersion)
	if err != nil {
		return err
	}
	printRecord(o, "rolled_out", result.Record)
	if result.HistoryError != nil {
		fmt.Fprintf(o.stderr, "%s: the history lacks this version until the next rollout: %v\n", programName, result.HistoryError)
	}
	return nil
}

type statusCommand struct{ storeFlags }

// Run prints the record of the current version and a status line for each failure domain.
func (c *statusCommand) Run(o output) error {
	ctx, store, done, err := c.open()
	if err != nil {
		return err
	}
	defer done()
	record, err := rollout.NewOperator(store, nil).Current(ctx)
	if err != nil {
		return err
	}
	printRecord(o, "current", record)
	statuses, err := rollout.Statuses(ctx, store)
	if err != nil {
		return err
	}
	for _, s := range statuses {
		fmt.Fprintf(o.stdout, "msg=status failure_domain=%s nodes=%d in_force=%d behind=%q at=%s\n",
			s.FailureDomain, s.Nodes, s.ByVersion[record.Version], s.Behind, s.At.Format(time.RFC3339))
	}
	return nil
}

type historyCommand struct {
	storeFlags
	Limit int `default:"20" help:"Maximum number of versions to print."`
}

// Run prints the records of the rolled-out versions, one per line.
func (c *historyCommand) Run(o output) error {
	ctx, store, done, err := c.open()
	if err != nil {
		return err
	}
	defer done()
	records, err := rollout.NewOperator(store, nil).History(ctx, c.Limit)
	if err != nil {
		return err
	}
	for _, r := range records {
		printRecord(o, "history", r)
	}
	return nil
}

type restoreCommand struct {
	storeFlags
	Version uint64 `arg:"" help:"Earlier version."`
	Out     string `required:"" placeholder:"ENVELOPE" help:"File for the unsigned envelope."`
}

// Run writes an unsigned envelope with the content of an earlier version and the next version number.
func (c *restoreCommand) Run(o output) error {
	ctx, store, done, err := c.open()
	if err != nil {
		return err
	}
	defer done()
	e, err := rollout.NewOperator(store, nil).Restore(ctx, c.Version)
	if err != nil {
		return err
	}
	if err := writeEnvelope(c.Out, e); err != nil {
		return err
	}
	fmt.Fprintf(o.stdout, "msg=restored from=%d version=%d root=%s\n", c.Version, e.Version, e.Root())
	return nil
}

func printRecord(o output, msg string, r rollout.Record) {
	if r.Version == 0 {
		fmt.Fprintf(o.stdout, "msg=%s version=0\n", msg)
		return
	}
	fmt.Fprintf(o.stdout, "msg=%s version=%d previous=%d author=%s approver=%s at=%s\n",
		msg, r.Version, r.Previous, r.Author, r.Approver, r.At.Format(time.RFC3339))
}
