package routing

import "sync"

// Splitter deals a route's requests to its services in the proportion of their
// weights. It deals evenly (smooth weighted round robin), so that the shares
// hold over few requests too. The zero value works.
type Splitter struct {
	mu      sync.Mutex
	weights map[string]map[string]int
}

// Next returns the service of the route's next request. Routes are known by
// name, so that a new configuration goes on where the last one was.
func (s *Splitter) Next(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.weights == nil {
		s.weights = map[string]map[string]int{}
	}
	debt := s.weights[r.Name]
	if debt == nil {
		debt = map[string]int{}
		s.weights[r.Name] = debt
	}
	total, best := 0, ""
	for _, share := range r.Split {
		total += share.Weight
		debt[share.Service] += share.Weight
		if share.Weight > 0 && (best == "" || debt[share.Service] > debt[best]) {
			best = share.Service
		}
	}
	debt[best] -= total
	return best
}
