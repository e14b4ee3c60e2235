package front

import (
	"slices"
	"time"

	"basilcross.example/gateway/peers"
)

const (
	// maxCarriersAsked bounds the instances that a request is offered to by this instance's own
	// choice, and separately those that others suggested.
	maxCarriersAsked = 4
	// maxSuggestions is how many instances one that declines a request suggests.
	maxSuggestions = 2
)

// firstTiers are the nearest tiers in which to look for the instances asked one after the other:
// links may be lost by a whole zone or region, of which every instance would decline. A request is
// served far away rather than refused.
var firstTiers = [maxCarriersAsked]tier{ownZone, ownZone, ownRegion, anywhere}

// tier is the distance of an instance.
type tier int

const (
	ownZone tier = iota
	ownRegion
	anywhere
	tierCount
)

// carrierSearch is the search for an instance that serves a request to a service.
type carrierSearch struct {
	forwarder *Forwarder
	service   string
	// regions are those to which the request's body may be sent; all if empty.
	regions []string
	// chosen counts the instances asked by this instance's choice, followed those suggested.
	chosen, followed int
	asked            map[string]bool
	suggested        []peers.Instance
}

// suggest adds instances that one which declined the request suggested.
func (s *carrierSearch) suggest(list []peers.Instance) { s.suggested = append(s.suggested, list...) }

// next returns the next instance to ask; false if enough were asked or there is none.
func (s *carrierSearch) next(now time.Time) (peers.Instance, bool) {
	if s.followed < maxCarriersAsked {
		if list := s.available(now, s.suggested); len(list) > 0 {
			s.followed++
			return s.take(list[0]), true
		}
	}
	if s.chosen == maxCarriersAsked {
		return peers.Instance{}, false
	}
	list := s.nearest(now, firstTiers[s.chosen])
	if len(list) == 0 {
		return peers.Instance{}, false
	}
	s.chosen++
	return s.take(chooseByCores(list)), true
}

func (s *carrierSearch) take(i peers.Instance) peers.Instance {
	if s.asked == nil {
		s.asked = map[string]bool{}
	}
	s.asked[i.Name] = true
	return i
}

// nearest returns the available instances of the nearest tier that has any, from the given one
// outwards, or else of the nearer ones.
func (s *carrierSearch) nearest(now time.Time, first tier) []peers.Instance {
	for step := range tierCount {
		t := (first + step) % tierCount
		if list := s.available(now, s.forwarder.inTier(now, s.service, t)); len(list) > 0 {
			return list
		}
	}
	return nil
}

// available returns the instances of a list that may be asked.
func (s *carrierSearch) available(now time.Time, list []peers.Instance) (may []peers.Instance) {
	fw := s.forwarder
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for _, i := range list {
		permitted := len(s.regions) == 0 || slices.Contains(s.regions, fw.Region(i.Zone))
		if i.Name != fw.Self.Name && i.Control != "" && permitted && !s.asked[i.Name] && !fw.isAvoided(now, &i, s.service) {
			may = append(may, i)
		}
	}
	return may
}

// inTier returns the instances of a tier: of the own zone its hubs, since thin ones reserve slots
// through these, and of others all that are listed. Those that have served a request for the
// service of late are included if they are not listed: a thin instance lists only its zone's hubs.
func (fw *Forwarder) inTier(now time.Time, service string, t tier) (list []peers.Instance) {
	if t == ownZone {
		return fw.Peers.Hubs(fw.Self.Zone)
	}
	for _, i := range fw.Peers.All() {
		if fw.tierOf(&i) == t {
			list = append(list, i)
		}
	}
	for _, i := range fw.recentlyServed(now, service) {
		if fw.tierOf(&i) == t && fw.Peers.Find(i.Name).Name == "" {
			list = append(list, i)
		}
	}
	return list
}

// recentlyServed returns the instances that have served a request for the service of late.
func (fw *Forwarder) recentlyServed(now time.Time, service string) (list []peers.Instance) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for key, s := range fw.served {
		if key.service == service && now.Sub(s.at) <= servedTTL {
			list = append(list, s.instance)
		}
	}
	return list
}

func (fw *Forwarder) tierOf(i *peers.Instance) tier {
	switch {
	case i.Zone == fw.Self.Zone:
		return ownZone
	case fw.Region(i.Zone) == fw.Region(fw.Self.Zone):
		return ownRegion
	}
	return anywhere
}

// suggestions returns instances that may serve a request which this one declines: one that served
// a request for the service of late, and one of another zone.
func (fw *Forwarder) suggestions(now time.Time, service string, regions []string) (list []peers.Instance) {
	s := carrierSearch{forwarder: fw, service: service, regions: regions}
	if served := s.available(now, fw.recentlyServed(now, service)); len(served) > 0 {
		list = append(list, s.take(chooseByCores(served)))
	}
	if others := s.nearest(now, ownRegion); len(others) > 0 {
		list = append(list, chooseByCores(others))
	}
	return list[:min(len(list), maxSuggestions)]
}
