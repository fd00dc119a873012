package claim

import "sync"

// Services holds one Claimer for each service, with one bound on the memory of all. It suits an
// ingress, which claims keys of every service that it has a route to. It is safe for concurrent use.
type Claimers struct {
	config Config
	shared *shared
	shards int

	mu       sync.Mutex
	closed   bool
	claimers map[string]*Claimer
}

// NewClaimers returns a Services without claimers. config.Service is not used.
func NewClaimers(config Config) *Claimers {
	return &Claimers{config: config, shared: newShared(config), shards: shardCount, claimers: map[string]*Claimer{}}
}

// For returns the Claimer of a service. After Close, the operations of the Claimer fail.
func (s *Claimers) For(service string) *Claimer {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, found := s.claimers[service]
	if found {
		return c
	}
	config := s.config
	config.Service = service
	c = newSharing(config, s.shared)
	c.shards = s.shards
	s.claimers[service] = c
	if s.closed {
		c.Close()
	}
	return c
}

// Close closes all claimers.
func (s *Claimers) Close() {
	s.mu.Lock()
	s.closed = true
	var open []*Claimer
	for _, c := range s.claimers {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}
