package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"basilcross.example/basilcross/shard"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
	"basilcross.example/standin/target"
)

const (
	// pipelineFiller is the size of the filler that pipelining callers want, in bytes: more than pipelineWindow, the
	// size of their receive buffers.
	pipelineFiller = 30_000
	pipelineWindow = 16 << 10
	// behindDelay is how long after the first request a pipelining caller sends the second one, and pipelinePause the
	// time between two pairs.
	behindDelay   = 10 * time.Millisecond
	pipelinePause = 200 * time.Millisecond
	// pipelineTimeout bounds an exchange.
	pipelineTimeout = 10 * time.Second
)

// RunPipelines runs callers of each gateway that keep their connections and send a second request before the
// first one is answered, until the context ends. Their requests are checked, but do not count as load.
func (gen *Generator) RunPipelines(ctx context.Context, perGateway int) {
	var group sync.WaitGroup
	for _, g := range gen.Gateways {
		for n := range perGateway {
			group.Go(func() { gen.runPipeline(ctx, g, n) })
		}
	}
	group.Wait()
}

func (gen *Generator) runPipeline(ctx context.Context, g *Gateway, n int) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pipelineWindow)
		})
	}}
	for ctx.Err() == nil {
		if c, err := dialer.DialContext(ctx, "tcp", g.Address); g.Ready.Load() && err == nil {
			gen.usePipeline(ctx, g, c, n)
			_ = c.Close()
		} else if err == nil {
			_ = c.Close()
		}
		time.Sleep(pipelinePause)
	}
}

// usePipeline sends pairs of requests until the connection is to be closed.
func (gen *Generator) usePipeline(ctx context.Context, g *Gateway, c net.Conn, n int) {
	reader := bufio.NewReader(c)
	for ctx.Err() == nil {
		_ = c.SetDeadline(time.Now().Add(pipelineTimeout))
		var calls [2]judge.Call
		for k := range calls {
			calls[k] = gen.newPipelineCall(g, fmt.Sprintf("k%d", n))
			if _, err := io.WriteString(c, gen.pipelineRequest(&calls[k])); err != nil {
				// It may have been read.
				calls[k].Outcome = judge.Unknown
			}
			time.Sleep(behindDelay)
		}
		goOn := true
		for k := range calls {
			if goOn && calls[k].Outcome == "" {
				goOn = readPipelined(reader, &calls[k], k == 0)
			} else if calls[k].Outcome == "" {
				calls[k].Outcome = judge.Unknown
			}
			calls[k].Done = time.Now()
			gen.History.AddCall(calls[k])
		}
		if !goOn {
			return
		}
		time.Sleep(pipelinePause)
	}
}

// idempotentKind returns a kind that the pipelining callers send.
func (gen *Generator) idempotentKind() deployment.Kind {
	for _, k := range gen.Deployment.Kinds {
		if k.Idempotent {
			return k
		}
	}
	return gen.Deployment.Kinds[0]
}

func (gen *Generator) newPipelineCall(g *Gateway, key string) judge.Call {
	kind := gen.idempotentKind()
	return judge.Call{
		Probe: true, Request: fmt.Sprintf("r%d", gen.lastID.Add(1)), Service: kind.Service, Kind: kind.Name,
		Hash: shard.Hash(kind.Service, key), Key: gen.checkedKey(kind.Service, key), Due: time.Now(), Gateway: g.Name,
	}
}

func (gen *Generator) pipelineRequest(c *judge.Call) string {
	return fmt.Sprintf("GET /%s/%s/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		c.Service, c.Kind, pathKey(c), c.Gateway, target.RequestHeader, c.Request, target.FillerHeader, pipelineFiller)
}

// pathKey returns the key in a request's path: any for services whose keys are not checked.
func pathKey(c *judge.Call) string {
	if c.Key != "" {
		return c.Key
	}
	return "k0"
}

// readPipelined reads a response and reports whether the connection can be used further. Only a first request whose
// response breaks off counts as cut: one without any response may have met the close of its connection.
func readPipelined(reader *bufio.Reader, c *judge.Call, first bool) (goOn bool) {
	c.Outcome = judge.Unknown
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	res, err := http.ReadResponse(reader, nil)
	if err == nil {
		defer func() { _ = res.Body.Close() }()
		var content []byte
		if content, err = io.ReadAll(res.Body); err == nil {
			classify(c, res, content)
			return !res.Close
		}
	}
	if first {
		c.Outcome, c.Cause = judge.ConnectionBroken, "response broke off"
	}
	return false
}
