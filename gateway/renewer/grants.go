package renewer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/grant"
	"basilcross.example/gateway/view"
)

// grantIndex caches each target's grants, by service, for the last assignment used.
type grantIndex struct {
	services map[string]serviceGrants
}

type serviceGrants struct {
	assignment *assignment.Assignment
	byTarget   map[string][]grant.Grant
}

func (x *grantIndex) grantsOf(s *view.Service, target string) []grant.Grant {
	name := s.Assignment.Service
	if x.services == nil {
		x.services = map[string]serviceGrants{}
	}
	if x.services[name].assignment != s.Assignment {
		x.services[name] = indexGrants(s.Assignment)
	}
	return x.services[name].byTarget[target]
}

func indexGrants(a *assignment.Assignment) serviceGrants {
	g := serviceGrants{assignment: a, byTarget: map[string][]grant.Grant{}}
	for _, s := range a.Shards {
		g.byTarget[s.Owner] = append(g.byTarget[s.Owner], grant.Grant{
			First:   s.First,
			Last:    s.Last,
			Epoch:   s.Epoch,
			Revoked: s.MovingTo != "",
		})
	}
	return g
}

// HTTPCaller sends orders over HTTP, in place of the users' own protocol.
type HTTPCaller struct {
	Client *http.Client
}

// maxStatusBytes bounds the size of a target's status.
const maxStatusBytes = 1 << 20

// Order posts the order and returns the target's status.
func (c *HTTPCaller) Order(ctx context.Context, address string, o grant.Order) (grant.Status, error) {
	var s grant.Status
	content, err := json.Marshal(o)
	if err != nil {
		return s, fmt.Errorf("encode order to %s: %w", address, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+grant.Path, bytes.NewReader(content))
	if err != nil {
		return s, fmt.Errorf("create order request to %s: %w", address, err)
	}
	// No target uses this header, and orders are sent several times a second.
	req.Header.Set("User-Agent", "")
	res, err := c.Client.Do(req)
	if err != nil {
		return s, fmt.Errorf("send order: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return s, fmt.Errorf("send order to %s: target responded with status %d", address, res.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil {
		return s, fmt.Errorf("read status of %s: %w", address, err)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("decode status of %s: %w", address, err)
	}
	return s, nil
}
