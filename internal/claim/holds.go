package claim

import "sync"

// heldKey is an idempotency key of a service.
type heldKey struct{ service, key string }

// holds are the claims of runs in progress on this node. The zero value is empty.
type holds struct {
	mu     sync.Mutex
	claims map[heldKey]identity
}

// holder returns the claim of a run in progress here.
func (h *holds) holder(service, key string) (identity, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, found := h.claims[heldKey{service, key}]
	return id, found
}

func (h *holds) hold(service, key string, id identity) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claims == nil {
		h.claims = map[heldKey]identity{}
	}
	h.claims[heldKey{service, key}] = id
}

func (h *holds) drop(service, key string) (identity, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id, found := h.claims[heldKey{service, key}]
	delete(h.claims, heldKey{service, key})
	return id, found
}
