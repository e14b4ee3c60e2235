// Package peerclient makes RPC clients for other instances.
package peerclient

import (
	"net/http"

	"basilcross.example/gateway/control"
)

// Caller makes clients for instances' control addresses. Client must be set.
type Caller struct {
	Client *http.Client
	// TLS selects https; it must match the instances' control listeners.
	TLS bool
}

func (c *Caller) baseURL(address string) string {
	if c.TLS {
		return "https://" + address
	}
	return "http://" + address
}

// Zone returns a client for the Zone service, which every instance serves.
func (c *Caller) Zone(address string) control.Zone {
	return control.NewZoneProtobufClient(c.baseURL(address), c.Client)
}

// Planner returns a client for the Planner service, which the planner serves.
func (c *Caller) Planner(address string) control.Planner {
	return control.NewPlannerProtobufClient(c.baseURL(address), c.Client)
}
