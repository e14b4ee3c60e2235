// Package routing finds the route of a request in the operator's configuration.
package routing

import "time"

// Config is one version of the operator's configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says what happens with the requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Priority 0 goes first.
	Priority int
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// Split has one service, or several with weights.
	Split []Share
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of targets that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections a target takes from all callers.
	MaxConns int
	// Sharded services are divided by key.
	Sharded bool
	// WarmupTime is how long keys that came without a handover are slow.
	WarmupTime time.Duration
}

// Limits bound what a caller may send, and how long it may take; zero is none.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderNames has the names of the headers by which callers, instances and targets
// understand each other.
type HeaderNames struct {
	RequestID       string
	TimeLeft        string
	Signature       string
	ExpectedTarget  string
	AnsweringTarget string
	NotRun          string
	ShardKey        string
}
