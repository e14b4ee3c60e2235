package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"basilcross.example/basilcross/config"
	"basilcross.example/standin/caller"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
	"basilcross.example/standin/link"
	"basilcross.example/standin/scenario"
)

const (
	// storeDelay is added to each store call by storeSlow, linkDelay to each message by slowLinks.
	storeDelay = 400 * time.Millisecond
	linkDelay  = 150 * time.Millisecond
	// probeInterval is the interval between two probes of a key, probeTimeout the limit for all.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 8 * time.Second
	// maxProbedRanges bounds the ranges that are probed, to keep probes from adding much load.
	maxProbedRanges = 12
	// configTimeout bounds the wait until a configuration is in force on all gateways.
	configTimeout = 10 * time.Second
)

// FaultResult holds the measured effects of a fault.
type FaultResult struct {
	Do   string `json:"do"`
	On   string `json:"on,omitempty"`
	AtMs int    `json:"atMs"`
	// ServedAgainMs is the time from the fault's start until all probed keys were served
	// again; -1 if one was not, nil if the fault takes no key from its owner.
	ServedAgainMs *int `json:"servedAgainMs,omitempty"`
	// InForceMs is the time from the submission of a configuration until it was in force on
	// all reachable gateways; -1 if it was not in time.
	InForceMs  *int `json:"inForceMs,omitempty"`
	Unanswered int  `json:"refused"`

	started time.Time
}

// runFault injects a fault, measures its effects, and reverts it after its duration.
func (f *fleet) runFault(ctx context.Context, fault scenario.Fault) *FaultResult {
	r := &FaultResult{Do: fault.Do, On: fault.On, AtMs: fault.AtMs, started: time.Now()}
	ranges := f.lostRanges(fault)
	revert := f.injectFault(ctx, fault, r)
	var group sync.WaitGroup
	if len(ranges) > 0 {
		group.Go(func() { r.ServedAgainMs = f.probeRanges(ctx, ranges, fault.On, r.started) })
	}
	if fault.ForMs > 0 && revert != nil {
		select {
		case <-time.After(time.Until(r.started.Add(fault.For()))):
		case <-ctx.Done():
		}
		revert()
	}
	group.Wait()
	return r
}

func (f *fleet) injectFault(ctx context.Context, fault scenario.Fault, r *FaultResult) (revert func()) {
	t := f.targets[fault.On]
	g := f.gatewayByName(fault.On)
	switch fault.Do {
	case "killTarget":
		t.Kill()
		return func() { _ = t.Start() }
	case "freezeTarget":
		t.Freeze()
		return t.Thaw
	case "startTarget":
		_ = t.Start()
	case "drainTarget":
		f.history.AddLeaving(judge.Leaving{Target: fault.On, At: time.Now()})
		f.store.SetLeaving(fault.On, true)
	case "killGateway":
		g.signal(syscall.SIGKILL)
		return func() { _ = f.startGateway(g) }
	case "freezeGateway":
		g.signal(syscall.SIGSTOP)
		return func() { g.signal(syscall.SIGCONT) }
	case "stopGateway":
		f.stopGateway(g)
		return func() { _ = f.startGateway(g) }
	case "startGateway":
		_ = f.startGateway(g)
	case "changeConfig":
		r.InForceMs = f.changeConfig(ctx)
	default:
		return f.injectNetworkFault(fault)
	}
	return nil
}

func (f *fleet) injectNetworkFault(fault scenario.Fault) (revert func()) {
	toggle := func(set func(bool)) func() {
		set(true)
		return func() { set(false) }
	}
	switch fault.Do {
	case "cutZone":
		return toggle(func(cut bool) { f.cutZone(fault.On, cut) })
	case "cutZoneOneWay":
		return toggle(func(cut bool) { f.cutZoneOneWay(fault.On, cut) })
	case "cutZoneFromPlatform":
		return toggle(func(cut bool) { f.network.SetCut(fault.On, link.PlatformZone, cut) })
	case "cutRegions":
		return toggle(f.cutRegions)
	case "storeDown":
		return toggle(f.store.SetDown)
	case "loseStoreAnswers":
		return toggle(f.store.SetLoseResponses)
	case "storeSlow":
		f.store.SetDelay(storeDelay)
		return func() { f.store.SetDelay(0) }
	case "repeatResponses":
		return toggle(f.network.SetRepeating)
	case "breakResponses":
		return toggle(func(on bool) {
			for _, t := range f.targets {
				t.SetBreaking(on)
			}
		})
	case "silenceConnections":
		f.network.BlackholeConnections()
	case "resetConnections":
		f.network.ResetConnections()
	case "slowLinks":
		f.network.SetExtraDelay(linkDelay)
		return func() { f.network.SetExtraDelay(0) }
	}
	return nil
}

func (f *fleet) gatewayByName(name string) *gateway {
	for _, g := range f.gateways {
		if g.Name == name {
			return g
		}
	}
	return nil
}

func (f *fleet) cutZone(name string, cut bool) {
	f.network.SetCut(name, link.PlatformZone, cut)
	for _, z := range f.deployment.Zones {
		if z.Name != name {
			f.network.SetCut(name, z.Name, cut)
		}
	}
}

// cutZoneOneWay blocks what the zone sends; it still receives.
func (f *fleet) cutZoneOneWay(name string, cut bool) {
	f.network.SetOneWayCut(name, link.PlatformZone, cut)
	for _, z := range f.deployment.Zones {
		if z.Name != name {
			f.network.SetOneWayCut(name, z.Name, cut)
		}
	}
}

func (f *fleet) cutRegions(cut bool) {
	store := f.zoneByName(f.deployment.StoreZone)
	for _, a := range f.deployment.Zones {
		if a.Region != store.Region {
			f.network.SetCut(a.Name, link.PlatformZone, cut)
		}
		for _, b := range f.deployment.Zones {
			if a.Region != b.Region {
				f.network.SetCut(a.Name, b.Name, cut)
			}
		}
	}
}

type lostRange struct {
	service     string
	first, last uint64
}

// lostRanges returns the hash ranges whose owners the fault makes unavailable or drains.
func (f *fleet) lostRanges(fault scenario.Fault) []lostRange {
	var owners []string
	switch fault.Do {
	case "killTarget", "freezeTarget", "drainTarget":
		owners = []string{fault.On}
	case "cutZone":
		for _, i := range f.deployment.TargetInstances() {
			if i.Zone.Name == fault.On {
				owners = append(owners, i.Name)
			}
		}
	}
	var ranges []lostRange
	for _, s := range f.deployment.Services {
		var a struct {
			Shards []struct {
				First, Last uint64
				Owner       string
			} `json:"shards"`
		}
		if !s.Sharded || f.readyGateway(fault.On).get("/v1/assignment?service="+s.Name, &a) != nil {
			continue
		}
		for _, sh := range a.Shards {
			if slices.Contains(owners, sh.Owner) {
				ranges = append(ranges, lostRange{s.Name, sh.First, sh.Last})
			}
		}
	}
	return ranges
}

// readyGateway returns a ready gateway outside of a zone, or the first one if there is none.
func (f *fleet) readyGateway(zone string) *gateway {
	for _, g := range f.gateways {
		if g.Zone.Name != zone && g.endpoint.Ready.Load() {
			return g
		}
	}
	return f.gateways[0]
}

// probeRanges probes a key of each range until it is answered, through gateways outside of
// the lost zone: those inside can reach its targets until the leases expire.
func (f *fleet) probeRanges(ctx context.Context, ranges []lostRange, zone string, began time.Time) *int {
	var gateways []*caller.Gateway
	for _, g := range f.gateways {
		if g.Zone.Name != zone {
			gateways = append(gateways, g.endpoint)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, began.Add(probeTimeout))
	defer cancel()
	latest := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, r := range sampleEvenly(ranges, maxProbedRanges) {
		group.Go(func() {
			ms := f.probeRange(ctx, gateways, r, began)
			mu.Lock()
			defer mu.Unlock()
			if ms < 0 || latest < 0 {
				latest = -1
				return
			}
			latest = max(latest, ms)
		})
	}
	group.Wait()
	return &latest
}

// sampleEvenly returns at most n of the ranges, evenly spaced.
func sampleEvenly(ranges []lostRange, n int) []lostRange {
	if len(ranges) <= n {
		return ranges
	}
	picked := make([]lostRange, n)
	for i := range picked {
		picked[i] = ranges[i*len(ranges)/n]
	}
	return picked
}

func (f *fleet) probeRange(ctx context.Context, gateways []*caller.Gateway, r lostRange, began time.Time) int {
	kind := f.probeKind(r.service)
	key := caller.KeyInRange(r.service, r.first, r.last)
	if key == "" {
		return 0
	}
	answered := make(chan time.Time, 1)
	var group sync.WaitGroup
	defer group.Wait()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case at := <-answered:
			return int(at.Sub(began).Milliseconds())
		case <-ctx.Done():
			return -1
		case <-tick.C:
		}
		group.Go(func() {
			c := f.generator.Probe(gateways, kind, key)
			if c.Outcome == judge.Answered {
				select {
				case answered <- c.Done:
				default:
				}
			}
		})
	}
}

// probeKind returns an idempotent kind of the service.
func (f *fleet) probeKind(service string) deployment.Kind {
	for _, k := range f.deployment.Kinds {
		if k.Service == service && k.Idempotent {
			return k
		}
	}
	return f.deployment.Kinds[0]
}

// changeConfig submits a new configuration and returns the milliseconds until it is in force
// on all reachable gateways, or -1. The others are checked at the end of the run.
func (f *fleet) changeConfig(ctx context.Context) *int {
	// Changes are made one at a time, since the second of two based on the same version
	// would be refused.
	f.configMu.Lock()
	defer f.configMu.Unlock()
	never := -1
	var doc config.Document
	// The configuration is read from the table, which may be unavailable for a while.
	read := func() bool { return f.readyGateway("").get("/v1/config", &doc) == nil }
	if f.await(ctx, "the configuration in force", read) != nil {
		return &never
	}
	version := doc.Version
	doc.Reason = fmt.Sprintf("changed by the demo after version %d", version)
	began := time.Now()
	if f.submit(ctx, version, &doc, fmt.Sprint("change-", version)) != nil {
		return &never
	}
	for accepted := time.Now(); time.Since(accepted) < configTimeout; {
		if f.allGatewaysHave(version + 1) {
			ms := int(time.Since(began).Milliseconds())
			return &ms
		}
		time.Sleep(10 * time.Millisecond)
	}
	return &never
}

func (f *fleet) allGatewaysHave(version uint64) bool {
	for _, g := range f.gateways {
		if !g.endpoint.Ready.Load() || f.network.IsCut(g.Zone.Name, link.PlatformZone) {
			continue
		}
		var s status
		if g.get("/v1/status", &s) != nil || s.Versions[configVersionKey] < version {
			return false
		}
	}
	return true
}
