// Package adapter connects a node to a platform that does not implement this project's own protocols. An adapter
// translates between protocols; it makes no decisions and keeps no state beyond a connection.
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

// Adapter holds the protocol implementations of one node. A nil field selects this project's own protocol. All
// implementations are safe for concurrent use.
type Adapter struct {
	// CallerProtocol is the protocol between callers and the ingress.
	CallerProtocol ingress.Protocol
	// BackendProtocol is the protocol between the gate and the backend server.
	BackendProtocol gate.Protocol
	// Announcements returns the handler for an address at which backend servers announce themselves.
	Announcements func(*announce.Registry, announce.Channel) http.Handler
	// Health returns the handler for health.listen; ready reports whether the node accepts new requests.
	Health func(ready func() bool) http.Handler
	Store  objectstore.Store
	// Bundles is the location and encoding of the bundle in force in the store.
	Bundles rollout.Source
	// Configure sets the settings that the platform passes outside the settings file; nil sets none.
	Configure func(*settings.Settings)
}

// Constructor returns the adapter of a node with the given settings. service returns the name of the service of
// the backend server on the node's VM, which may change while the node runs.
type Constructor func(s settings.Settings, service func() string, log *slog.Logger) (*Adapter, error)

var (
	registryMu   sync.Mutex
	constructors = map[string]Constructor{}
)

// Register makes an adapter available under the given name, the value of the adapter setting. It panics if the
// name is already registered.
func Register(name string, c Constructor) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, exists := constructors[name]; exists {
		panic("adapter: " + name + " is registered twice")
	}
	constructors[name] = c
}

// ErrUnknown reports a name under which no adapter is registered.
var ErrUnknown = errors.New("adapter: unknown name")

// New returns the named adapter, or an empty one for the empty name. It returns an error that wraps ErrUnknown,
// or the constructor's error.
func New(name string, s settings.Settings, service func() string, log *slog.Logger) (*Adapter, error) {
	if name == "" {
		return &Adapter{}, nil
	}
	registryMu.Lock()
	constructor := constructors[name]
	registryMu.Unlock()
	if constructor == nil {
		return nil, errors.Wrapf(ErrUnknown, "%q, allowed %v", name, Names())
	}
	return constructor(s, service, log)
}

// Names returns the names of the registered adapters, sorted.
func Names() []string {
	registryMu.Lock()
	defer registryMu.Unlock()
	var names []string
	for name := range constructors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
