// Package relay reaches the table service through other zones' leaders while
// the direct way fails.
//
// A transaction sent twice by two ways does no harm: its conditions let it take
// effect once, and its token shows whose it was.
package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/table"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/peer"
)

const (
	// directTimeout bounds the direct try where another way is left.
	directTimeout = 400 * time.Millisecond
	// directBackoff is how long the direct way is not tried after it failed
	// and a relay worked.
	directBackoff = 2 * time.Second
)

// Client is a table client with a second way. All fields must be set.
type Client struct {
	Direct table.Client
	// Peers returns the control addresses of other zones' leaders.
	Peers  func() []string
	Caller *peer.Caller
	Log    *slog.Logger

	mu               sync.Mutex
	avoidDirectUntil time.Time
	relaying         bool
}

// Transact tries the direct way, then one other leader.
func (c *Client) Transact(ctx context.Context, tx table.Transaction) (table.Result, error) {
	peers := c.Peers()
	if len(peers) == 0 {
		return c.Direct.Transact(ctx, tx)
	}
	peer := peers[rand.IntN(len(peers))]
	if c.avoidsDirect() {
		if res, err := c.transactVia(ctx, peer, tx); err == nil {
			return res, nil
		}
	}
	directCtx, cancel := context.WithTimeout(ctx, directTimeout)
	res, direct := c.Direct.Transact(directCtx, tx)
	cancel()
	if direct == nil {
		c.recordPath(false)
		return res, nil
	}
	res, err := c.transactVia(ctx, peer, tx)
	if err != nil {
		return table.Result{}, fmt.Errorf("%w; through %s: %w", direct, peer, err)
	}
	c.recordPath(true)
	return res, nil
}

func (c *Client) avoidsDirect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.avoidDirectUntil)
}

func (c *Client) recordPath(relayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if relayed {
		c.avoidDirectUntil = time.Now().Add(directBackoff)
	}
	if relayed && !c.relaying {
		event.RelayInUse.Log(c.Log)
	}
	c.relaying = relayed
}

func (c *Client) transactVia(ctx context.Context, address string, tx table.Transaction) (table.Result, error) {
	var res table.Result
	content, err := json.Marshal(tx)
	if err != nil {
		return res, err
	}
	answer, err := c.Caller.Zone(address).Transact(ctx, &control.TransactRequest{Transaction: content})
	if err != nil {
		return res, err
	}
	return res, json.Unmarshal(answer.GetResult(), &res)
}
