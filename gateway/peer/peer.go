// Package peer calls other instances.
package peer

import (
	"net/http"

	"basilcross.example/gateway/control"
)

// Caller calls instances by their control addresses. Client must be set.
type Caller struct {
	Client *http.Client
	// TLS is set where control listeners speak TLS.
	TLS bool
}

func (c *Caller) baseURL(address string) string {
	if c.TLS {
		return "https://" + address
	}
	return "http://" + address
}

// Zone returns the calls that every instance serves.
func (c *Caller) Zone(address string) control.Zone {
	return control.NewZoneProtobufClient(c.baseURL(address), c.Client)
}

// Planner returns the calls that the planner serves.
func (c *Caller) Planner(address string) control.Planner {
	return control.NewPlannerProtobufClient(c.baseURL(address), c.Client)
}
