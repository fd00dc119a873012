package admission

import (
	"sync"
	"time"
)

// maxClassifiedServices bounds the memory of Classes. Routes of services beyond it keep their declared class.
const maxClassifiedServices = 1024

// Classes corrects the declared class of routes at an ingress. It keeps one Classifier per service: usual run times
// differ between services, so only routes of the same service are compared with each other. The zero value is ready
// to use. It is safe for concurrent use.
type Classes struct {
	mu       sync.Mutex
	services map[string]*Classifier
}

// Long reports whether requests of the route are handled as long.
func (c *Classes) Long(service, route string, declaredLong bool) bool {
	if declaredLong {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	classifier := c.services[service]
	return classifier != nil && classifier.Long(route, declaredLong)
}

// Record adds the time from sending an attempt to its successful response. It has no effect on a route declared long.
func (c *Classes) Record(service, route string, declaredLong bool, elapsed time.Duration) {
	if declaredLong {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	classifier := c.services[service]
	if classifier == nil {
		if len(c.services) >= maxClassifiedServices {
			return
		}
		if c.services == nil {
			c.services = make(map[string]*Classifier)
		}
		classifier = &Classifier{}
		c.services[service] = classifier
	}
	classifier.Record(route, declaredLong, elapsed)
}

// Retain removes the routes for which keep returns false, such as those no longer in the bundle.
func (c *Classes) Retain(keep func(service, route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, classifier := range c.services {
		classifier.Retain(func(route string) bool { return keep(service, route) })
		if len(classifier.routes) == 0 {
			delete(c.services, service)
		}
	}
}
