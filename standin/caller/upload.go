package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"basilcross.example/standin/judge"
	"basilcross.example/standin/target"
)

const (
	// uploadBytes is the size of an upload: more than the buffers of a socket hold while nothing is read.
	uploadBytes = 900 << 10
	// uploadPause is the time between two uploads of a caller.
	uploadPause = 150 * time.Millisecond
	// uploadTimeout bounds an exchange.
	uploadTimeout = 10 * time.Second
)

// RunUploads runs callers of each gateway that send long requests, until the context ends. Their requests are checked, but do
// not count as load.
func (gen *Generator) RunUploads(ctx context.Context, perGateway int) {
	var group sync.WaitGroup
	for _, g := range gen.Gateways {
		for n := range perGateway {
			group.Go(func() {
				for ctx.Err() == nil {
					if g.Ready.Load() {
						gen.upload(ctx, g, fmt.Sprintf("k%d", n))
					}
					time.Sleep(uploadPause)
				}
			})
		}
	}
	group.Wait()
}

func (gen *Generator) upload(ctx context.Context, g *Gateway, key string) {
	c := gen.newPipelineCall(g, key)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), uploadTimeout)
	defer cancel()
	c.Outcome = judge.Unknown
	url := fmt.Sprintf("http://%s/%s/%s/%s", g.Address, c.Service, c.Kind, pathKey(&c))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("u", uploadBytes)))
	if err != nil {
		return
	}
	req.Header.Set(target.RequestHeader, c.Request)
	if err := gen.exchange(req, &c); err != nil {
		c.Outcome, c.Cause = judge.Unknown, "connection to the gateway broke"
	}
	c.Done = time.Now()
	gen.History.AddCall(c)
}
