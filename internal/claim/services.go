package claim

import (
	"sync"
	"time"
)

// ClaimerSet holds one Claimer for each service. They share one bound on cached tables and one write limiter.
// It is meant for an ingress, which claims keys of every service that it has a route to. It is safe for
// concurrent use.
type ClaimerSet struct {
	config Config
	shared *sharedState
	shards int

	mu        sync.Mutex
	closed    bool
	byService map[string]*Claimer
	// verifiedRestore is the notice of the latest restore of the store that Observe has reported.
	verifiedRestore time.Time
}

// NewClaimerSet returns an empty set; For adds the claimers. config.Service is ignored.
func NewClaimerSet(config Config) *ClaimerSet {
	return &ClaimerSet{config: config, shared: newSharedState(config), shards: shardCount, byService: map[string]*Claimer{}}
}

// For returns the Claimer of a service, and creates it at the first call for that service. After Close, the
// operations of the Claimer fail.
func (s *ClaimerSet) For(service string) *Claimer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, found := s.byService[service]
	if found {
		return c
	}
	config := s.config
	config.Service = service
	c = newWithSharedState(config, s.shared)
	c.shards = s.shards
	s.byService[service] = c
	if s.closed {
		c.Close()
	}
	return c
}

// Close closes all claimers.
func (s *ClaimerSet) Close() {
	s.mu.Lock()
	s.closed = true
	var claimers []*Claimer
	for _, c := range s.byService {
		claimers = append(claimers, c)
	}
	s.mu.Unlock()
	for _, c := range claimers {
		c.Close()
	}
}
