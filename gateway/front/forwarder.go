package front

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"basilcross.example/basilcross/pool"
	"basilcross.example/gateway/peers"
)

// Forwarder selects the instances through which requests are sent to targets that this one does
// not reach, and keeps the connections to them. All exported fields must be set.
type Forwarder struct {
	Self  peers.Instance
	Peers *peers.Peers
	// Region returns the region of a zone.
	Region func(zone string) string
	Dial   pool.DialFunc

	mu    sync.Mutex
	pools map[string]*carrierPool
	// avoidUntil is until when an instance gets no requests for a service; the service is empty
	// if it gets none at all.
	avoidUntil map[instanceService]time.Time
	// served are the instances that have served a request for a service of late.
	served map[instanceService]servedAt
}

// carrierPool is a pool of connections to an instance, and when it was requested last.
type carrierPool struct {
	*pool.Pool
	used time.Time
}

// servedAt is an instance and when it served a forwarded request last.
type servedAt struct {
	instance peers.Instance
	at       time.Time
}

// instanceService is an incarnation of an instance, and a service.
type instanceService struct{ name, incarnation, service string }

// The times for which an instance gets no forwarded requests, by what it answered.
const (
	// avoidUnlinked: its links to the service's targets are down too.
	avoidUnlinked = time.Second
	// avoidFull: it carries as many requests as it may.
	avoidFull = 100 * time.Millisecond
	// avoidNotReady: it is starting or stopping, or its configuration is older.
	avoidNotReady = 300 * time.Millisecond
	// avoidUnreachable: it accepts no connection, or broke one off.
	avoidUnreachable = 2 * time.Second
	// avoidUnknown: its version does not know forwarded requests.
	avoidUnknown = 30 * time.Second
	// avoidTTL is how long an entry is kept once it has expired.
	avoidTTL = time.Minute
	// servedTTL is how long an instance that served a request is suggested to others.
	servedTTL = 3 * time.Second
)

func chooseByCores(list []peers.Instance) peers.Instance {
	sum := 0.0
	for _, i := range list {
		sum += i.Cores
	}
	at := rand.Float64() * sum
	for _, i := range list {
		if at -= i.Cores; at < 0 {
			return i
		}
	}
	return list[rand.N(len(list))]
}

// isAvoided reports whether an instance gets no requests for the service now. fw.mu must be held.
func (fw *Forwarder) isAvoided(now time.Time, i *peers.Instance, service string) bool {
	return now.Before(fw.avoidUntil[instanceService{i.Name, i.Incarnation, ""}]) ||
		now.Before(fw.avoidUntil[instanceService{i.Name, i.Incarnation, service}])
}

// avoid keeps requests from an instance for a while: those for one service, or all if it is empty.
func (fw *Forwarder) avoid(now time.Time, i *peers.Instance, service string, d time.Duration) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.avoidUntil == nil {
		fw.avoidUntil = map[instanceService]time.Time{}
	}
	for key, until := range fw.avoidUntil {
		if now.Sub(until) > avoidTTL {
			delete(fw.avoidUntil, key)
		}
	}
	fw.avoidUntil[instanceService{i.Name, i.Incarnation, service}] = now.Add(d)
}

// recordServed records that an instance has served a request for the service.
func (fw *Forwarder) recordServed(now time.Time, i *peers.Instance, service string) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	if fw.served == nil {
		fw.served = map[instanceService]servedAt{}
	}
	for key, s := range fw.served {
		if now.Sub(s.at) > servedTTL {
			delete(fw.served, key)
		}
	}
	fw.served[instanceService{i.Name, i.Incarnation, service}] = servedAt{*i, now}
}

// connections returns the pool of connections to an instance.
func (fw *Forwarder) connections(now time.Time, i *peers.Instance) *pool.Pool {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	p := fw.pools[i.Control]
	if p == nil {
		if fw.pools == nil {
			fw.pools = map[string]*carrierPool{}
		}
		p = &carrierPool{Pool: &pool.Pool{Address: i.Control, Dial: fw.Dial}}
		fw.pools[i.Control] = p
	}
	p.used = now
	return p.Pool
}

// Prune closes the connections to instances that are neither listed nor used any more.
func (fw *Forwarder) Prune(now time.Time) {
	listed := map[string]bool{}
	for _, i := range fw.Peers.All() {
		listed[i.Control] = true
	}
	fw.mu.Lock()
	defer fw.mu.Unlock()
	for address, p := range fw.pools {
		if !listed[address] && now.Sub(p.used) > idlePoolTTL {
			p.Close()
			delete(fw.pools, address)
		}
	}
}

// avoidAfter records what an instance's answer says about the next requests for it. It reports
// whether another instance may serve the request instead.
func (fw *Forwarder) avoidAfter(now time.Time, i *peers.Instance, service string, cause string) bool {
	switch cause {
	case causeLinksDown:
		fw.avoid(now, i, service, avoidUnlinked)
	case causeCarrierFull:
		fw.avoid(now, i, "", avoidFull)
	case causeCarrierNotReady:
		fw.avoid(now, i, "", avoidNotReady)
	case causeTargetUnreached, causeTargetRests:
	default:
		return false
	}
	return true
}

// isUnknownPath reports whether a response comes from a version that does not know forwarded
// requests, which has not executed it.
func isUnknownPath(res *http.Response) bool {
	return res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusMethodNotAllowed
}
