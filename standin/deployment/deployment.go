// Package deployment describes the users' deployments: zones, services, targets and load.
package deployment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"basilcross.example/basilcross/config"
)

// Deployment is the deployment of one user.
type Deployment struct {
	Name     string
	Zones    []Zone
	Services []Service
	Kinds    []Kind
	// ZoneDelay, RegionDelay and CallerDelay are one-way delays between zones of a region,
	// between regions, and between a caller and a gateway.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	CallerDelay time.Duration
	// LinkBytesPerSecond is the bandwidth between regions, in each direction.
	LinkBytesPerSecond int
	Gateways           int
	// StoreZone is the zone of the platform and its table service.
	StoreZone string
}

// Zone is an availability zone.
type Zone struct {
	Name   string
	Region string
}

// Service is a set of targets. Slots is the number per target, Shards that of the whole service.
type Service struct {
	Name    string
	Sharded bool
	Targets int
	Slots   int
	Shards  int
}

// Kind is a kind of request, with its share of the load and its mean processing time.
type Kind struct {
	Name       string
	Service    string
	Idempotent bool
	Share      float64
	MeanWork   time.Duration
	Deadline   time.Duration
	Priority   int
}

const linkBytesPerSecond = 30_000_000 / 8

// All returns the known deployments.
func All() []Deployment {
	return []Deployment{tortenprobe(), swanfold()}
}

// Find returns the deployment of this name.
func Find(name string) (Deployment, error) {
	var known []string
	for _, d := range All() {
		if d.Name == name {
			return d, nil
		}
		known = append(known, d.Name)
	}
	return Deployment{}, fmt.Errorf("deployment %q is not known, want one of %s", name, strings.Join(known, ", "))
}

func tortenprobe() Deployment {
	return Deployment{
		Name:  "tortenprobe",
		Zones: []Zone{{"graz", "ost"}, {"wien", "ost"}, {"innsbruck", "west"}, {"salzburg", "west"}},
		Services: []Service{
			{Name: "booking", Targets: 16, Slots: 3},
			{Name: "menus", Sharded: true, Targets: 20, Slots: 3, Shards: 80},
		},
		Kinds: []Kind{
			{Name: "slots", Service: "booking", Idempotent: true, Share: 0.25, MeanWork: 6 * time.Millisecond, Deadline: 2 * time.Second, Priority: 4},
			{Name: "booking", Service: "booking", Share: 0.10, MeanWork: 15 * time.Millisecond, Deadline: 3 * time.Second, Priority: 0},
			{Name: "menus", Service: "menus", Idempotent: true, Share: 0.40, MeanWork: 5 * time.Millisecond, Deadline: 2 * time.Second, Priority: 5},
			{Name: "lists", Service: "menus", Idempotent: true, Share: 0.15, MeanWork: 8 * time.Millisecond, Deadline: 2 * time.Second, Priority: 2},
			{Name: "entry", Service: "menus", Share: 0.10, MeanWork: 10 * time.Millisecond, Deadline: 3 * time.Second, Priority: 1},
		},
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 8 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		LinkBytesPerSecond: linkBytesPerSecond, Gateways: 12, StoreZone: "graz",
	}
}

func swanfold() Deployment {
	return Deployment{
		Name:  "swanfold",
		Zones: []Zone{{"north", "perth"}, {"south", "perth"}, {"east", "bunbury"}, {"west", "bunbury"}},
		Services: []Service{
			{Name: "rates", Targets: 13, Slots: 4},
			{Name: "archive", Sharded: true, Targets: 20, Slots: 4, Shards: 80},
		},
		Kinds: []Kind{
			{Name: "lookup", Service: "rates", Idempotent: true, Share: 0.45, MeanWork: 4 * time.Millisecond, Deadline: 2 * time.Second, Priority: 1},
			{Name: "confirmation", Service: "rates", Share: 0.10, MeanWork: 15 * time.Millisecond, Deadline: 3 * time.Second, Priority: 0},
			{Name: "residuals", Service: "archive", Idempotent: true, Share: 0.25, MeanWork: 12 * time.Millisecond, Deadline: 4 * time.Second, Priority: 5},
			{Name: "record", Service: "archive", Share: 0.10, MeanWork: 10 * time.Millisecond, Deadline: 3 * time.Second, Priority: 1},
			{Name: "pull", Service: "archive", Idempotent: true, Share: 0.10, MeanWork: 60 * time.Millisecond, Deadline: 8 * time.Second, Priority: 9},
		},
		ZoneDelay: 1400 * time.Microsecond, RegionDelay: 8 * time.Millisecond, CallerDelay: time.Millisecond,
		LinkBytesPerSecond: linkBytesPerSecond, Gateways: 12, StoreZone: "north",
	}
}

// Instance is a gateway or target with its zone; Service is empty for gateways.
type Instance struct {
	Name    string
	Zone    Zone
	Service Service
}

// GatewayInstances returns the gateways, distributed evenly over the zones.
func (d Deployment) GatewayInstances() []Instance {
	var out []Instance
	for i := range d.Gateways {
		zone := d.Zones[i%len(d.Zones)]
		out = append(out, Instance{Name: fmt.Sprintf("gw-%s-%d", zone.Name, i/len(d.Zones)+1), Zone: zone})
	}
	return out
}

// TargetInstances returns the targets of all services, distributed evenly over the zones.
func (d Deployment) TargetInstances() []Instance {
	var out []Instance
	for _, s := range d.Services {
		for i := range s.Targets {
			zone := d.Zones[i%len(d.Zones)]
			name := fmt.Sprintf("%s-%s-%d", s.Name, zone.Name, i/len(d.Zones)+1)
			out = append(out, Instance{Name: name, Zone: zone, Service: s})
		}
	}
	return out
}

// Names returns the names that a scenario may use: zones, gateways and targets.
func (d Deployment) Names() []string {
	var names []string
	for _, z := range d.Zones {
		names = append(names, z.Name)
	}
	for _, i := range slices.Concat(d.GatewayInstances(), d.TargetInstances()) {
		names = append(names, i.Name)
	}
	return names
}

// InitialConfig returns the deployment's first configuration document.
func (d Deployment) InitialConfig() *config.Document {
	doc := &config.Document{Author: "demo", Reason: "first configuration of " + d.Name}
	for _, s := range d.Services {
		doc.Services = append(doc.Services, config.Service{Name: s.Name, Sharded: s.Sharded, Shards: s.Shards})
	}
	for _, k := range d.Kinds {
		doc.Kinds = append(doc.Kinds, config.Kind{
			Name: k.Name, Service: k.Service, Idempotent: k.Idempotent,
			Rules: config.Rules{
				Deadline: config.Ptr(config.Duration(k.Deadline)),
				Priority: config.Ptr(k.Priority),
				Weight:   config.Ptr(float64(k.MeanWork) / float64(5*time.Millisecond)),
			},
		})
	}
	return doc
}

// Capacity returns how many requests of this mix the targets can execute per second.
func (d Deployment) Capacity() float64 {
	slots := map[string]float64{}
	for _, s := range d.Services {
		slots[s.Name] = float64(s.Targets * s.Slots)
	}
	demand := map[string]float64{}
	for _, k := range d.Kinds {
		demand[k.Service] += k.Share * k.MeanWork.Seconds()
	}
	capacity := 0.0
	for service, n := range demand {
		if c := slots[service] / n; capacity == 0 || c < capacity {
			capacity = c
		}
	}
	return capacity
}
