package claim

import "sync"

// Claimers holds one Claimer for each service. The claimers share one memory bound and one write rate. It
// is meant for an ingress, which claims keys of every service that it has a route to. It is safe for
// concurrent use.
type ClaimerSet struct {
	config Config
	shared *sharedState
	shards int

	mu       sync.Mutex
	closed   bool
	claimers map[string]*Claimer
}

// NewClaimerSet returns a Claimers without claimers. It ignores config.Service.
func NewClaimerSet(config Config) *ClaimerSet {
	return &ClaimerSet{config: config, shared: newSharedState(config), shards: shardCount, claimers: map[string]*Claimer{}}
}

// For returns the Claimer of a service and creates it if necessary. After Close, the operations of the
// Claimer fail.
func (s *ClaimerSet) For(service string) *Claimer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, found := s.claimers[service]
	if found {
		return c
	}
	config := s.config
	config.Service = service
	c = newWithSharedState(config, s.shared)
	c.shards = s.shards
	s.claimers[service] = c
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
	for _, c := range s.claimers {
		claimers = append(claimers, c)
	}
	s.mu.Unlock()
	for _, c := range claimers {
		c.Close()
	}
}
