// Package relay calls the table service through the leaders of other zones while direct
// calls fail.
//
// A transaction may be sent both directly and through a leader: its conditions let it
// take effect only once, and its token identifies the transaction that did.
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
	"basilcross.example/gateway/peerclient"
)

const (
	// directTimeout bounds a direct call that can be followed by a relayed one.
	directTimeout = 400 * time.Millisecond
	// directBackoff is how long direct calls are avoided after one failed and the
	// relayed one succeeded.
	directBackoff = 2 * time.Second
)

// Client is a table client that falls back to a relay. All fields must be set.
type Client struct {
	Direct table.Client
	// Peers returns the control addresses of other zones' leaders.
	Peers func() []string
	// Caller calls the leaders that relay.
	Caller *peerclient.Caller
	Log    *slog.Logger

	mu               sync.Mutex
	avoidDirectUntil time.Time
	// relaying is set if the last call that succeeded was relayed.
	relaying bool
}

// Transact sends the transaction directly and, if that fails, through the leader of
// another zone. For directBackoff after a direct call failed and the relayed one succeeded,
// the relayed call is tried first.
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
	res, directErr := c.Direct.Transact(directCtx, tx)
	cancel()
	if directErr == nil {
		c.recordPath(false)
		return res, nil
	}
	res, err := c.transactVia(ctx, peer, tx)
	if err != nil {
		return table.Result{}, fmt.Errorf("%w; through %s: %w", directErr, peer, err)
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
	body, err := json.Marshal(tx)
	if err != nil {
		return res, err
	}
	response, err := c.Caller.Zone(address).Transact(ctx, &control.TransactRequest{Transaction: body})
	if err != nil {
		return res, err
	}
	return res, json.Unmarshal(response.GetResult(), &res)
}
