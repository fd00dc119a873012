package claim

import "sync"

type heldKey struct{ service, key string }

// heldClaims holds the claims of the runs in progress on this node. The zero value is empty.
type heldClaims struct {
	mu     sync.Mutex
	claims map[heldKey]identity
}

func (h *heldClaims) lookup(service, key string) (identity, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, found := h.claims[heldKey{service, key}]
	return id, found
}

func (h *heldClaims) add(service, key string, id identity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claims == nil {
		h.claims = map[heldKey]identity{}
	}
	h.claims[heldKey{service, key}] = id
}

func (h *heldClaims) remove(service, key string) (identity, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, found := h.claims[heldKey{service, key}]
	delete(h.claims, heldKey{service, key})
	return id, found
}
