package coordinator

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// fleet is a coordinator with its store, and the processes that it orders.
type fleet struct {
	t      *testing.T
	roster *roster.Roster
}

// process is a target while it lives. Orders to its address reach whatever
// lives there.
type process struct {
	*standin.Target
	listed *roster.Target
	server *http.Server
}

// startFleet runs a coordinator that leads over some targets, and waits until
// they hold their keys.
func startFleet(t *testing.T, targets int) (*fleet, []*process) {
	t.Helper()
	f := &fleet{t: t, roster: &roster.Roster{}}
	var list []*process
	for i := range targets {
		p := f.startTarget("t"+strconv.Itoa(i), "127.0.0.1:0")
		f.setListed(p, true)
		list = append(list, p)
	}
	f.runCoordinator("lists")
	f.waitFor("all hold keys", func() bool {
		for _, p := range list {
			if len(p.AcceptedEpochs()) == 0 {
				return false
			}
		}
		return true
	})
	return f, list
}

// runCoordinator runs a coordinator over divided services.
func (f *fleet) runCoordinator(services ...string) {
	t := f.t
	t.Helper()
	store := httptest.NewServer(&standin.Store{})
	t.Cleanup(store.Close)
	config := &routing.Config{Version: 1}
	for _, name := range services {
		config.Services = append(config.Services, routing.Service{Name: name, Sharded: true, HealthPath: standin.HealthPath})
	}
	table := routing.New(config)
	log := slog.New(slog.NewTextHandler(testLogWriter{t}, nil))
	c := New(Options{
		Self:     peers.Instance{Name: "one", Incarnation: "a", Cores: 1},
		Store:    &platform.Store{Address: strings.TrimPrefix(store.URL, "http://"), HTTP: store.Client()},
		Channels: &channel.Set{Dial: (&net.Dialer{}).DialContext},
		Releases: &platform.GrantClient{HTTP: &http.Client{Transport: &http.Transport{}}},
		Peers:    &peers.Peers{Log: log}, Roster: f.roster, Table: func() *routing.Table { return table },
		Revisions: func() map[string]uint64 { return nil }, OnLeading: func(int, bool) {}, RestartFeeds: func() {},
		OnUpdate: func(*peers.AssignmentUpdate) {}, OnOversizedUpdate: func() {}, Log: log, Joined: func() bool { return true },
		Holds: ownership.Holds{Normal: 3200 * time.Millisecond, Long: 6 * time.Second, RenewInterval: 800 * time.Millisecond, AddressReuse: 2 * time.Second},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
}

// testLogWriter shows the coordinator's lines with a failed test.
type testLogWriter struct{ t *testing.T }

func (l testLogWriter) Write(line []byte) (int, error) {
	// A line may come as the test ends.
	if l.t.Context().Err() == nil {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

// startTarget begins a process at an address.
func (f *fleet) startTarget(id, address string) *process {
	f.t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(f.t, err)
	p := &process{Target: &standin.Target{ID: id, Sharded: true}}
	p.server = &http.Server{Handler: p.Target, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(slog.NewTextHandler(io.Discard, nil), slog.LevelDebug)}
	p.listed = &roster.Target{
		ID: id, Service: "lists", Address: listener.Addr().String(), Slots: 3, Started: time.Now().UnixMilli(),
	}
	var group errgroup.Group
	group.Go(func() error { return p.server.Serve(listener) })
	f.t.Cleanup(func() { p.crash() })
	return p
}

// crash is a crash: its connections are reset, and its port refuses others.
func (p *process) crash() { _ = p.server.Close() }

// setListed names a target, or does so no more.
func (f *fleet) setListed(p *process, named bool) {
	change := roster.Change{ID: p.ID}
	if named {
		change.Target = p.listed
	}
	f.roster.Apply(time.Now(), []roster.Change{change}, uint64(time.Now().UnixNano()))
}

func (f *fleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("not within 10 s: " + what)
		}
	}
}

// checkSingleHolder fails if two of the processes hold a key at once within the time.
func (f *fleet) checkSingleHolder(d time.Duration, processes ...*process) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for key := 0; key < ownership.KeyCount; key += 4096 {
			holder := ""
			for _, p := range processes {
				if !p.Holds(key) {
					continue
				}
				if holder != "" {
					f.t.Fatalf("key %d is held by %s and %s", key, holder, p.ID)
				}
				holder = p.ID
			}
		}
	}
}

// Callers' requests for a key ran at two targets under one epoch. A target
// crashes, and within a second another one, with a name of its own, comes to
// its address. Nobody knows of it yet. A renewal for the first one whose
// connection was refused is sent again, under the same epoch, on a new
// connection, and the newcomer, which has seen no epoch, takes it.
//
// Cause: an order named an address, and an epoch went with it to whoever lived
// there. Proved by the coordinator's lines: six renewals refused since 12.18 s,
// the seventh on a connection of its own at 12.904 s, 21 ms after the newcomer's
// start, and the targets' record of who had which epoch.
func TestEpochIsNotSentToSecondTargetAtSameAddress(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "after a while": 1100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f, targets := startFleet(t, 3)
			first := targets[0]
			first.crash()
			time.Sleep(pause)
			second := f.startTarget("newcomer", first.listed.Address)
			f.checkSingleHolder(2*time.Second, second, targets[1], targets[2])
			for _, epoch := range second.AcceptedEpochs() {
				assert.Assert(t, !first.AcceptedEpoch(epoch), "epoch %d was taken by both", epoch)
			}
		})
	}
}

// Two targets held the same keys for over two seconds. A renewal meant for a
// crashed target has reached the one that came to its address. Then the
// platform names the newcomer, and no longer the first one: its keys counted as
// free and were given to others, while the newcomer still held them.
//
// Cause: a younger target at an address was the proof that the keys were free,
// though the orders sent there since may be in its hands. Proved by the lines:
// it took the keys at 5.893 s, counted as the proof at 5.904 s, and the same
// keys went to others at 5.96 s, before its hold had run out.
func TestKeysOfReplacementTargetAreNotGrantedToOthers(t *testing.T) {
	f, targets := startFleet(t, 3)
	first := targets[0]
	first.crash()
	second := f.startTarget("newcomer", first.listed.Address)
	// It is slow at first, so some of the keys go to others.
	second.listed.WarmupLeft = 3 * time.Second
	f.checkSingleHolder(time.Second, second, targets[1], targets[2])
	f.setListed(second, true)
	f.setListed(first, false)
	f.checkSingleHolder(4*time.Second, second, targets[1], targets[2])
	f.waitFor("the first one's keys are held again", func() bool {
		for key := 0; key < ownership.KeyCount; key += 4096 {
			if !second.Holds(key) && !targets[1].Holds(key) && !targets[2].Holds(key) {
				return false
			}
		}
		return true
	})
}

// newReusedAddress are two divided services, of which one has a dead target that is
// still named. Its address belongs to the other one's target by now.
func newReusedAddress(t *testing.T) (f *fleet, newcomer, other *process) {
	t.Helper()
	f = &fleet{t: t, roster: &roster.Roster{}}
	newcomer, other = f.startTarget("newcomer", "127.0.0.1:0"), f.startTarget("other", "127.0.0.1:0")
	newcomer.listed.Service, other.listed.Service = "others", "others"
	dead := &process{Target: &standin.Target{ID: "dead"}, listed: &roster.Target{
		ID: "dead", Service: "lists", Address: newcomer.listed.Address, Slots: 3, Started: newcomer.listed.Started - 5000,
	}}
	f.setListed(dead, true)
	f.setListed(f.startTarget("last", "127.0.0.1:0"), true)
	f.setListed(other, true)
	return f, newcomer, other
}

// An address goes from one divided service's target to another one's, which is
// named there while the dead one still is. It must not be granted the first
// service's keys: it would take them for its own, which others of its service
// hold.
func TestListedTargetOfOtherServiceGetsNoOrders(t *testing.T) {
	f, newcomer, other := newReusedAddress(t)
	f.setListed(newcomer, true)
	f.runCoordinator("lists", "others")
	f.checkSingleHolder(4*time.Second, newcomer, other)
}

// The same before anybody has named the newcomer. It takes the first order of
// the term, since nothing but its own look at the name in it could tell.
func TestUnlistedTargetOfOtherServiceGetsNoOrders(t *testing.T) {
	f, newcomer, other := newReusedAddress(t)
	f.runCoordinator("lists", "others")
	f.checkSingleHolder(4*time.Second, newcomer, other)
}

// A release finds the authority gone for a moment, and the answer to a write
// renews it. The piece must not wait for the release's end for ever: nobody
// would serve its keys for the rest of the term.
func TestUnsentReleaseIsReported(t *testing.T) {
	c := New(Options{Log: slog.New(slog.DiscardHandler), Releases: &platform.GrantClient{HTTP: http.DefaultClient}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLeadership(ctx, cancel, Lease{Term: 1}, 1)
	l.authorityEnd.Store(int64(boottime() - time.Millisecond))
	c.leadership = l
	c.release(l, &ownership.Manager{}, &ownership.Release{Address: "127.0.0.1:1", HeldUntil: time.Now().Add(time.Second)})
	assert.Equal(t, len(c.events), 1)
}

// What an answer proves. Only the ones that the platform knows for an order that
// was not carried out do: another target's 421 may come with the order applied.
func TestOutcomeOfOrders(t *testing.T) {
	for _, c := range []struct {
		err  error
		want ownership.Outcome
	}{
		{nil, ownership.Done},
		{&platform.StaleEpochError{}, ownership.Stale},
		{&platform.OrderError{Status: http.StatusBadRequest}, ownership.Refused},
		{&platform.OrderError{Status: http.StatusMisdirectedRequest}, ownership.Unknown},
		{&platform.OrderError{Status: http.StatusServiceUnavailable}, ownership.Unknown},
		{&unsentError{&channel.ClosedError{}}, ownership.ChannelClosed},
		{&unsentError{context.DeadlineExceeded}, ownership.Unsent},
		{&net.OpError{Op: "dial"}, ownership.Unsent},
		{&net.OpError{Op: "read"}, ownership.Unknown},
		{context.DeadlineExceeded, ownership.Unknown},
	} {
		assert.Equal(t, orderOutcome(c.err), c.want, "%v", c.err)
	}
}

// Guards against health checks, which take slots, where no other service has keys.
func TestTargetIsVerifiedOnlyAmongSeveralShardedServices(t *testing.T) {
	one := routing.Service{Name: "lists", Sharded: true, HealthPath: "/lists"}
	other := routing.Service{Name: "others", Sharded: true, HealthPath: "/others"}
	undivided := routing.Service{Name: "more", HealthPath: "/more"}
	for _, c := range []struct {
		services []routing.Service
		want     string
	}{
		{nil, ""},
		{[]routing.Service{one}, ""},
		{[]routing.Service{one, undivided}, ""},
		{[]routing.Service{undivided, other, one}, "/lists"},
	} {
		table := routing.New(&routing.Config{Services: c.services})
		assert.Equal(t, healthPath(table, "lists"), c.want)
	}
	assert.Equal(t, healthPath(nil, "lists"), "")
}
