package broker_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/broker"
	"basilcross.example/gateway/peers"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

type testInstance struct {
	broker *broker.Broker
	peers  *peers.Peers
	roster *roster.Roster
	// receiveHook, if set, takes messages in place of the broker.
	receiveHook atomic.Pointer[func(*peers.Message)]
	stop        func()
}

// startInstances are instances of one zone that know each other and the same targets.
func startInstances(t *testing.T, names ...string) map[string]*testInstance {
	t.Helper()
	list := &roster.Roster{}
	list.Replace(time.Now(), []*roster.Target{{ID: "t", Started: 1, Service: "s", Zone: "z", Slots: 1}}, 1)
	all, known := map[string]*testInstance{}, map[string]peers.Instance{}
	log := slog.New(slog.DiscardHandler)
	for _, name := range names {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		address := c.LocalAddr().String()
		assert.NilError(t, c.Close())
		n := &testInstance{roster: list}
		n.peers = &peers.Peers{Self: peers.Instance{Name: name, Incarnation: "1", Zone: "z", Datagram: address}, Log: log}
		n.peers.Receive = func(m *peers.Message) {
			if f := n.receiveHook.Load(); f != nil {
				(*f)(m)
				return
			}
			n.broker.Receive(m)
		}
		n.broker = broker.New(broker.Options{
			Self: n.peers.Self, Peers: n.peers, Dispatcher: &dispatch.Dispatcher{Roster: list}, Roster: list, Log: log,
		})
		assert.NilError(t, n.peers.Listen())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); _ = n.peers.Serve(ctx) }()
		n.stop = func() { cancel(); <-ended }
		t.Cleanup(n.stop)
		all[name], known[name] = n, n.peers.Self
	}
	for _, n := range all {
		n.peers.SetInstances(known)
	}
	return all
}

func request(objective, deadline time.Duration) schedule.Request {
	now := time.Now()
	return schedule.Request{Service: "s", Zone: "z", Objective: now.Add(objective), Deadline: now.Add(deadline)}
}

// A target has one slot. Whichever instance sent, one of them counts: of three
// instances' requests only one has room.
func TestSlotIsReservedOnceAcrossInstances(t *testing.T) {
	all := startInstances(t, "a", "b", "c")
	var places []*broker.Reservation
	for _, n := range all {
		p, err := n.broker.Acquire(t.Context(), request(time.Millisecond, 50*time.Millisecond))
		if err != nil {
			var busy *schedule.BusyError
			assert.Assert(t, errors.As(err, &busy), err)
			continue
		}
		places = append(places, p)
	}
	assert.Equal(t, len(places), 1)
	for _, p := range places {
		p.Release(schedule.Answered)
	}
	for _, n := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			p, err := n.broker.Acquire(t.Context(), request(time.Second, 3*time.Second))
			if err != nil {
				return poll.Continue("%v", err)
			}
			p.Release(schedule.Answered)
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

// The instance that decides is gone without a word. The others decide by
// themselves: a request waits a little and is not refused.
func TestUnresponsiveSchedulerIsBypassed(t *testing.T) {
	all := startInstances(t, "a", "b", "c")
	for _, n := range all {
		n.stop()
	}
	for _, n := range all {
		p, err := n.broker.Acquire(t.Context(), request(20*time.Second, 60*time.Second))
		assert.NilError(t, err)
		p.Release(schedule.Answered)
	}
}

func TestCanceledRequestIsWithdrawn(t *testing.T) {
	all := startInstances(t, "a", "b", "c")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, n := range all {
		for range 5 {
			if p, err := n.broker.Acquire(ctx, request(time.Second, time.Minute)); err == nil {
				p.Release(schedule.Abandoned)
			}
		}
	}
	for _, n := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			p, err := n.broker.Acquire(t.Context(), request(time.Second, 3*time.Second))
			if err != nil {
				return poll.Continue("%v", err)
			}
			p.Release(schedule.Answered)
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

// All requests of a zone ask the scheduler of a service. It is one of the instances
// with the most of a processor; for single targets all take their part.
func TestServiceSchedulerHasMostCores(t *testing.T) {
	all := map[string]peers.Instance{}
	for _, name := range []string{"a", "b", "c", "d"} {
		all[name] = peers.Instance{Name: name, Zone: "z", Cores: 0.16, Datagram: "127.0.0.1:9"}
	}
	all["strong"] = peers.Instance{Name: "strong", Zone: "z", Cores: 0.8, Datagram: "127.0.0.1:9"}
	p := &peers.Peers{Self: all["a"], Log: slog.New(slog.DiscardHandler)}
	p.SetInstances(all)
	b := broker.New(broker.Options{Self: p.Self, Peers: p})
	schedulers := map[string]bool{}
	for _, id := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"} {
		assert.Equal(t, b.Scheduler(&schedule.Request{Service: id, Zone: "z"}), "strong")
		schedulers[b.Scheduler(&schedule.Request{Service: "s", Zone: "z", Target: id})] = true
	}
	assert.Assert(t, len(schedulers) > 2)
}

// A request waits at its scheduler for most of a second, as many do when targets
// are busy. Asking again every 50 ms was most of what went between regions.
func TestQueuedRequestIsRarelyResent(t *testing.T) {
	all := startInstances(t, "a", "scheduler")
	var sent atomic.Int64
	scheduler := all["scheduler"].peers
	queue := func(m *peers.Message) {
		if m.ReserveRequest != nil {
			sent.Add(1)
			scheduler.Send(m.From, &peers.Message{ReserveResponse: &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, Queued: true}})
		}
	}
	all["scheduler"].receiveHook.Store(&queue)
	id := ""
	for i := 0; id == ""; i++ {
		if a := (&schedule.Request{Service: "s", Zone: "z", Target: "t" + strconv.Itoa(i)}); all["a"].broker.Scheduler(a) == "scheduler" {
			id = a.Target
		}
	}
	all["a"].roster.Replace(time.Now(), []*roster.Target{{ID: id, Started: 1, Service: "s", Zone: "z", Slots: 1}}, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	began := time.Now()
	a := request(time.Second, time.Minute)
	a.Target = id
	_, err := all["a"].broker.Acquire(ctx, a)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	most := 2 + int64(time.Since(began)/(300*time.Millisecond))
	assert.Assert(t, sent.Load() <= most, "%d sent, at most %d", sent.Load(), most)
}

// An instance was killed and is back under its name. A reply to its former life
// arrives, for an ask that had the same number: it names a target of another
// service. That target would run the request, since it is called by its own
// name. The reply is passed over, and the right one is waited for.
func TestReplyToEarlierIncarnationIsIgnored(t *testing.T) {
	for name, stray := range map[string]*peers.ReserveResponse{
		"another service's target": {Target: "other", Started: 7},
		"another target":           {Target: "second", Started: 1},
	} {
		t.Run(name, func(t *testing.T) {
			all := startInstances(t, "a", "scheduler")
			scheduler := all["scheduler"].peers
			answer := func(m *peers.Message) {
				if m.ReserveRequest == nil {
					return
				}
				r := *stray
				r.Seq = m.ReserveRequest.Seq
				scheduler.Send(m.From, &peers.Message{ReserveResponse: &r})
				scheduler.Send(m.From, &peers.Message{ReserveResponse: &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, Target: m.ReserveRequest.Target, Started: 1}})
			}
			all["scheduler"].receiveHook.Store(&answer)
			a := request(time.Second, time.Minute)
			for i := 0; a.Target == "" || all["a"].broker.Scheduler(&a) != "scheduler"; i++ {
				a.Target = "t" + strconv.Itoa(i)
			}
			all["a"].roster.Replace(time.Now(), []*roster.Target{
				{ID: a.Target, Started: 1, Service: "s", Zone: "z", Slots: 1},
				{ID: "second", Started: 1, Service: "s", Zone: "z", Slots: 1},
				{ID: "other", Started: 7, Service: "elsewhere", Zone: "z", Slots: 1},
			}, 2)
			p, err := all["a"].broker.Acquire(t.Context(), a)
			assert.NilError(t, err)
			assert.Equal(t, p.Target.ID, a.Target)
		})
	}
}

// Guards against a reply to a former life that finds a pending request under its
// number: numbers start at random in each life.
func TestSequenceNumbersDifferBetweenIncarnations(t *testing.T) {
	var first []uint64
	for range 2 {
		all := startInstances(t, "a", "scheduler")
		seen := make(chan uint64, 1)
		note := func(m *peers.Message) {
			if m.ReserveRequest != nil {
				select {
				case seen <- m.ReserveRequest.Seq:
				default:
				}
			}
		}
		all["scheduler"].receiveHook.Store(&note)
		a := request(time.Second, time.Minute)
		for i := 0; a.Target == "" || all["a"].broker.Scheduler(&a) != "scheduler"; i++ {
			a.Target = "t" + strconv.Itoa(i)
		}
		all["a"].roster.Replace(time.Now(), []*roster.Target{{ID: a.Target, Started: 1, Service: "s", Zone: "z", Slots: 1}}, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := all["a"].broker.Acquire(ctx, a)
		cancel()
		assert.Assert(t, err != nil)
		first = append(first, <-seen)
	}
	assert.Assert(t, first[0] != first[1])
}
