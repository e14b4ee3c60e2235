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

	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// fleet is a coordinator with its store, and the targets that it sends orders to.
type fleet struct {
	t      *testing.T
	roster *roster.Roster
}

// process is one incarnation of a target. An order to its address reaches any process that
// listens there.
type process struct {
	*standin.Target
	listed *roster.Target
	server *http.Server
}

// startFleet runs a coordinator with some targets, and waits until all of them hold keys.
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
		Quarantine: &quarantine.List{}, OnQuarantined: func(time.Time, []peers.Quarantined) {},
		Self:          peers.Instance{Name: "one", Incarnation: "a", Cores: 1},
		Store:         &platform.Store{Address: strings.TrimPrefix(store.URL, "http://"), HTTP: store.Client()},
		Channels:      &channel.Set{Dial: (&net.Dialer{}).DialContext},
		ReleaseClient: NewReleaseClient((&net.Dialer{}).DialContext),
		Links:         &links.Monitor{}, AskLinks: func(context.Context, peers.Instance, []string, bool) bool { return true },
		Peers: &peers.Peers{Log: log}, Roster: f.roster, Table: func() *routing.Table { return table },
		Placement: func() *placement.Policy { return &placement.Policy{} },
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

type testLogWriter struct{ t *testing.T }

func (l testLogWriter) Write(line []byte) (int, error) {
	// A line may be written while the test ends.
	if l.t.Context().Err() == nil {
		l.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

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

// crash closes the process's connections and its port.
func (p *process) crash() { _ = p.server.Close() }

func (f *fleet) setListed(p *process, listed bool) {
	change := roster.Change{ID: p.ID}
	if listed {
		change.Target = p.listed
	}
	f.roster.Apply(time.Now(), []roster.Change{change}, uint64(time.Now().UnixNano()))
}

// waitFor fails the test if a condition does not hold within 10 s.
func (f *fleet) waitFor(condition string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("not within 10 s: " + condition)
		}
	}
}

// checkSingleHolder fails the test if two processes hold the same key within d.
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

// Requests for one key ran at two targets under the same epoch. A target crashes, and within
// a second another one, which is not listed yet, starts at its address. A renewal for the
// first target is retried under the same epoch on a new connection, after six refused ones,
// and the second target, started 21 ms before and without any epoch yet, accepts it. An epoch
// must be bound to the connection on which it was sent first.
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

// Two targets held the same keys for over two seconds. A renewal meant for a crashed target
// had reached the one that started at its address. When the platform listed the second
// target and removed the first one, 11 ms later, that counted as proof that the first one's
// keys were free, and after another 56 ms they were granted to others, before the second
// target's hold had expired. Keys of a replaced target must stay at the address, since orders
// sent there may have reached its replacement.
func TestKeysOfReplacementTargetAreNotGrantedToOthers(t *testing.T) {
	f, targets := startFleet(t, 3)
	first := targets[0]
	first.crash()
	second := f.startTarget("newcomer", first.listed.Address)
	// It starts with a warm-up, so that some of the keys move to others.
	second.listed.WarmupLeft = 3 * time.Second
	f.checkSingleHolder(time.Second, second, targets[1], targets[2])
	f.setListed(second, true)
	f.setListed(first, false)
	f.checkSingleHolder(4*time.Second, second, targets[1], targets[2])
	f.waitFor("all keys are held", func() bool {
		for key := 0; key < ownership.KeyCount; key += 4096 {
			if !second.Holds(key) && !targets[1].Holds(key) && !targets[2].Holds(key) {
				return false
			}
		}
		return true
	})
}

// newReusedAddress returns two sharded services, of which one has a crashed target that is
// still listed. A target of the other service, the replacement, runs at its address.
func newReusedAddress(t *testing.T) (f *fleet, replacement, other *process) {
	t.Helper()
	f = &fleet{t: t, roster: &roster.Roster{}}
	replacement, other = f.startTarget("newcomer", "127.0.0.1:0"), f.startTarget("other", "127.0.0.1:0")
	replacement.listed.Service, other.listed.Service = "others", "others"
	dead := &process{Target: &standin.Target{ID: "dead"}, listed: &roster.Target{
		ID: "dead", Service: "lists", Address: replacement.listed.Address, Slots: 3, Started: replacement.listed.Started - 5000,
	}}
	f.setListed(dead, true)
	f.setListed(f.startTarget("last", "127.0.0.1:0"), true)
	f.setListed(other, true)
	return f, replacement, other
}

// An address is reused by a target of another sharded service, which is listed there while
// the crashed one still is. It must not be granted the first service's keys: it would accept
// them, while targets of that service hold them.
func TestListedTargetOfOtherServiceGetsNoOrders(t *testing.T) {
	f, replacement, other := newReusedAddress(t)
	f.setListed(replacement, true)
	f.runCoordinator("lists", "others")
	f.checkSingleHolder(4*time.Second, replacement, other)
}

// As above, but the replacement is not listed yet. It would accept the first order of a term,
// so its ID has to be read on the connection before an order is sent.
func TestUnlistedTargetOfOtherServiceGetsNoOrders(t *testing.T) {
	f, replacement, other := newReusedAddress(t)
	f.runCoordinator("lists", "others")
	f.checkSingleHolder(4*time.Second, replacement, other)
}

// A release is not sent because the authority has expired for a moment, before the response to a
// write renews it. The release must be reported as unsent: otherwise the piece waits for its
// outcome forever, and its keys have no owner for the rest of the term.
func TestUnsentReleaseIsReported(t *testing.T) {
	c := New(Options{
		Quarantine: &quarantine.List{}, OnQuarantined: func(time.Time, []peers.Quarantined) {}, Log: slog.New(slog.DiscardHandler), ReleaseClient: &platform.GrantClient{HTTP: http.DefaultClient},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := newLeadership(ctx, cancel, Lease{Term: 1}, 1, 0.8)
	l.authorityEnd.Store(int64(boottime() - time.Millisecond))
	c.leadership = l
	c.release(l, &ownership.Manager{}, &ownership.Release{Address: "127.0.0.1:1", HeldUntil: time.Now().Add(time.Second)})
	assert.Equal(t, len(c.events), 1)
}

// Only the responses that the platform defines for orders that were not executed may count as
// such: a 421 of another target may come although the order was applied.
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
		{&unprovenError{&platform.StaleEpochError{}}, ownership.Unknown},
		{&unprovenError{&platform.OrderError{Status: http.StatusBadRequest}}, ownership.Unknown},
	} {
		assert.Equal(t, orderOutcome(c.err), c.want, "%v", c.err)
	}
}

// Health checks take slots of targets, so they must not be sent where no other service is
// sharded.
func TestTargetIsVerifiedOnlyAmongSeveralShardedServices(t *testing.T) {
	one := routing.Service{Name: "lists", Sharded: true, HealthPath: "/lists"}
	other := routing.Service{Name: "others", Sharded: true, HealthPath: "/others"}
	unsharded := routing.Service{Name: "more", HealthPath: "/more"}
	for _, c := range []struct {
		services []routing.Service
		want     string
	}{
		{nil, ""},
		{[]routing.Service{one}, ""},
		{[]routing.Service{one, unsharded}, ""},
		{[]routing.Service{unsharded, other, one}, "/lists"},
	} {
		table := routing.New(&routing.Config{Services: c.services})
		assert.Equal(t, healthPath(table, "lists"), c.want)
	}
	assert.Equal(t, healthPath(nil, "lists"), "")
}
