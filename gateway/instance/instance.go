// Package instance runs a gateway on the users' platform: one supervisor tree
// of background tasks, and servers for callers, readiness probes, other
// instances and metrics.
package instance

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/bodybudget"
	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/egress"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/feature"
	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/basilcross/timelimit"
	"basilcross.example/basilcross/withdrawal"
	"basilcross.example/gateway/broker"
	"basilcross.example/gateway/channel"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/fleet"
	"basilcross.example/gateway/front"
	"basilcross.example/gateway/linger"
	"basilcross.example/gateway/logsink"
	"basilcross.example/gateway/mirror"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"
)

const (
	// targetDialTimeout bounds the opening of a connection to a target: a round
	// trip between regions, and the retransmission of one lost packet.
	targetDialTimeout = 400 * time.Millisecond
	// targetUserTimeout is how long sent bytes may stay unacknowledged by a
	// target: longer than the retransmissions of two lost packets.
	targetUserTimeout = 1200 * time.Millisecond
	// storeDialTimeout and storeUserTimeout are the same for the store.
	storeDialTimeout = time.Second
	storeUserTimeout = 2 * time.Second
	// keepAliveInterval is the time between keep-alive probes; the users require
	// that a dead connection is detected within three seconds.
	keepAliveInterval = time.Second
	// normalHold is the time for which keys are granted. It outlasts the
	// coordinator's lease and one missed renewal; a target that stops answering
	// keeps its keys that long.
	normalHold = 3200 * time.Millisecond
	// longHold is granted while the store does not answer the coordinator. With
	// the rest of the coordinator's lease it covers outages of about eight
	// seconds; a target that is lost during one keeps its keys that long.
	longHold = 6 * time.Second
	// renewalInterval is the time between two renewals of a grant.
	renewalInterval = 800 * time.Millisecond
	// configBatchDelay and targetBatchDelay are the pauses between polls of the
	// feeds after a response with changes. Targets start in groups, each with
	// several changes while it warms up; the users allow 2 s for one that leaves.
	configBatchDelay = 60 * time.Millisecond
	// maxConfigBatchDelay bounds the pause while configurations change
	// continuously: a quarter of the 2 s that the users allow until one is in force.
	maxConfigBatchDelay = 480 * time.Millisecond
	targetBatchDelay    = 400 * time.Millisecond
	// minorDelay is the pause after a response with warm-up progress only: half of
	// the time allowed for a target that leaves.
	minorDelay = time.Second
	// idleTimeout closes callers' idle connections. It is longer than the
	// operators' limits, so that no request arrives while its connection is being
	// closed.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of requests, above the configuration's own limit, and of the
	// responses of the store and of other instances.
	maxHeaderBytes = 64 << 10
	// bodyShare is the part of the instance's memory that request bodies may take. Garbage of bodies and
	// everything else has the rest.
	bodyShare = 0.25
)

// Instance is one gateway process. Create it with New, and start it with Run.
type Instance struct {
	settings Settings
	features feature.Set
	log      *slog.Logger
	sink     *logsink.Sink
	registry *prometheus.Registry

	state       state
	mirrors     []*mirror.Mirror
	replicator  *replicator
	assignments *mirror.Mirror
	instances   *mirror.Mirror
	peers       *peers.Peers
	coordinator *coordinator.Coordinator
	dispatcher  *dispatch.Dispatcher
	broker      *broker.Broker
	pools       *front.Pools
	links       *links.Monitor
	quarantiner *quarantiner
	limiter     *limiter
	leavers     *leavers
	loads       *front.Loads
	front       *front.Front
	bodies      *bodybudget.Budget
	forwarder   *front.Forwarder
	store       *platform.Store
	transfers   *transfers
	peerClient  *http.Client

	// liveSettings are the settings last read; only some change without a restart.
	liveSettings atomic.Pointer[Settings]
	// memberCount, coordinatorName and lastHeartbeat are from the coordinator's last
	// heartbeat. lastHeartbeat is nil while the store does not answer the coordinator.
	memberCount atomic.Int64
	mostMembers mostMembers
	// sharedBy is the number of instances among which retries were shared last.
	sharedBy        atomic.Int64
	coordinatorName atomic.Pointer[string]
	lastHeartbeat   atomic.Pointer[time.Time]
	// coordinatorHeard is when any coordinator's last heartbeat arrived, whether the store
	// answers it or not.
	coordinatorHeard atomic.Pointer[time.Time]
	// registered is set once this instance's row is in the store.
	registered   atomic.Bool
	configLag    configLag
	patches      patches
	withdrawn    withdrawal.List
	paceLines    paceLines
	shuttingDown atomic.Bool
	wasReady     atomic.Bool
}

// New creates an instance from validated settings. It opens no connection and
// no listener; the sink is where the log's lines are written.
func New(s Settings, log *slog.Logger, sink *logsink.Sink) *Instance {
	i := &Instance{settings: s, log: log, sink: sink, registry: prometheus.NewRegistry(), loads: &front.Loads{}}
	// Validate has already checked the names.
	i.features, _ = s.FeatureSet()
	i.transfers = newTransfers(i.registry, log)
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	i.liveSettings.Store(&s)
	i.mostMembers.ttl = s.RetryWindow
	i.state.log = log
	i.state.roster = &roster.Roster{}
	i.state.zone = s.Zone
	i.state.placement.Store(&placement.Policy{Regions: s.Regions})
	storeDialer := &egress.Dialer{DialTimeout: storeDialTimeout, UserTimeout: storeUserTimeout, KeepAliveInterval: keepAliveInterval}
	i.store = &platform.Store{Address: s.Store, HTTP: i.transfers.observe("store", newHTTPClient(storeDialer))}
	i.peerClient = i.transfers.observe("instance", newHTTPClient(&egress.Dialer{DialTimeout: storeDialTimeout, UserTimeout: storeUserTimeout, KeepAliveInterval: keepAliveInterval}))
	targetDialer := &egress.Dialer{DialTimeout: targetDialTimeout, UserTimeout: targetUserTimeout, KeepAliveInterval: keepAliveInterval, ResetOnClose: true}
	i.peers = &peers.Peers{Log: log, Receive: i.receive, Self: peers.Instance{
		Name: s.Instance, Incarnation: rand.Text()[:incarnationLength], Zone: s.Zone, Datagram: s.DatagramListen, Control: s.ControlListen,
		Cores: s.Cores,
	}}
	i.links = &links.Monitor{OnChange: i.linksChanged}
	i.quarantiner = &quarantiner{Instance: i}
	i.limiter = &limiter{Instance: i}
	i.leavers = &leavers{Instance: i}
	i.buildMirrors()
	i.coordinator = coordinator.New(coordinator.Options{
		Self: i.peers.Self, Store: i.store,
		Channels: &channel.Set{Dial: targetDialer.DialContext}, ReleaseClient: coordinator.NewReleaseClient(targetDialer.DialContext),
		RestartFeeds: i.replicator.restartFeeds,
		Joined:       func() bool { return i.replicator.joined.Load() && !i.replicator.thin.Load() },
		OnLeading:    i.recordLeading, OnUpdate: i.applyAssignmentUpdate, OnOversizedUpdate: i.assignments.Refresh,
		Speeds: i.features.Speeds, OnSpeeds: i.takeKnownSpeeds,
		Links: i.links, ReachesTargets: i.reachesTargets, Quarantine: &i.quarantiner.list, OnQuarantined: i.quarantiner.merge, AskLinks: i.askLinks, Peers: i.peers, Roster: i.state.roster, Table: i.state.routes.Load, Placement: i.state.policy, Revisions: i.revisions, Log: log,
		Holds: ownership.Holds{Normal: min(normalHold, s.LongestHold), Long: min(longHold, s.LongestHold-longHoldMargin), RenewInterval: renewalInterval, AddressReuse: s.AddressReuse},
	})
	i.dispatcher = &dispatch.Dispatcher{Roster: i.state.roster, OwnerOf: i.state.usableOwner, ColdRate: i.state.coldRate, IsBound: i.state.isBound, HasAlternative: i.state.hasAlternative, OnBackoff: i.logBackoff, RateLimit: i.limiter.limits.Find, Waitlist: i.features.Waitlist, Speeds: i.features.Speeds, Pace: i.features.Pace, OnPace: i.logPace}
	if i.features.Admission {
		i.dispatcher.Admission = &schedule.Admission{OnOverload: i.logOverload}
	}
	i.broker = broker.New(broker.Options{
		Self: i.peers.Self, Placement: i.state.policy, Peers: i.peers, Dispatcher: i.dispatcher, Roster: i.state.roster, Log: log,
		Owner: i.state.owner, Grant: i.grant, OnStatement: i.limiter.record, Stopping: i.shuttingDown.Load, Thin: i.replicator.thin.Load,
	})
	i.pools = &front.Pools{Dial: targetDialer.DialContext, Links: i.links}
	peerDialer := &egress.Dialer{DialTimeout: targetDialTimeout, UserTimeout: targetUserTimeout, KeepAliveInterval: keepAliveInterval}
	i.forwarder = &front.Forwarder{Self: i.peers.Self, Peers: i.peers, Dial: peerDialer.DialContext, Region: func(zone string) string { return i.state.policy().Regions[zone] }}
	i.bodies = &bodybudget.Budget{}
	// Without a stated memory nothing says that bodies within the configuration's limit are too many.
	if i.features.BodyBudget || s.MemoryMB > 0 {
		i.bodies.Bytes = int64(bodyShare * float64(s.MemoryBytes()))
	}
	i.front = front.New(front.Options{
		Headers: platform.HeaderNames(), ParseLoad: platform.ParseLoad, ParseRateLimit: platform.ParseRateLimit,
		ParseRest: platform.ParseRest, ParseLeaving: platform.ParseLeaving, Withdrawn: &i.withdrawn, OnLeaving: i.leavers.record, Broker: i.broker, Roster: i.state.roster, Pools: i.pools, Links: i.links, ReachesTargets: i.reachesTargets,
		ProbeTargets: i.probeTargets, Quarantine: &i.quarantiner.list, OnEnded: i.quarantiner.ended, OnCleared: i.quarantiner.cleared, Forwarder: i.forwarder, Table: i.state.routes.Load,
		CurrentAssignment: i.state.currentAssignment, OwnerChangedSince: i.state.ownerChangedSince, Thin: i.replicator.thin.Load, Started: i.canServe, Loads: i.loads, Metrics: front.NewMetrics(i.registry), Log: log,
		RetryLimits: i.retryLimits, FirstStart: s.Bootstrap, TimeLimits: newTimeLimits(i.features), Bodies: i.bodies, Pace: i.features.Pace,
	})
	i.state.targetsChanged = i.front.TargetsChanged
	i.registerMetrics(i.registry)
	return i
}

// newTimeLimits returns what recognizes caller retries; nil without the feature.
func newTimeLimits(features feature.Set) *timelimit.Learner {
	if !features.Waitlist {
		return nil
	}
	return &timelimit.Learner{}
}

// coordinatorTTL is how long after its last heartbeat a coordinator may still be there.
const coordinatorTTL = time.Second

// grant returns the grant by which a key's owner holds it; nil if it is not known.
func (i *Instance) grant(service string, key int) *schedule.Grant {
	g := i.state.grant(service, key)
	if g != nil {
		at := i.coordinatorHeard.Load()
		g.Renewed = at != nil && time.Since(*at) < coordinatorTTL
	}
	return g
}

// linksChanged logs a conclusion about this instance's links to targets.
func (i *Instance) linksChanged(c links.Change) {
	e := event.LinksBack
	if c.Down {
		e = event.LinksDown
		i.front.AbandonDirect(c.Service)
	}
	e.Log(i.log, "service", c.Service, "target", c.Target, "unreached", c.Unreached, "reached", c.Reached,
		"sinceReachedMs", c.SinceReached.Milliseconds(), "lastedMs", c.Lasted.Milliseconds())
}

func (i *Instance) logBackoff(b schedule.Backoff) {
	event.TargetAvoided.Log(i.log, "target", b.Target.ID, "service", b.Target.Service, "forMs", b.Duration.Milliseconds(),
		"failures", b.Failures, "result", b.Result.String(), "reporter", b.Requester)
}

// logOverload logs the beginning and the end of a pool's overload.
func (i *Instance) logOverload(o schedule.Overload) {
	if !o.Over {
		event.PoolOverloaded.Log(i.log, "service", o.Service, "zone", o.Zone, "load", o.Load, "slots", o.Slots)
		return
	}
	event.PoolRecovered.Log(i.log, "service", o.Service, "zone", o.Zone, "load", o.Load, "slots", o.Slots,
		"lastedMs", o.Duration.Milliseconds(), "refused", o.Refused)
}

// incarnationLength is enough to distinguish the incarnations of one instance.
const incarnationLength = 8

// longHoldMargin is how far a long hold stays below the platform's limit.
const longHoldMargin = 200 * time.Millisecond

// newHTTPClient returns a client for servers with short responses. Feeds are long
// polls, so several connections to one server are kept.
func newHTTPClient(d *egress.Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    3,
		IdleConnTimeout:        clientIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// clientIdleTimeout is below the idle timeout that targets announce.
const clientIdleTimeout = 5 * time.Second

func (i *Instance) buildMirrors() {
	add := func(m *mirror.Mirror) *mirror.Mirror {
		m.Store, m.Log = i.store, i.log
		i.mirrors = append(i.mirrors, m)
		return m
	}
	i.replicator = newReplicator(i)
	for _, m := range []*mirror.Mirror{
		{Table: platform.OperatorTable, BatchDelay: configBatchDelay, MaxBatchDelay: maxConfigBatchDelay, MinorDelay: configBatchDelay, PeersComplete: true, OnUpdate: i.state.applyOperatorRows},
		{
			Table: platform.TargetTable, BatchDelay: targetBatchDelay, MinorDelay: minorDelay, OnUpdate: i.state.applyTargets,
			IsMinor: isMinorTargetChange,
		},
	} {
		m.Forward = func(u mirror.ForwardedUpdate) { i.replicator.forward(m, u) }
		m.AwaitPeerCopy(maxFirstCopyDelay)
		m.Backoff = i.replicator.backoff
		i.replicator.polledMirrors = append(i.replicator.polledMirrors, add(m))
	}
	i.assignments = add(&mirror.Mirror{
		Table: coordinator.AssignmentTable, OnDemand: true, Transform: i.state.joinAssignmentRows, OnUpdate: i.state.applyAssignments, EncodeRow: i.state.encodeAssignment,
	})
	i.assignments.AwaitPeerCopy(maxFirstCopyDelay)
	i.instances = add(&mirror.Mirror{Table: coordinator.InstanceTable, OnDemand: true, ReadRows: i.readInstanceRows, OnUpdate: func(u mirror.Update) {
		i.peers.SetInstances(i.state.readInstances(u))
	}})
	if i.settings.Bootstrap {
		i.instances.InitialWait = registerTimeout
	}
}

// revisions returns the revision of the newest change in each replicated table.
func (i *Instance) revisions() map[string]uint64 {
	r := make(map[string]uint64, len(i.mirrors))
	for _, m := range i.mirrors {
		if m != i.instances {
			r[m.Table] = m.NewestChange()
		}
	}
	return r
}

// canServe reports whether this instance has the configuration, and lists targets or relies on
// hubs that do.
func (i *Instance) canServe() bool {
	if i.replicator.thin.Load() {
		return i.state.routes.Load() != nil && i.replicator.hubsServe.Load()
	}
	return i.state.routes.Load() != nil && i.state.roster.Load().Len() > 0
}

// Ready reports whether the platform should route callers to this instance: it
// has the configuration and at least one target, and is not shutting down.
func (i *Instance) Ready() bool {
	ready := !i.shuttingDown.Load() && i.canServe()
	if i.wasReady.Swap(ready) != ready {
		event.NotReady.Log(i.log, "ready", ready, "closing", i.shuttingDown.Load(),
			"config", i.state.routes.Load() != nil, "targets", i.state.roster.Load().Len(), "thin", i.replicator.thin.Load())
	}
	return ready
}

// Run serves until the context ends or a server fails, then shuts down: requests in
// flight may finish until shortly before the stop timeout. It returns an error if a
// listener cannot be opened, or if a server or the supervisor fails.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.peers.Listen(); err != nil {
		return fmt.Errorf("listen for datagrams on %s: %w", i.settings.DatagramListen, err)
	}
	servers, err := i.listen()
	if err != nil {
		return err
	}
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var group errgroup.Group
	tree := i.supervisorTree()
	group.Go(func() error {
		if err := tree.Serve(tasksCtx); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	failed := make(chan error, len(servers))
	for _, s := range servers {
		group.Go(func() error {
			err := s.serve()
			failed <- err
			return err
		})
	}
	event.Started.Log(i.log, "life", i.peers.Self.Incarnation, "features", i.features.On(), "callers", i.settings.CallersListen, "zone", i.settings.Zone,
		"store", i.settings.Store, "seeds", i.settings.Seeds)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	i.shutDown(context.WithoutCancel(ctx), servers)
	stopTasks()
	return errors.Join(err, group.Wait())
}

// supervisorTree returns the supervisor, which restarts background tasks that fail.
func (i *Instance) supervisorTree() *suture.Supervisor {
	root := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		event.DutyFailed.Log(i.log, "detail", e.String())
	}})
	root.Add(i.sink)
	for _, m := range i.mirrors {
		root.Add(m)
	}
	root.Add(i.peers)
	root.Add(i.coordinator)
	root.Add(&registrar{i})
	root.Add(&announcer{i})
	root.Add(i.limiter)
	root.Add(i.leavers)
	root.Add(&reporter{Instance: i})
	root.Add(&catchUp{Instance: i})
	root.Add(i.replicator)
	root.Add(&housekeeper{i})
	root.Add(&reloader{i})
	root.Add(&prober{Instance: i})
	return root
}

const (
	// outOfRotationDelay is the time after which the platform sends no new
	// connections: it probes readiness once a second, and takes an instance out
	// of rotation after two failed probes.
	outOfRotationDelay = 2600 * time.Millisecond
	// exitMargin is the part of the stop timeout that is reserved for the exit of
	// the process, and abandonMargin the part for the responses to requests that
	// are abandoned before it: a small instance needs some milliseconds of CPU
	// time for each of a hundred. The users allow a sixth of the stop timeout.
	exitMargin    = 200 * time.Millisecond
	abandonMargin = 900 * time.Millisecond
	// resignTimeout bounds the write by which a coordinator resigns.
	resignTimeout = time.Second
)

// shutDown fails the readiness probes, resigns as coordinator, waits until the platform
// sends no new connections, and then lets requests in flight finish.
func (i *Instance) shutDown(ctx context.Context, servers []*server) {
	event.Stopping.Log(i.log)
	ctx, cancel := context.WithTimeout(ctx, i.settings.StopTimeout-exitMargin)
	defer cancel()
	began := time.Now()
	i.shuttingDown.Store(true)
	i.front.Close()
	abandonAt := began.Add(i.settings.StopTimeout - abandonMargin)
	i.front.RefuseLate(began.Add(outOfRotationDelay), abandonAt)
	i.peers.Broadcast(&peers.Message{Leaving: true})
	resignCtx, done := context.WithTimeout(ctx, resignTimeout)
	i.coordinator.Resign(resignCtx)
	done()
	timer := time.NewTimer(outOfRotationDelay - time.Since(began))
	defer timer.Stop()
	<-timer.C
	abandon := time.AfterFunc(time.Until(abandonAt), i.front.Abort)
	defer abandon.Stop()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error {
			defer s.listener.Wait(ctx)
			return s.Shutdown(ctx)
		})
	}
	if err := group.Wait(); err != nil {
		event.Stopped.Log(i.log, "error", err)
		return
	}
	event.Stopped.Log(i.log)
}

type server struct {
	*http.Server
	listener *linger.Listener
}

func (s *server) serve() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.Addr, err)
}

func (i *Instance) listen() ([]*server, error) {
	control := http.NewServeMux()
	control.Handle(fleet.FleetPathPrefix, fleet.NewFleetServer(i))
	control.HandleFunc(front.ForwardPath, i.front.ServeForwarded)
	control.HandleFunc(linkStatusPath, i.linkStatus)
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{i.settings.CallersListen, i.front},
		{i.settings.ReadyListen, i.readinessHandler()},
		{i.settings.ControlListen, control},
		{i.settings.MetricsListen, i.metricsHandler()},
	}
	var servers []*server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, fmt.Errorf("listen for HTTP on %s: %w", h.address, err)
		}
		servers = append(servers, &server{listener: &linger.Listener{Listener: listener}, Server: &http.Server{
			Addr:              h.address,
			Handler:           h.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(i.log.Handler(), slog.LevelDebug),
		}})
	}
	return servers, nil
}
