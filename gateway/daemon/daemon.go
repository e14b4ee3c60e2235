// Package daemon assembles the gateway: a supervisor tree of background tasks,
// and one listener each for callers, other instances and operators.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/egress"
	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/head"
	"basilcross.example/basilcross/object"
	"basilcross.example/basilcross/platform"
	"basilcross.example/basilcross/table"
	"basilcross.example/basilcross/transfer"
	"basilcross.example/gateway/admin"
	"basilcross.example/gateway/adminauth"
	"basilcross.example/gateway/authority"
	"basilcross.example/gateway/control"
	"basilcross.example/gateway/entry"
	"basilcross.example/gateway/evictor"
	"basilcross.example/gateway/follower"
	"basilcross.example/gateway/keyload"
	"basilcross.example/gateway/leader"
	"basilcross.example/gateway/linger"
	"basilcross.example/gateway/peerclient"
	"basilcross.example/gateway/planner"
	"basilcross.example/gateway/relay"
	"basilcross.example/gateway/renewer"
	"basilcross.example/gateway/settings"
	"basilcross.example/gateway/tlsfiles"
	"basilcross.example/gateway/upstream"
	"basilcross.example/gateway/view"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"
)

const (
	// userTimeout closes connections whose peer acknowledges no data.
	userTimeout = 3 * time.Second
	// A connection to another instance is pinged after pingIdleTime without
	// data; pingTimeout limits the wait for the response.
	pingIdleTime = 500 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	// headerTimeout limits how long a caller may take to send a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes unused connections, from callers and to others.
	idleTimeout = 2 * time.Minute
	// requestReadTimeout limits the time to read a whole request.
	requestReadTimeout = time.Minute
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 32 << 10
	// refreshInterval is the time between two runs of the housekeeper.
	refreshInterval = time.Second
	// abortMargin is the part of the stop timeout that is left for the responses to requests that are
	// canceled before it.
	abortMargin = 900 * time.Millisecond
	// handOverTimeout limits the writes that hand over the instance's seats.
	handOverTimeout = time.Second
)

// Daemon is one gateway process. Create it with New, then call Run.
type Daemon struct {
	settings  settings.Settings
	log       *slog.Logger
	view      *view.View
	upstreams *upstream.Set
	leader    *leader.Leader
	planner   *planner.Planner
	follower  *follower.Follower
	renewer   *renewer.Renewer
	front     *entry.Front
	admin     http.Handler
	control   http.Handler
	table     table.Client
	tlsFiles  *tlsfiles.Files
	draining  atomic.Bool
}

// New returns a Daemon. It fails if the TLS files or the target list are invalid.
func New(s settings.Settings, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, view: &view.View{Zone: s.Zone}}
	dialer := &egress.Dialer{Proxy: s.EgressProxy, UserTimeout: userTimeout}
	client := newExternalClient(dialer)
	backend, err := newBackend(s, client, log)
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.upstreams = &upstream.Set{Dial: dialer.DialContext}
	auth := &authority.Authority{}
	loads := &keyload.Collector{}
	d.tlsFiles = &tlsfiles.Files{Certificate: s.TLSCertFile, Key: s.TLSKeyFile, Authority: s.TLSAuthorityFile}
	if err := d.tlsFiles.Check(); err != nil {
		return nil, err
	}
	peers := &peerclient.Caller{Client: newPeerClient(dialer, d.tlsFiles), TLS: d.tlsFiles.Set()}
	d.buildTasks(backend, client, peers, auth, loads)
	d.front = entry.New(entry.Options{
		Zone: s.Zone, Region: s.Region, View: d.view, Authority: auth, Upstreams: d.upstreams,
		Loads: loads, Metrics: entry.NewMetrics(registry), Log: log,
	})
	d.admin = admin.New(admin.Options{
		Instance: s.Instance, Zone: s.Zone, View: d.view, Table: d.table, Leader: d.leader,
		Ready: d.Ready, Planning: d.planner.Planning, Registry: registry, Log: log, Pprof: s.Pprof,
		Authorizer: adminauth.Authorizer{ReadFile: s.ReadTokenFile, ChangeFile: s.ChangeTokenFile},
	})
	mux := http.NewServeMux()
	mux.Handle(control.ZonePathPrefix, control.NewZoneServer(d.leader))
	mux.Handle(control.PlannerPathPrefix, control.NewPlannerServer(d.planner))
	d.control = mux
	return d, nil
}

func (d *Daemon) buildTasks(b *backend, external *http.Client, peers *peerclient.Caller, auth *authority.Authority, loads *keyload.Collector) {
	s := d.settings
	incarnation := rand.Text()
	d.renewer = renewer.New(renewer.Options{
		Instance: s.Instance, View: d.view, Authority: auth,
		Caller: &renewer.HTTPCaller{Client: external}, Log: d.log,
	})
	d.follower = &follower.Follower{
		Instance: s.Instance, Incarnation: incarnation, Address: s.AdvertisedAddress(), Zone: s.Zone, PeerAddresses: s.Peers,
		View: d.view, Authority: auth, Renewer: d.renewer, Loads: loads, Caller: peers, Log: d.log,
		OnRenewal: func(now time.Time, term, renewals uint64, left time.Duration) {
			d.leader.AddAnnouncement(now, term, renewals, left)
		},
	}
	relayed := &relay.Client{
		Direct: b.table, Caller: peers, Log: d.log,
		Peers: func() []string { return d.leader.OtherLeaders() },
	}
	evictions := &evictor.Evictor{Instance: s.Instance, Table: relayed, Peers: peers, NewToken: rand.Text, Log: d.log}
	d.table = relayed
	d.planner = planner.New(planner.Options{
		Instance: s.Instance, Incarnation: incarnation, Address: s.AdvertisedAddress(),
		Table: relayed, Objects: b.objects, View: d.view, Peers: peers, Log: d.log, NewToken: rand.Text,
		Evictor:             evictions,
		Instances:           b.instances,
		Leading:             func(now time.Time) bool { return d.leader.Leading(now) },
		PlannerUnresponsive: func() bool { return d.leader.PlannerUnresponsive() },
	})
	d.leader = leader.New(leader.Options{
		Instance: s.Instance, Incarnation: incarnation, Address: s.AdvertisedAddress(), Zone: s.Zone,
		Table: relayed, Direct: b.table, Evictor: evictions, Objects: b.objects, View: d.view, Follower: d.follower, Authority: auth,
		Planner: d.planner, Peers: peers, Log: d.log, NewToken: rand.Text,
	})
}

// newPeerClient returns the client for other instances. It uses HTTP/2, whose
// header compression saves most of a poll's header bytes. Pings detect
// unresponsive connections, since timeouts of streams do not close them.
func newPeerClient(dialer *egress.Dialer, files *tlsfiles.Files) *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(!files.Set())
	protocols.SetHTTP2(files.Set())
	return &http.Client{Transport: &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleTimeout,
		// Instances send a few hundred bytes.
		MaxResponseHeaderBytes: head.MaxUnscanned,
		TLSClientConfig:        files.Client(),
		Protocols:              &protocols,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}}
}

// newExternalClient returns the client for the platform and for orders to targets.
func newExternalClient(dialer *egress.Dialer) *http.Client {
	return &http.Client{Transport: &transfer.Transport{Base: &http.Transport{
		DialContext: dialer.DialContext,
		// With one idle connection, the retry after an unresponsive one opens a new one.
		MaxIdleConnsPerHost:    1,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: head.MaxUnscanned,
	}}}
}

// backend stores the shared state: the platform, or memory for a single instance.
type backend struct {
	table     table.Client
	objects   object.Client
	instances func(ctx context.Context) ([]platform.Instance, error)
}

func newBackend(s settings.Settings, client *http.Client, log *slog.Logger) (*backend, error) {
	if s.PlatformURL != "" {
		c := &platform.Client{BaseURL: s.PlatformURL, HTTPClient: client, OnInvalid: func(err error) {
			event.RowUnusable.Log(log, "table", "instances", "error", err)
		}}
		return &backend{table: c, objects: c, instances: c.Instances}, nil
	}
	targets, err := s.ParseTargets()
	if err != nil {
		return nil, err
	}
	event.SingleInstance.Log(log)
	return &backend{
		table:   &table.Memory{},
		objects: &object.Memory{},
		instances: func(context.Context) ([]platform.Instance, error) {
			return targets, nil
		},
	}, nil
}

// Ready reports whether this instance should receive callers' requests.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.view.Load().Config != nil
}

// Run serves until the context ends or a listener fails, then shuts down. Requests
// in flight may finish within the stop timeout.
func (d *Daemon) Run(ctx context.Context) error {
	servers, err := d.listen()
	if err != nil {
		return err
	}
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	tree := d.supervisorTree()
	var group errgroup.Group
	group.Go(func() error { return ignoreCanceled(tree.Serve(taskCtx)) })
	failed := make(chan error, len(servers))
	for _, s := range servers {
		group.Go(func() error {
			err := s.serve()
			failed <- err
			return err
		})
	}
	event.Started.Log(d.log, "callers", d.settings.CallersListen, "zone", d.settings.Zone)
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	d.shutDown(context.WithoutCancel(ctx), servers)
	stopTasks()
	return errors.Join(err, group.Wait())
}

// supervisorTree returns the supervisor of all background tasks. Their intervals
// are constants in their packages.
func (d *Daemon) supervisorTree() *suture.Supervisor {
	root := suture.New("gateway", suture.Spec{
		EventHook: func(e suture.Event) {
			event.DutyFailed.Log(d.log, "detail", e.String())
		},
	})
	root.Add(d.leader)
	root.Add(&leader.Extender{Leader: d.leader})
	root.Add(&leader.Reporter{Leader: d.leader})
	root.Add(&leader.HeartbeatSender{Leader: d.leader})
	root.Add(d.planner)
	root.Add(d.follower)
	root.Add(d.renewer)
	root.Add(&housekeeper{view: d.view, upstreams: d.upstreams})
	return root
}

// shutDown fails readiness, releases the seats, waits until load balancers have
// noticed, and then lets requests in flight finish within the stop timeout.
func (d *Daemon) shutDown(ctx context.Context, servers []*server) {
	event.Stopping.Log(d.log)
	d.draining.Store(true)
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	d.planner.Stop(handOverCtx)
	d.leader.Stop(handOverCtx)
	cancel()
	time.Sleep(d.settings.DrainWait)
	ctx, cancel = context.WithTimeout(ctx, d.settings.StopTimeout)
	defer cancel()
	now := time.Now()
	abortAt := now.Add(d.settings.StopTimeout - min(abortMargin, d.settings.StopTimeout/2))
	d.front.RefuseLate(now, abortAt)
	abort := time.AfterFunc(time.Until(abortAt), d.front.Abort)
	defer abort.Stop()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn("shut down listener", "address", s.Addr, "error", err)
		}
		s.linger.Wait(ctx)
	}
	event.Stopped.Log(d.log)
}

type server struct {
	*http.Server
	listener net.Listener
	// linger is the listener below TLS.
	linger *linger.Listener
}

func (s *server) serve() error {
	err := s.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.Addr, err)
}

func (d *Daemon) listen() ([]*server, error) {
	var servers []*server
	for _, l := range []struct {
		address   string
		handler   http.Handler
		encrypted bool
	}{
		{d.settings.CallersListen, d.front, false},
		{d.settings.ControlListen, d.control, d.tlsFiles.Set()},
		{d.settings.AdminListen, d.admin, false},
	} {
		inner, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", l.address, err)
		}
		lingering := &linger.Listener{Listener: inner}
		var listener net.Listener = lingering
		if l.encrypted {
			listener = tls.NewListener(listener, d.tlsFiles.Server())
		}
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetHTTP2(true)
		protocols.SetUnencryptedHTTP2(true)
		servers = append(servers, &server{listener: listener, linger: lingering, Server: &http.Server{
			Addr:              l.address,
			Handler:           l.handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       requestReadTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			Protocols:         &protocols,
			ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
		}})
	}
	return servers, nil
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// housekeeper drops expired exceptions from the rules and closes the upstreams of removed
// targets.
type housekeeper struct {
	view      *view.View
	upstreams *upstream.Set
}

// Serve does both every refreshInterval until the context ends.
func (h *housekeeper) Serve(ctx context.Context) error {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			h.view.Refresh(now)
			current := map[string]bool{}
			for _, s := range h.view.Load().Services {
				for id := range s.Targets {
					current[id] = true
				}
			}
			h.upstreams.Retain(current)
		}
	}
}
