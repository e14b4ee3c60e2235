package front

import (
	"sync"

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

	mu    sync.Mutex
	pools map[roster.Incarnation]*pool.Pool
}

// Get returns the target's pool; it creates the pool on first use.
func (ps *Pools) Get(t *roster.Target) *pool.Pool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.pools == nil {
		ps.pools = map[roster.Incarnation]*pool.Pool{}
	}
	p := ps.pools[t.Incarnation()]
	if p == nil {
		p = &pool.Pool{Address: t.Address, Dial: ps.Dial, IdleLimit: maxIdlePerTarget}
		ps.pools[t.Incarnation()] = p
	}
	return p
}

// Drop closes the target's idle connections and removes its pool.
func (ps *Pools) Drop(t *roster.Target) {
	ps.mu.Lock()
	p := ps.pools[t.Incarnation()]
	delete(ps.pools, t.Incarnation())
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
			delete(ps.pools, incarnation)
		}
	}
}
