// Package caller stands in for the users' callers: open-loop load whose
// requests are sent when they are due, whether or not earlier ones are done.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/refusal"
	"basilcross.example/basilcross/shard"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
	"basilcross.example/standin/target"
)

const (
	// keyCount is the number of different keys of a service, zipf their skew.
	keyCount     = 20_000
	zipfExponent = 1.05
	// zipfOffset flattens the head: the hottest key has about 1% of a service.
	zipfOffset = 20
	// timeoutMargin is how much longer than the deadline a caller waits.
	timeoutMargin = 2 * time.Second
	// maxBalancerAttempts is how many gateways the balancer tries to connect to.
	maxBalancerAttempts = 3
)

// Gateway is a way in, as the balancer sees it.
type Gateway struct {
	Name    string
	Address string
	Ready   atomic.Bool
}

// Generator sends requests to the gateways that are ready.
type Generator struct {
	Deployment deployment.Deployment
	Gateways   []*Gateway
	History    *judge.History
	Rate       float64
	Seed       uint64

	client *http.Client
	lastID atomic.Uint64
}

// Init prepares the load.
func (l *Generator) Init() {
	l.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// Run sends with exponentially distributed gaps until the context ends, then
// waits for the last answers.
func (l *Generator) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.Seed, 1))
	ranks := rand.NewZipf(random, zipfExponent, zipfOffset, keyCount-1)
	var group sync.WaitGroup
	defer group.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		kind := l.pickKind(random.Float64())
		key := fmt.Sprintf("k%d", ranks.Uint64())
		at := due
		group.Go(func() { l.Call(kind, key, at) })
	}
}

func (l *Generator) pickKind(x float64) deployment.Kind {
	for _, k := range l.Deployment.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return l.Deployment.Kinds[0]
}

// Call sends one request through any gateway that is ready and records it.
func (l *Generator) Call(kind deployment.Kind, key string, due time.Time) judge.Call {
	return l.call(l.Gateways, kind, key, due, false)
}

// Probe sends one request through one of some gateways. It is judged, but does
// not count as load.
func (l *Generator) Probe(ways []*Gateway, kind deployment.Kind, key string) judge.Call {
	return l.call(ways, kind, key, time.Now(), true)
}

func (l *Generator) call(ways []*Gateway, kind deployment.Kind, key string, due time.Time, probe bool) judge.Call {
	c := judge.Call{
		Probe:   probe,
		Request: fmt.Sprintf("r%d", l.lastID.Add(1)),
		Service: kind.Service,
		Kind:    kind.Name,
		Hash:    shard.Hash(kind.Service, key),
		Key:     l.checkedKey(kind.Service, key),
		Write:   !kind.Idempotent,
		Due:     due,
	}
	ctx, cancel := context.WithTimeout(context.Background(), kind.Deadline+timeoutMargin)
	defer cancel()
	time.Sleep(l.Deployment.CallerDelay)
	l.send(ctx, ways, kind, key, &c)
	time.Sleep(l.Deployment.CallerDelay)
	c.Done = time.Now()
	l.History.AddCall(c)
	return c
}

// send goes through the balancer, which tries another gateway only if it could
// not connect at all.
func (l *Generator) send(ctx context.Context, ways []*Gateway, kind deployment.Kind, key string, c *judge.Call) {
	c.Outcome = judge.Unknown
	for range maxBalancerAttempts {
		g := readyGateway(ways)
		if g == nil {
			c.Outcome, c.Cause = judge.DidNotRun, "no gateway is ready"
			return
		}
		c.Gateway = g.Name
		err := l.sendTo(ctx, g, kind, key, c)
		var op *net.OpError
		var broken *connectionBrokenError
		if !errors.As(err, &broken) && errors.As(err, &op) && op.Op == "dial" {
			continue
		}
		if err != nil {
			c.Outcome, c.Cause = judge.ConnectionBroken, "connection to the gateway broke"
		}
		return
	}
	c.Outcome, c.Cause = judge.DidNotRun, "no gateway could be connected to"
}

// checkedKey is the key for the check of values; only divided services have one.
func (l *Generator) checkedKey(service, key string) string {
	for _, s := range l.Deployment.Services {
		if s.Name == service && s.Sharded {
			return key
		}
	}
	return ""
}

func readyGateway(ways []*Gateway) *Gateway {
	start := rand.IntN(len(ways))
	for i := range ways {
		if g := ways[(start+i)%len(ways)]; g.Ready.Load() {
			return g
		}
	}
	return nil
}

func (l *Generator) sendTo(ctx context.Context, g *Gateway, kind deployment.Kind, key string, c *judge.Call) error {
	method, body := http.MethodGet, ""
	if c.Write {
		method, body = http.MethodPost, "a deposit of 35 EUR for "+key
	}
	url := fmt.Sprintf("http://%s/%s/%s/%s", g.Address, kind.Service, kind.Name, key)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(target.RequestHeader, c.Request)
	// The client repeats a GET whose connection broke; if it then cannot
	// connect, the request may have run all the same.
	wrote := false
	trace := &httptrace.ClientTrace{WroteHeaders: func() { wrote = true }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	res, err := l.client.Do(req)
	if wrote && err != nil {
		return &connectionBrokenError{cause: err}
	}
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	content, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	classify(c, res, content)
	return nil
}

// connectionBrokenError is a failure after the request had been written.
type connectionBrokenError struct{ cause error }

func (e *connectionBrokenError) Error() string { return e.cause.Error() }

func (e *connectionBrokenError) Unwrap() error { return e.cause }

func classify(c *judge.Call, res *http.Response, content []byte) {
	switch refusal.Outcome(res.Header.Get(refusal.OutcomeHeader)) {
	case refusal.DidNotRun:
		c.Outcome = judge.DidNotRun
	case refusal.Unknown:
		c.Outcome = judge.Unknown
	default:
		c.Outcome = judge.Answered
		var a target.Response
		err := json.Unmarshal(content, &a)
		c.Valid = err == nil && a.Request == c.Request && a.Complete
		c.Executed = res.StatusCode == http.StatusOK
		c.Value = a.Value
		return
	}
	var b refusal.Body
	if json.Unmarshal(content, &b) == nil {
		c.Cause = b.Name
	}
}

// maxKeysTried is how many keys KeyIn looks at, those of the load first.
const maxKeysTried = 200_000

// KeyInRange returns a key of the service whose hash lies in the range; empty if
// none is found.
func KeyInRange(service string, first, last uint64) string {
	for i := range maxKeysTried {
		key := fmt.Sprintf("k%d", i)
		if h := shard.Hash(service, key); first <= h && h <= last {
			return key
		}
	}
	return ""
}
