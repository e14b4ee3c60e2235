package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/links"
	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/basilcross/speed"
	"basilcross.example/gateway/channel"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// speedFleet is a store and a list of targets, for coordinators with speeds.
type speedFleet struct {
	t      *testing.T
	store  *standin.Store
	server *httptest.Server
	roster *roster.Roster
	// refuseReads makes the store refuse to read speeds, and refuseWrites transactions that write some.
	refuseReads, refuseWrites atomic.Bool
	speedWrites, writes       atomic.Int64
	// others are the other instances that coordinators list.
	others []peers.Instance
}

func newSpeedFleet(t *testing.T) *speedFleet {
	t.Helper()
	f := &speedFleet{t: t, store: &standin.Store{}, roster: &roster.Roster{}}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	f.list(1, 6)
	return f
}

// list lists targets that were started at the given time.
func (f *speedFleet) list(started int64, n int) {
	var targets []*roster.Target
	for i := range n {
		targets = append(targets, &roster.Target{ID: fmt.Sprint("t", i), Started: started, Service: "lists", Zone: "z", Slots: 3, Address: fmt.Sprint("127.0.0.1:", i+1)})
	}
	f.roster.Replace(time.Now(), targets, uint64(started))
}

func (f *speedFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Query().Get("table") == SpeedTable && f.refuseReads.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Method == http.MethodPost {
		f.writes.Add(1)
	}
	if bytes.Contains(body, []byte(`"table":"`+SpeedTable+`"`)) {
		f.speedWrites.Add(1)
		if f.refuseWrites.Load() {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	f.store.ServeHTTP(w, r)
}

// speedCoordinator is a coordinator that runs, and what it received itself.
type speedCoordinator struct {
	*Coordinator
	f        *speedFleet
	received atomic.Pointer[[]peers.TargetSpeed]
	stop     func()
}

func (f *speedFleet) run(name string, speeds bool) *speedCoordinator {
	f.t.Helper()
	table := routing.New(&routing.Config{Version: 1, Services: []routing.Service{{Name: "lists", Sharded: true, HealthPath: standin.HealthPath}}})
	log := slog.New(slog.DiscardHandler)
	s := &speedCoordinator{f: f}
	listed := &peers.Peers{Log: log, Self: peers.Instance{Name: name, Zone: "z", Datagram: "127.0.0.1:0"}}
	assert.NilError(f.t, listed.Listen())
	for _, other := range f.others {
		listed.Add(other)
	}
	s.Coordinator = New(Options{
		Quarantine: &quarantine.List{}, OnQuarantined: func(time.Time, []peers.Quarantined) {},
		Self:          peers.Instance{Name: name, Incarnation: name, Cores: 1, Zone: "z"},
		Store:         &platform.Store{Address: strings.TrimPrefix(f.server.URL, "http://"), HTTP: f.server.Client()},
		Channels:      &channel.Set{Dial: (&net.Dialer{}).DialContext},
		ReleaseClient: NewReleaseClient((&net.Dialer{}).DialContext),
		// No target answers. The coordinator would resign if another instance reached them.
		Links: &links.Monitor{}, AskLinks: func(context.Context, peers.Instance, []string, bool) bool { return false },
		ReachesTargets: func(context.Context, string) bool { return true },
		Peers:          listed, Roster: f.roster, Table: func() *routing.Table { return table },
		Placement: func() *placement.Policy { return &placement.Policy{} },
		Revisions: func() map[string]uint64 { return nil }, OnLeading: func(int, bool) {}, RestartFeeds: func() {},
		OnUpdate: func(*peers.AssignmentUpdate) {}, OnOversizedUpdate: func() {}, Log: log, Joined: func() bool { return true },
		Holds:  ownership.Holds{Normal: 3200 * time.Millisecond, Long: 6 * time.Second, RenewInterval: 800 * time.Millisecond},
		Speeds: speeds, OnSpeeds: func(known []peers.TargetSpeed) { s.received.Store(&known) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return s.Serve(ctx) })
	s.stop = func() {
		cancel()
		_ = group.Wait()
	}
	f.t.Cleanup(s.stop)
	s.waitFor("leads", func() bool { return s.leadership != nil && len(s.leadership.managers) == 1 })
	return s
}

// do runs f on the coordinator's goroutine.
func (s *speedCoordinator) do(f func()) {
	done := make(chan struct{})
	s.enqueue(context.Background(), func() {
		f()
		close(done)
	})
	<-done
}

func (s *speedCoordinator) waitFor(what string, condition func() bool) {
	s.f.t.Helper()
	for range 1500 {
		met := false
		if s.do(func() { met = condition() }); met {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.f.t.Fatalf("%s %s: not within 15 s", s.Self.Name, what)
}

// report reports that every third target needs three times as long as the others, and lets the row be
// written at once.
func (s *speedCoordinator) report(us int64) {
	var list []peers.TargetSpeed
	for t := range s.f.roster.Load().All() {
		r := peers.TargetSpeed{Target: t.ID, Started: t.Started, Us: us, Answers: 100}
		if t.ID == "t0" || t.ID == "t3" {
			r.Us *= 3
		}
		list = append(list, r)
	}
	s.Receive(&peers.Message{From: "scheduler", Report: &peers.Report{Speeds: list}})
	s.do(func() { s.speeds.nextWrite = time.Time{} })
}

func (f *speedFleet) row() []speed.Estimate {
	f.t.Helper()
	row := f.store.Row(SpeedTable, "lists")
	if row.Revision == 0 {
		return nil
	}
	list, err := speed.Decode(row.Value)
	assert.NilError(f.t, err)
	return list
}

// resign ends the coordinator as at a shutdown.
func (s *speedCoordinator) resign() {
	s.Resign(context.Background())
	s.stop()
}

// When all instances are lost, the next coordinator must know the targets' speeds, except those of
// incarnations that have ended since. Nothing but one read a term may be added to the store's calls.
func TestSpeedsOutlastTheCoordinator(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	first := f.run("one", true)
	assert.Equal(t, len(f.row()), 0)
	first.report(200_000)
	first.waitFor("wrote speeds", func() bool { return len(f.row()) == 6 })
	assert.Equal(t, f.speedWrites.Load(), int64(1))
	first.resign()
	assert.Equal(t, f.store.RangeCount(SpeedTable), 1)

	f.roster.Apply(time.Now(), []roster.Change{{ID: "t3", Target: &roster.Target{ID: "t3", Started: 2, Service: "lists", Zone: "z", Slots: 3, Address: "127.0.0.1:9"}}}, 2)
	second := f.run("two", true)
	slow := roster.Incarnation{ID: "t0", Started: 1}
	second.waitFor("knows speeds", func() bool { return second.speeds.of("lists").relative[slow].Speed > 0 })
	second.do(func() {
		relative := second.speeds.of("lists").relative
		assert.Equal(t, len(relative), 5)
		assert.Assert(t, relative[slow].Shrunk() < 0.6, "%v", relative[slow])
		assert.Equal(t, relative[roster.Incarnation{ID: "t3", Started: 2}], speed.Relative{})
	})
	second.waitFor("received itself, which schedules its zone", func() bool { return second.received.Load() != nil })
	for _, received := range *second.received.Load() {
		assert.Assert(t, received.Answers == 0 && received.Target != "t3")
		assert.Equal(t, received.Us > 1_000_000, received.Target == "t0")
	}
	assert.Assert(t, second.SpeedStatus().Certainty > 0.4)
	assert.Equal(t, f.store.RangeCount(SpeedTable), 2)
}

// receiveSpeeds returns the speeds in the next datagram with some, or nil after a second.
func receiveSpeeds(t *testing.T, conn *net.UDPConn) []peers.TargetSpeed {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	buffer := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return nil
		}
		m := peers.Message{}
		assert.NilError(t, cbor.Unmarshal(buffer[:n], &m))
		if m.Report != nil {
			return m.Report.Speeds
		}
	}
}

// An instance that has started takes all targets to be average, and gives slow ones too many requests
// until they have answered. It must be received once, and again only after another start.
func TestStartedSchedulerIsSentSpeeds(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	started := peers.Instance{Name: "started", Incarnation: "first", Zone: "z", Datagram: conn.LocalAddr().String()}
	f.others = []peers.Instance{started}
	c := f.run("one", true)
	c.report(200_000)
	c.waitFor("knows speeds", func() bool { return len(c.speeds.of("lists").relative) == 6 })
	for _, incarnation := range []string{"first", "second"} {
		started.Incarnation = incarnation
		c.Receive(&peers.Message{From: started.Name, Hello: &started})
		received := receiveSpeeds(t, conn)
		assert.Equal(t, len(received), 6)
		for _, s := range received {
			assert.Equal(t, s.Us > 1_000_000, s.Target == "t0" || s.Target == "t3")
			assert.Equal(t, s.Answers, int64(0))
		}
		c.Receive(&peers.Message{From: started.Name, Hello: &started})
		assert.Equal(t, len(receiveSpeeds(t, conn)), 0)
	}
}

// Deviations by chance must not be written.
func TestSpeedsAreWrittenOnlyIfChanged(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	c := f.run("one", true)
	c.report(200_000)
	c.waitFor("wrote speeds", func() bool { return len(f.row()) == 6 })
	c.report(204_000)
	before := f.writes.Load()
	c.waitFor("renewed the lease", func() bool { return f.writes.Load() > before+1 })
	assert.Equal(t, f.speedWrites.Load(), int64(1))
	c.report(400_000)
	c.waitFor("wrote speeds again", func() bool { return f.speedWrites.Load() == 2 })
	c.report(900_000)
	c.do(func() { c.speeds.nextWrite = time.Now().Add(speedWriteInterval) })
	before = f.writes.Load()
	c.waitFor("renewed the lease", func() bool { return f.writes.Load() > before+1 })
	assert.Equal(t, f.speedWrites.Load(), int64(2))
}

// A coordinator that was replaced and does not know it yet must not replace its successor's row.
func TestReplacedCoordinatorWritesNoSpeeds(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	c := f.run("one", true)
	f.store.Put(LeaseTable, LeaseKey, (&leaseRow{Lease: Lease{Term: 9, Holder: "two", Incarnation: "b", LeaseMs: 60_000, Seq: 1}}).encode())
	c.report(200_000)
	c.waitFor("stepped down", func() bool { return c.leadership == nil })
	assert.Equal(t, len(f.row()), 0)
}

// While the store does not answer, a coordinator loses its lease. What it has measured must be written
// once the store answers again.
func TestSpeedsAreWrittenAfterAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	c := f.run("one", true)
	f.store.SetUnresponsive(true)
	c.report(200_000)
	c.waitFor("stepped down", func() bool { return c.leadership == nil })
	f.store.SetUnresponsive(false)
	f.server.CloseClientConnections()
	c.waitFor("leads again", func() bool { return c.leadership != nil && len(c.leadership.managers) == 1 })
	c.do(func() { c.speeds.nextWrite = time.Time{} })
	c.waitFor("wrote speeds", func() bool { return len(f.row()) == 6 })
}

// A coordinator that cannot read the rows must lead without them, and must not replace what it has not
// read.
func TestUnreadableSpeedsDelayNoTerm(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	f.refuseReads.Store(true)
	c := f.run("one", true)
	c.report(200_000)
	c.waitFor("knows speeds", func() bool { return len(c.speeds.of("lists").relative) == 6 })
	assert.Equal(t, f.speedWrites.Load(), int64(0))
	f.refuseReads.Store(false)
	c.do(func() { c.speeds.nextRead = time.Time{} })
	c.waitFor("wrote speeds", func() bool { return len(f.row()) == 6 })
}

// A store that refuses the row must not cost the lease.
func TestRefusedSpeedsDoNotEndTheTerm(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	f.refuseWrites.Store(true)
	c := f.run("one", true)
	c.report(200_000)
	c.waitFor("tried to write speeds", func() bool { return f.speedWrites.Load() == 1 && c.speeds.nextWrite.After(time.Now()) })
	before := f.writes.Load()
	c.waitFor("renewed the lease", func() bool { return f.writes.Load() > before+1 })
	c.do(func() { assert.Equal(t, c.leadership.lease.Term, int64(1)) })
	assert.Equal(t, f.speedWrites.Load(), int64(1))
}

// A damaged row must be replaced, and one of a later version left to the instances that know it.
func TestRowsThatCannotBeReadAreAsIfMissing(t *testing.T) {
	for _, c := range []struct {
		name, text string
		replaced   bool
	}{
		{"damaged", `{"version":1,"targets":[[`, true},
		{"later version", `{"version":7,"targets":{}}`, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newSpeedFleet(t)
			f.store.Put(SpeedTable, "lists", []byte(c.text))
			s := f.run("one", true)
			s.waitFor("read the row", func() bool { return s.speeds.read })
			s.report(200_000)
			s.waitFor("knows speeds", func() bool { return len(s.speeds.of("lists").relative) == 6 })
			before := f.writes.Load()
			s.waitFor("renewed the lease", func() bool { return f.writes.Load() > before+1 })
			assert.Equal(t, string(f.store.Row(SpeedTable, "lists").Value) != c.text, c.replaced)
		})
	}
}

// Without the feature there must be no further call of the store, and reports with speeds change nothing.
func TestSpeedsAreOffWithoutTheFeature(t *testing.T) {
	t.Parallel()
	f := newSpeedFleet(t)
	f.store.Put(SpeedTable, "lists", speed.Encode([]speed.Estimate{{Target: roster.Incarnation{ID: "t0", Started: 1}, Seconds: 9, Answers: 90}}))
	c := f.run("one", false)
	c.report(200_000)
	before := f.writes.Load()
	c.waitFor("renewed the lease", func() bool { return f.writes.Load() > before+1 })
	assert.Equal(t, f.store.RangeCount(SpeedTable), 0)
	assert.Equal(t, f.speedWrites.Load(), int64(0))
	assert.Assert(t, c.received.Load() == nil)
	c.do(func() { assert.Equal(t, len(c.speeds.services), 0) })
	assert.Equal(t, c.SpeedStatus(), SpeedStatus{})
}
