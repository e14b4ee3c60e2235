package routing

import "sync"

// Splitter distributes a route's requests over its services in proportion to their
// weights. It uses smooth weighted round robin, so that the shares hold over few
// requests too. The zero value is ready to use. It is safe for concurrent use.
type Splitter struct {
	mu sync.Mutex
	// weights has the current weight of each service, by route and service name.
	weights map[string]map[string]int
}

// Next returns the service of the route's next request. Routes are identified by name,
// so that a new configuration continues from the current weights.
func (s *Splitter) Next(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weights == nil {
		s.weights = map[string]map[string]int{}
	}
	current := s.weights[r.Name]
	if current == nil {
		current = map[string]int{}
		s.weights[r.Name] = current
	}
	total, best := 0, ""
	for _, share := range r.Split {
		total += share.Weight
		current[share.Service] += share.Weight
		if share.Weight > 0 && (best == "" || current[share.Service] > current[best]) {
			best = share.Service
		}
	}
	current[best] -= total
	return best
}
