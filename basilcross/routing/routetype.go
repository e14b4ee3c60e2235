package routing

// RouteType is what the operator says of a route's requests: Safe, Unsafe, Upload or
// Unknown.
type RouteType interface{ routeType() }

// Safe requests may run more than once.
type Safe struct{}

// Unsafe requests run at most once.
type Unsafe struct{}

// Upload requests have large bodies, and run at most once.
type Upload struct{}

// Unknown is a type that this version does not know. Its requests run at most once, which
// no type forbids.
type Unknown struct{ Name string }

func (Safe) routeType()    {}
func (Unsafe) routeType()  {}
func (Upload) routeType()  {}
func (Unknown) routeType() {}

// Idempotent reports whether the route's requests may run more than once.
func (r *Route) Idempotent() bool {
	switch r.Type.(type) {
	case Safe:
		return true
	case Unsafe, Upload, Unknown:
		return false
	}
	return false
}
