// Package routing finds the route of a request in the operator's configuration.
package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route configures the requests of a host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix ends with a slash.
	Prefix string
	// Type may be nil, which is treated as Unsafe.
	Type RouteType
	// Timeout is how long a caller waits at most.
	Timeout time.Duration
	// Objective is the desired response time; a later answer is worth less.
	Objective time.Duration
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is how many targets a request may be sent to.
	MaxAttempts int
	// Split lists the services of the route, with weights if there are several.
	Split []Share
	// Regions are the regions in which the requests may be served; empty: in all.
	Regions []string
}

// Kind returns the number of the route's requests among kinds of requests.
func (r *Route) Kind() uint32 { return uint32(xxhash.Sum64String(r.Name)) }

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of targets that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections a target accepts from all callers.
	MaxConns int
	// Sharded services have their requests divided by key; a key has at most one owner.
	Sharded bool
	// WarmupTime is how long keys are slow that a target got without a handover.
	WarmupTime time.Duration
	// ColdTime is how long a target is cold after its start. While it is cold, it accepts
	// ColdRate requests per second from all instances together; 0: any number.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound callers' requests; zero is no limit.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderNames are the headers that callers, instances and targets exchange.
type HeaderNames struct {
	RequestID string
	// TimeLeft is the header with the time left until the deadline, in milliseconds.
	TimeLeft        string
	Signature       string
	ExpectedTarget  string
	AnsweringTarget string
	NotExecuted     string
	ShardKey        string
	// Load is the header in which some targets report their load.
	Load string
	// RateLimit is the header in which a target states how many requests per second it accepts.
	RateLimit string
	// Rest is the header in which a target that turned a request away states for how long it wants none
	// from the same instance, and Leaving that in which it states that it leaves.
	Rest    string
	Leaving string
}

// TargetLoad is what a target reports of its load with a response.
type TargetLoad struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting, Slots int
	// Slowness is how long work takes at the moment, as a multiple of the usual time; 0 if
	// it is not reported.
	Slowness float64
}
