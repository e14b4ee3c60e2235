package peers

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// largeZone is the number of instances up to which all instances of an availability
	// zone are hubs.
	largeZone = 32
	// HubsPerZone is the number of hubs in a larger zone: enough to bear the loss of several,
	// and to share the reservations of the zone's thin instances.
	HubsPerZone = 16
	// minStrongHubs is the number of instances with at least half the cores of the first above
	// which these alone are the hubs.
	minStrongHubs = 6
)

// MaxListed is how many instances of its zone an instance must list to know its own role.
const MaxListed = largeZone + 1

// RanksBefore reports whether i ranks before other: an instance with more CPU cores does,
// since hubs send each change to their zone and schedule for it. Equal ones are ordered by a
// hash of the name, so that all instances agree.
func (i *Instance) RanksBefore(other *Instance) bool {
	if i.Cores != other.Cores {
		return i.Cores > other.Cores
	}
	return i.rankHash() < other.rankHash()
}

func (i *Instance) rankHash() uint64 { return xxhash.Sum64String("reader\x00" + i.Name) }

// CompareRank orders instances by rank, for slices.SortFunc.
func CompareRank(a, b Instance) int {
	if a.RanksBefore(&b) {
		return -1
	}
	return 1
}

// maxCores is above the number of cores of any instance.
const maxCores = 100_000

// RowKey is the key of the instance's row in the store. A zone's rows are in the order of
// rank.
func (i *Instance) RowKey() string {
	return fmt.Sprintf("%s%09d/%016x/%s", RowPrefix(i.Zone), int(1000*(maxCores-i.Cores)), i.rankHash(), i.Name)
}

// RowPrefix is what the keys of a zone's rows begin with.
func RowPrefix(zone string) string { return zone + "/" }

// zoneMembers are an availability zone's instances.
type zoneMembers struct {
	listed []Instance
	// hubs are in the order of rank.
	hubs []Instance
}

// Hubs returns a zone's hubs, first by rank: all its instances if they are few, and otherwise
// those that have far more cores than the rest, or the first ones if these are too few. The place of one that has left stays free until it returns, so that
// restarts change no other instance's role. The caller must not modify the slice.
func (p *Peers) Hubs(zone string) []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members(zone).hubs
}

// SelfIsThin reports whether, by this instance's list, its zone is large and other instances
// are its hubs.
func (p *Peers) SelfIsThin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	ranked := p.rankedIn(p.Self.Zone)
	isSelf := func(i peer) bool { return i.instance.Name == p.Self.Name }
	if !slices.ContainsFunc(ranked, isSelf) {
		ranked = append(ranked, peer{instance: p.Self})
		slices.SortFunc(ranked, compareRank)
	}
	return !slices.ContainsFunc(hubsOf(ranked), isSelf)
}

// rankedIn returns a zone's instances in the order of rank, also those that have left. p.mu must
// be held.
func (p *Peers) rankedIn(zone string) (ranked []peer) {
	for _, listed := range p.byName {
		if listed.instance.Zone == zone {
			ranked = append(ranked, listed)
		}
	}
	slices.SortFunc(ranked, compareRank)
	return ranked
}

func compareRank(a, b peer) int { return CompareRank(a.instance, b.instance) }

// hubsOf returns the hubs among a zone's instances.
func hubsOf(ranked []peer) []peer {
	if len(ranked) <= largeZone {
		return ranked
	}
	strong := slices.IndexFunc(ranked, func(i peer) bool { return i.instance.Cores < ranked[0].instance.Cores/2 })
	if strong >= minStrongHubs {
		return ranked[:min(strong, HubsPerZone)]
	}
	return ranked[:HubsPerZone]
}

// members returns a zone's instances. p.mu must be held.
func (p *Peers) members(zone string) *zoneMembers {
	if m := p.byZone[zone]; m != nil {
		return m
	}
	m := &zoneMembers{}
	ranked := p.rankedIn(zone)
	for _, i := range ranked {
		if !i.left {
			m.listed = append(m.listed, i.instance)
		}
	}
	for _, h := range hubsOf(ranked) {
		if !h.left {
			m.hubs = append(m.hubs, h.instance)
		}
	}
	if p.byZone == nil {
		p.byZone = map[string]*zoneMembers{}
	}
	p.byZone[zone] = m
	return m
}

// BroadcastToHubs sends a message to the hubs of all zones.
func (p *Peers) BroadcastToHubs(m *Message) {
	p.mu.Lock()
	if p.hubAddrs == nil {
		zones := map[string]bool{}
		for _, listed := range p.byName {
			zones[listed.instance.Zone] = true
		}
		for zone := range zones {
			for _, h := range p.members(zone).hubs {
				if listed := p.byName[h.Name]; h.Name != p.Self.Name && listed.addr.IsValid() {
					p.hubAddrs = append(p.hubAddrs, listed.addr)
				}
			}
		}
	}
	addrs := p.hubAddrs
	p.mu.Unlock()
	p.write(m, addrs)
}
