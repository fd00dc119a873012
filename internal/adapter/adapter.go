// Package adapter connects a node to a platform that does not speak the product's own interfaces. An adapter
// translates; it takes no decision and keeps no state beyond a connection.
package adapter

import (
	"log/slog"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"dandelionspoke/internal/announce"
	"dandelionspoke/internal/gate"
	"dandelionspoke/internal/ingress"
	"dandelionspoke/internal/objectstore"
	"dandelionspoke/internal/rollout"
	"dandelionspoke/internal/settings"
)

// Adapter holds the translations for one node. A nil field means the product's own interface. All of them are
// safe for concurrent use.
type Adapter struct {
	CallerProtocol  ingress.Protocol
	BackendProtocol gate.Protocol
	// Announcements serves announce.listen.
	Announcements func(*announce.Registry) http.Handler
	// Health serves health.listen; ready reports whether the node takes new work.
	Health func(ready func() bool) http.Handler
	Store  objectstore.Store
	// Bundles says where the store holds the bundle in force and in which form.
	Bundles rollout.Source
}

// Constructor returns the adapter of a node with the given settings. service returns the name of the service
// beside the node, which may change while the node runs.
type Constructor func(s settings.Settings, service func() string, log *slog.Logger) (*Adapter, error)

var (
	mu           sync.Mutex
	constructors = map[string]Constructor{}
)

// Register makes an adapter available under the name that settings use. A second registration of a name panics.
func Register(name string, c Constructor) {
	mu.Lock()
	defer mu.Unlock()
	if _, taken := constructors[name]; taken {
		panic("adapter: " + name + " is registered twice")
	}
	constructors[name] = c
}

// ErrUnknown reports a name that no adapter has.
var ErrUnknown = errors.New("adapter: unknown name")

// New returns the named adapter, or an empty one for the empty name. Errors wrap ErrUnknown or are those of the
// constructor.
func New(name string, s settings.Settings, service func() string, log *slog.Logger) (*Adapter, error) {
	if name == "" {
		return &Adapter{}, nil
	}
	mu.Lock()
	c := constructors[name]
	mu.Unlock()
	if c == nil {
		return nil, errors.Wrapf(ErrUnknown, "%q, allowed %v", name, Names())
	}
	return c(s, service, log)
}

// Names returns the names of the registered adapters, sorted.
func Names() []string {
	mu.Lock()
	defer mu.Unlock()
	var names []string
	for name := range constructors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
