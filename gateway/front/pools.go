package front

import (
	"context"
	"net"
	"sync"
	"time"

	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/roster"
)

// maxIdlePerTarget limits the idle connections to a target: a few more than its slots.
const maxIdlePerTarget = 6

// Pools holds a connection pool for each incarnation of a target, since another
// incarnation at the same address is another target.
type Pools struct {
	// Dial opens the connections.
	Dial pool.DialFunc
	// Links, if set, records which targets accept connections.
	Links *links.Monitor

	mu    sync.Mutex
	pools map[roster.Incarnation]*pool.Pool
	// targets are the targets that the pools lead to.
	targets map[roster.Incarnation]*roster.Target
	// used is when each pool was last requested.
	used map[roster.Incarnation]time.Time
}

// Get returns the target's pool; it creates the pool on first use.
func (ps *Pools) Get(t *roster.Target) *pool.Pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.pools == nil {
		ps.pools, ps.used = map[roster.Incarnation]*pool.Pool{}, map[roster.Incarnation]time.Time{}
		ps.targets = map[roster.Incarnation]*roster.Target{}
	}
	ps.used[t.Incarnation()] = time.Now()
	p := ps.pools[t.Incarnation()]
	if p == nil {
		p = &pool.Pool{Address: t.Address, Dial: ps.dialTo(t), IdleLimit: maxIdlePerTarget}
		ps.pools[t.Incarnation()], ps.targets[t.Incarnation()] = p, t
	}
	return p
}

// dialTo returns the function that opens the target's connections and records the outcome.
func (ps *Pools) dialTo(t *roster.Target) pool.DialFunc {
	dial := ps.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	if ps.Links == nil {
		return dial
	}
	service, id := t.Service, t.ID
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		switch {
		case err == nil:
			ps.Links.Reached(time.Now(), service, id)
		case ctx.Err() == nil:
			ps.Links.Failed(time.Now(), service, id)
		}
		return c, err
	}
}

// Find returns the latest incarnation of a target that has a pool; nil if there is none.
func (ps *Pools) Find(id string) *roster.Target {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var found *roster.Target
	for incarnation, t := range ps.targets {
		if incarnation.ID == id && (found == nil || t.Started > found.Started) {
			found = t
		}
	}
	return found
}

// Targets returns the targets of a service that have pools.
func (ps *Pools) Targets(service string) (list []*roster.Target) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, t := range ps.targets {
		if t.Service == service {
			list = append(list, t)
		}
	}
	return list
}

// Drop closes the target's idle connections and removes its pool.
func (ps *Pools) Drop(t *roster.Target) {
	ps.mu.Lock()
	p := ps.pools[t.Incarnation()]
	ps.remove(t.Incarnation())
	ps.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// Prune closes the pools of incarnations that are not in the view.
func (ps *Pools) Prune(v *roster.View) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for incarnation, p := range ps.pools {
		if t := v.Find(incarnation.ID); t == nil || t.Started != incarnation.Started {
			p.Close()
			ps.remove(incarnation)
		}
	}
}

// idlePoolTTL is how long a pool is kept that was not requested: targets close connections
// that have been idle for about as long.
const idlePoolTTL = 10 * time.Second

// PruneUnused closes the pools that were not requested for idlePoolTTL.
func (ps *Pools) PruneUnused(now time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for incarnation, used := range ps.used {
		if now.Sub(used) > idlePoolTTL {
			ps.pools[incarnation].Close()
			ps.remove(incarnation)
		}
	}
}

func (ps *Pools) remove(incarnation roster.Incarnation) {
	delete(ps.pools, incarnation)
	delete(ps.targets, incarnation)
	delete(ps.used, incarnation)
}
