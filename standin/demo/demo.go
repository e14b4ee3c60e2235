package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"basilcross.example/standin/caller"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
	"basilcross.example/standin/link"
	"basilcross.example/standin/scenario"
)

const (
	// readinessInterval is the interval of the load balancer's health checks of a gateway.
	readinessInterval = 250 * time.Millisecond
	// warmup is the first part of the run, which the imbalance leaves out.
	warmup = time.Second
	// progressInterval is the interval between two lines of progress.
	progressInterval = 2 * time.Second
)

// Run builds the gateway, runs a scenario, writes its progress to out, and returns the report.
func Run(ctx context.Context, s *scenario.Scenario, out io.Writer) (*Report, error) {
	d, err := deployment.Find(s.Deployment)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "basilcross-demo-")
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "%s: %d gateways, %d zones; logs in %s\n", d.Name, d.Gateways, len(d.Zones), folder)
	binary, err := buildGateway(folder)
	if err != nil {
		return nil, err
	}
	f := newFleet(d, binary, folder)
	f.unfenced = s.Unfenced
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	return f.runScenario(ctx, s, out)
}

func (f *fleet) runScenario(ctx context.Context, s *scenario.Scenario, out io.Writer) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.generator = &caller.Generator{Deployment: f.deployment, History: f.history, Rate: s.Load.RequestsPerSecond, Seed: s.Seed}
	for _, g := range f.gateways {
		f.generator.Gateways = append(f.generator.Gateways, g.endpoint)
	}
	f.generator.Init()
	var background sync.WaitGroup
	background.Go(func() { f.pollGateways(ctx) })
	if err := f.await(ctx, "a ready gateway", func() bool { return f.generator.Gateways[0].Ready.Load() }); err != nil {
		return nil, err
	}
	began := time.Now()
	before := f.usage()
	loadCtx, stopLoad := context.WithDeadline(ctx, began.Add(time.Duration(s.Seconds)*time.Second))
	defer stopLoad()
	background.Go(func() { f.printProgress(loadCtx, began, out) })
	background.Go(func() { f.generator.RunPipelines(loadCtx, s.Load.Pipelines) })
	background.Go(func() { f.generator.RunUploads(loadCtx, s.Load.Uploads) })
	results := f.scheduleFaults(ctx, s, began, out)
	f.generator.Run(loadCtx)
	faults := results()
	used := f.usage().since(before)
	stale := f.staleGateways(ctx)
	for _, t := range f.targets {
		t.Thaw()
		t.Flush()
	}
	cancel()
	background.Wait()
	r := f.report(s, began, faults, used)
	r.Unmet = append(r.Unmet, stale...)
	return r, nil
}

// staleGateways returns an entry for the report for each gateway that still lacks the newest
// configuration after all faults are reverted.
func (f *fleet) staleGateways(ctx context.Context) []string {
	newest := uint64(0)
	list := func() []string {
		var names []string
		for _, g := range f.gateways {
			g.mu.Lock()
			newest = max(newest, g.version)
			stale := g.process != nil && g.version < newest
			g.mu.Unlock()
			if stale && !f.network.IsCut(g.Zone.Name, link.PlatformZone) {
				names = append(names, g.Name+" lacks the newest configuration at the end")
			}
		}
		return names
	}
	list()
	if f.await(ctx, "the newest configuration on every gateway", func() bool { return len(list()) == 0 }) != nil {
		return list()
	}
	return nil
}

// scheduleFaults starts each fault at its time; the returned function waits for their results.
func (f *fleet) scheduleFaults(ctx context.Context, s *scenario.Scenario, began time.Time, out io.Writer) func() []*FaultResult {
	results := make([]*FaultResult, len(s.Faults))
	var group sync.WaitGroup
	for i, fault := range s.Faults {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(fault.At())))
			fmt.Fprintf(out, "%6.1fs  %s %s\n", time.Since(began).Seconds(), fault.Do, fault.On)
			results[i] = f.runFault(ctx, fault)
		})
	}
	return func() []*FaultResult {
		group.Wait()
		return results
	}
}

// pollGateways polls readiness and configuration version of every gateway, as the load
// balancer of the callers would.
func (f *fleet) pollGateways(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, g := range f.gateways {
		group.Go(func() {
			tick := time.NewTicker(readinessInterval)
			defer tick.Stop()
			for {
				f.pollGateway(g)
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
}

func (f *fleet) pollGateway(g *gateway) {
	g.endpoint.Ready.Store(g.get("/readyz", nil) == nil)
	var s status
	if g.get("/v1/status", &s) != nil {
		return
	}
	version := s.Versions[configVersionKey]
	g.mu.Lock()
	defer g.mu.Unlock()
	if version < g.version {
		f.history.AddConfigReversion()
	}
	g.version = version
}

func (f *fleet) printProgress(ctx context.Context, began time.Time, out io.Writer) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	seen := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		calls := f.history.CallsSince(seen)
		seen += len(calls)
		answered, unanswered := 0, 0
		for _, c := range calls {
			if c.Outcome == judge.Answered {
				answered++
			} else {
				unanswered++
			}
		}
		fmt.Fprintf(out, "%6.1fs  %5d answered, %4d not\n", time.Since(began).Seconds(), answered, unanswered)
	}
}
