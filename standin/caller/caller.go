// Package caller simulates the users' callers with open-loop load: requests are sent when
// they are due, whether or not earlier ones are done.
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
	// keyCount is the number of different keys of a service, zipfExponent their skew.
	keyCount     = 20_000
	zipfExponent = 1.05
	// zipfOffset flattens the head: the hottest key has about 1% of a service.
	zipfOffset = 20
	// timeoutMargin is how long after the deadline a caller times out.
	timeoutMargin = 2 * time.Second
	// maxBalancerAttempts is how many gateways the balancer tries to connect to.
	maxBalancerAttempts = 3
)

// Gateway is a gateway as the callers' load balancer sees it.
type Gateway struct {
	Name    string
	Address string
	Ready   atomic.Bool
}

// Generator sends Rate requests per second, on average, to ready gateways. Call Init before use.
type Generator struct {
	Deployment deployment.Deployment
	Gateways   []*Gateway
	History    *judge.History
	Rate       float64
	Seed       uint64

	client *http.Client
	lastID atomic.Uint64
}

// Init creates the HTTP client.
func (gen *Generator) Init() {
	gen.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// Run sends requests with exponentially distributed gaps until the context ends, and then
// waits for the last responses.
func (gen *Generator) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(gen.Seed, 1))
	ranks := rand.NewZipf(random, zipfExponent, zipfOffset, keyCount-1)
	var group sync.WaitGroup
	defer group.Wait()
	due := time.Now()
	for {
		due = due.Add(time.Duration(random.ExpFloat64() / gen.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		kind := gen.pickKind(random.Float64())
		key := fmt.Sprintf("k%d", ranks.Uint64())
		at := due
		group.Go(func() { gen.Call(kind, key, at) })
	}
}

func (gen *Generator) pickKind(x float64) deployment.Kind {
	for _, k := range gen.Deployment.Kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return gen.Deployment.Kinds[0]
}

// Call sends one request through any ready gateway and records it in the History.
func (gen *Generator) Call(kind deployment.Kind, key string, due time.Time) judge.Call {
	return gen.call(gen.Gateways, kind, key, due, false)
}

// Probe sends one request through a ready one of the gateways. It is recorded and
// checked, but does not count as load.
func (gen *Generator) Probe(gateways []*Gateway, kind deployment.Kind, key string) judge.Call {
	return gen.call(gateways, kind, key, time.Now(), true)
}

func (gen *Generator) call(gateways []*Gateway, kind deployment.Kind, key string, due time.Time, probe bool) judge.Call {
	c := judge.Call{
		Probe:   probe,
		Request: fmt.Sprintf("r%d", gen.lastID.Add(1)),
		Service: kind.Service,
		Kind:    kind.Name,
		Hash:    shard.Hash(kind.Service, key),
		Key:     gen.checkedKey(kind.Service, key),
		Write:   !kind.Idempotent,
		Due:     due,
	}
	ctx, cancel := context.WithTimeout(context.Background(), kind.Deadline+timeoutMargin)
	defer cancel()
	time.Sleep(gen.Deployment.CallerDelay)
	gen.send(ctx, gateways, kind, key, &c)
	time.Sleep(gen.Deployment.CallerDelay)
	c.Done = time.Now()
	gen.History.AddCall(c)
	return c
}

// send sends a request as a load balancer, which tries another gateway only if it can't connect.
func (gen *Generator) send(ctx context.Context, gateways []*Gateway, kind deployment.Kind, key string, c *judge.Call) {
	c.Outcome = judge.Unknown
	for range maxBalancerAttempts {
		g := readyGateway(gateways)
		if g == nil {
			c.Outcome, c.Cause = judge.DidNotRun, "no gateway is ready"
			return
		}
		c.Gateway = g.Name
		err := gen.sendTo(ctx, g, kind, key, c)
		var opErr *net.OpError
		var broken *connectionBrokenError
		if !errors.As(err, &broken) && errors.As(err, &opErr) && opErr.Op == "dial" {
			continue
		}
		if err != nil {
			c.Outcome, c.Cause = judge.ConnectionBroken, "connection to the gateway broke"
		}
		return
	}
	c.Outcome, c.Cause = judge.DidNotRun, "no gateway could be connected to"
}

// checkedKey returns the key whose values the history checks, or "" for unsharded
// services, which have none.
func (gen *Generator) checkedKey(service, key string) string {
	for _, s := range gen.Deployment.Services {
		if s.Name == service && s.Sharded {
			return key
		}
	}
	return ""
}

func readyGateway(gateways []*Gateway) *Gateway {
	start := rand.IntN(len(gateways))
	for i := range gateways {
		if g := gateways[(start+i)%len(gateways)]; g.Ready.Load() {
			return g
		}
	}
	return nil
}

func (gen *Generator) sendTo(ctx context.Context, g *Gateway, kind deployment.Kind, key string, c *judge.Call) error {
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
	// The HTTP client retries a GET whose connection broke; if it then can't
	// connect, the request may still have been executed.
	headersWritten := false
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten = true }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	err = gen.exchange(req, c)
	if headersWritten && err != nil {
		return &connectionBrokenError{cause: err}
	}
	return err
}

// exchange sends a request and records its outcome. An error means that there was no whole response.
func (gen *Generator) exchange(req *http.Request, c *judge.Call) error {
	res, err := gen.client.Do(req)
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

// connectionBrokenError is a failure after the request's headers were written.
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
		var body target.Response
		err := json.Unmarshal(content, &body)
		c.Valid = err == nil && body.Request == c.Request && body.Complete
		c.Executed = res.StatusCode == http.StatusOK
		c.Value = body.Value
		return
	}
	var refused refusal.Body
	if json.Unmarshal(content, &refused) == nil {
		c.Cause = refused.Name
	}
}

// maxKeysTried is how many keys KeyInRange tries, those of the load first.
const maxKeysTried = 200_000

// KeyInRange returns a key of the service whose hash lies in [first, last], or "" if none is found.
func KeyInRange(service string, first, last uint64) string {
	for i := range maxKeysTried {
		key := fmt.Sprintf("k%d", i)
		if h := shard.Hash(service, key); first <= h && h <= last {
			return key
		}
	}
	return ""
}
