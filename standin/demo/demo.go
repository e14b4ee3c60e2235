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
	// readinessInterval is how often the balancer asks gateways for readiness.
	readinessInterval = 250 * time.Millisecond
	// warmup is the load's time before the first figures count.
	warmup = time.Second
	// progressInterval lies between two lines of progress.
	progressInterval = 2 * time.Second
)

// Run carries out a scenario, shows its progress, and returns the report.
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

// runScenario runs load and faults on a fleet that is up.
func (f *fleet) runScenario(ctx context.Context, s *scenario.Scenario, out io.Writer) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.load = &caller.Generator{Deployment: f.deployment, History: f.history, Rate: s.Load.RequestsPerSecond, Seed: s.Seed}
	for _, g := range f.gateways {
		f.load.Gateways = append(f.load.Gateways, g.entry)
	}
	f.load.Init()
	var watch sync.WaitGroup
	watch.Go(func() { f.pollGateways(ctx) })
	if err := f.await(ctx, "gateways are ready", func() bool { return f.load.Gateways[0].Ready.Load() }); err != nil {
		return nil, err
	}
	began := time.Now()
	usage := f.usage()
	loadCtx, stopLoad := context.WithDeadline(ctx, began.Add(time.Duration(s.Seconds)*time.Second))
	defer stopLoad()
	watch.Go(func() { f.printProgress(loadCtx, began, out) })
	results := f.scheduleFaults(ctx, s, began, out)
	f.load.Run(loadCtx)
	faults := results()
	used := f.usage().since(usage)
	lagging := f.staleGateways(ctx)
	for _, t := range f.targets {
		t.Thaw()
		t.Flush()
	}
	cancel()
	watch.Wait()
	r := f.report(s, began, faults, used)
	r.Unmet = append(r.Unmet, lagging...)
	return r, nil
}

// staleGateways names the gateways that do not have the newest configuration when all
// faults are mended.
func (f *fleet) staleGateways(ctx context.Context) []string {
	newest := uint64(0)
	behind := func() []string {
		var names []string
		for _, g := range f.gateways {
			g.mu.Lock()
			newest = max(newest, g.version)
			late := g.process != nil && g.version < newest
			g.mu.Unlock()
			if late && !f.network.IsCut(g.Zone.Name, link.PlatformZone) {
				names = append(names, g.Name+" lacks the newest configuration at the end")
			}
		}
		return names
	}
	behind()
	if f.await(ctx, "newest configuration everywhere", func() bool { return len(behind()) == 0 }) != nil {
		return behind()
	}
	return nil
}

// scheduleFaults starts every fault at its time; the returned function waits for all.
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

// pollGateways keeps the readiness of every gateway and watches the versions.
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
	g.entry.Ready.Store(g.get("/readyz", nil) == nil)
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
		answered, refused := 0, 0
		for _, c := range calls {
			if c.Outcome == judge.Answered {
				answered++
			} else {
				refused++
			}
		}
		fmt.Fprintf(out, "%6.1fs  %5d answered, %4d not\n", time.Since(began).Seconds(), answered, refused)
	}
}
