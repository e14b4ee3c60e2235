package front

import (
	"sync"

	"basilcross.example/basilcross/pool"
	"basilcross.example/basilcross/roster"
)

// maxIdlePerTarget is how many idle connections to a target are kept: a few more
// than its slots.
const maxIdlePerTarget = 6

// Pools holds the connections to all targets, by lifetime: another lifetime at
// the same address is another target.
type Pools struct {
	Dial pool.DialFunc

	mu    sync.Mutex
	pools map[roster.Incarnation]*pool.Pool
}

// Get returns the connections to a target.
func (l *Pools) Get(t *roster.Target) *pool.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		l.pools = map[roster.Incarnation]*pool.Pool{}
	}
	p := l.pools[t.Incarnation()]
	if p == nil {
		p = &pool.Pool{Address: t.Address, Dial: l.Dial, IdleLimit: maxIdlePerTarget}
		l.pools[t.Incarnation()] = p
	}
	return p
}

// Drop closes the idle connections to a target.
func (l *Pools) Drop(t *roster.Target) {
	l.mu.Lock()
	p := l.pools[t.Incarnation()]
	delete(l.pools, t.Incarnation())
	l.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// Prune closes the connections to targets that are not in the view.
func (l *Pools) Prune(v *roster.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life, p := range l.pools {
		if t := v.Targets[life.ID]; t == nil || t.Started != life.Started {
			p.Close()
			delete(l.pools, life)
		}
	}
}
