package broker_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/dispatch"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/ratelimit"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"basilcross.example/gateway/broker"
	"basilcross.example/gateway/peers"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

type testInstance struct {
	broker     *broker.Broker
	peers      *peers.Peers
	roster     *roster.Roster
	dispatcher *dispatch.Dispatcher
	// receiveHook, if set, receives messages in place of the broker.
	receiveHook atomic.Pointer[func(*peers.Message)]
	thin        atomic.Bool
	// owner, if set, owns all keys.
	owner atomic.Value
	stop  func()
}

// startInstances starts instances of one zone that have each other and the same
// targets in their lists.
func startInstances(t *testing.T, names ...string) map[string]*testInstance {
	t.Helper()
	targets := &roster.Roster{}
	targets.Replace(time.Now(), []*roster.Target{{ID: "t", Started: 1, Service: "s", Zone: "z", Slots: 1}}, 1)
	all, members := map[string]*testInstance{}, map[string]peers.Instance{}
	log := slog.New(slog.DiscardHandler)
	for _, name := range names {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		address := c.LocalAddr().String()
		assert.NilError(t, c.Close())
		n := &testInstance{roster: targets, dispatcher: &dispatch.Dispatcher{Roster: targets}}
		n.peers = &peers.Peers{Self: peers.Instance{Name: name, Incarnation: "1", Zone: "z", Datagram: address}, Log: log}
		n.peers.Receive = func(m *peers.Message) {
			if f := n.receiveHook.Load(); f != nil {
				(*f)(m)
				return
			}
			n.broker.Receive(m)
		}
		n.broker = broker.New(broker.Options{
			Self: n.peers.Self, Placement: func() *placement.Policy { return &placement.Policy{} }, Peers: n.peers, Dispatcher: n.dispatcher, Roster: targets, Log: log,
			Thin: n.thin.Load,
			Owner: func(string, int) (string, time.Time) {
				id, _ := n.owner.Load().(string)
				return id, time.Time{}
			},
		})
		assert.NilError(t, n.peers.Listen())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = n.peers.Serve(ctx) }()
		n.stop = func() { cancel(); <-done }
		t.Cleanup(n.stop)
		all[name], members[name] = n, n.peers.Self
	}
	for _, n := range all {
		n.peers.SetInstances(members)
	}
	return all
}

func request(objective, deadline time.Duration) schedule.Request {
	now := time.Now()
	return schedule.Request{Service: "s", Zone: "z", Objective: now.Add(objective), Deadline: now.Add(deadline)}
}

// A target has one slot, and three instances request it. One scheduler must count it
// for all of them: only one request gets the slot.
func TestSlotIsReservedOnceAcrossInstances(t *testing.T) {
	all := startInstances(t, "a", "b", "c")
	var reservations []*broker.Reservation
	for _, n := range all {
		res, err := n.broker.Acquire(t.Context(), request(time.Millisecond, 50*time.Millisecond))
		if err != nil {
			var busy *schedule.BusyError
			assert.Assert(t, errors.As(err, &busy), err)
			continue
		}
		reservations = append(reservations, res)
	}
	assert.Equal(t, len(reservations), 1)
	for _, res := range reservations {
		res.Release(schedule.Answered)
	}
	for _, n := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			res, err := n.broker.Acquire(t.Context(), request(time.Second, 3*time.Second))
			if err != nil {
				return poll.Continue("%v", err)
			}
			res.Release(schedule.Answered)
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

// The scheduler stops without notice. The other instances must assign slots by
// themselves: a request is delayed a little and not refused.
func TestUnresponsiveSchedulerIsBypassed(t *testing.T) {
	all := startInstances(t, "a", "b", "c")
	for _, n := range all {
		n.stop()
	}
	for _, n := range all {
		res, err := n.broker.Acquire(t.Context(), request(20*time.Second, 60*time.Second))
		assert.NilError(t, err)
		res.Release(schedule.Answered)
	}
}

// The callers of many requests disconnect. A request that stayed at its scheduler would
// hold the only slot.
func TestCanceledRequestFreesItsSlot(t *testing.T) {
	all := startInstances(t, "a", "b", "c")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, n := range all {
		for range 5 {
			if res, err := n.broker.Acquire(ctx, request(time.Second, time.Minute)); err == nil {
				res.Release(schedule.Abandoned)
			}
		}
	}
	for _, n := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			res, err := n.broker.Acquire(t.Context(), request(time.Second, 3*time.Second))
			if err != nil {
				return poll.Continue("%v", err)
			}
			res.Release(schedule.Answered)
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

// All requests of a zone go to the scheduler of a service, so it must be an instance
// with the most cores. The schedulers of single targets are spread over all instances.
func TestServiceSchedulerHasMostCores(t *testing.T) {
	all := map[string]peers.Instance{}
	for _, name := range []string{"a", "b", "c", "d"} {
		all[name] = peers.Instance{Name: name, Zone: "z", Cores: 0.16, Datagram: "127.0.0.1:9"}
	}
	all["strong"] = peers.Instance{Name: "strong", Zone: "z", Cores: 0.8, Datagram: "127.0.0.1:9"}
	p := &peers.Peers{Self: all["a"], Log: slog.New(slog.DiscardHandler)}
	p.SetInstances(all)
	b := broker.New(broker.Options{Self: p.Self, Peers: p})
	schedulersOfTargets := map[string]bool{}
	for _, id := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"} {
		assert.Equal(t, b.Scheduler(&schedule.Request{Service: id, Zone: "z"}), "strong")
		schedulersOfTargets[b.Scheduler(&schedule.Request{Service: "s", Zone: "z", Target: id})] = true
	}
	assert.Assert(t, len(schedulersOfTargets) > 2)
}

// A request is queued at its scheduler for most of a second, as many are when targets
// are busy. Resending it every 50 ms would be most of the traffic between regions.
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
		if req := (&schedule.Request{Service: "s", Zone: "z", Target: "t" + strconv.Itoa(i)}); all["a"].broker.Scheduler(req) == "scheduler" {
			id = req.Target
		}
	}
	all["a"].roster.Replace(time.Now(), []*roster.Target{{ID: id, Started: 1, Service: "s", Zone: "z", Slots: 1}}, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	start := time.Now()
	req := request(time.Second, time.Minute)
	req.Target = id
	_, err := all["a"].broker.Acquire(ctx, req)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	limit := 2 + int64(time.Since(start)/(300*time.Millisecond))
	assert.Assert(t, sent.Load() <= limit, "%d sent, at most %d", sent.Load(), limit)
}

// An instance was killed and restarted under its name. A reply to a request of its
// earlier incarnation with the same sequence number arrives and names another target,
// which would run the request, since it is addressed by its own name. The reply must
// be ignored until the right one arrives.
func TestReplyToEarlierIncarnationIsIgnored(t *testing.T) {
	for name, misdirected := range map[string]*peers.ReserveResponse{
		"another service's target": {Target: "other", Started: 7},
		"another target":           {Target: "second", Started: 1},
	} {
		t.Run(name, func(t *testing.T) {
			all := startInstances(t, "a", "scheduler")
			scheduler := all["scheduler"].peers
			reply := func(m *peers.Message) {
				if m.ReserveRequest == nil {
					return
				}
				r := *misdirected
				r.Seq = m.ReserveRequest.Seq
				scheduler.Send(m.From, &peers.Message{ReserveResponse: &r})
				scheduler.Send(m.From, &peers.Message{ReserveResponse: &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, Target: m.ReserveRequest.Target, Started: 1}})
			}
			all["scheduler"].receiveHook.Store(&reply)
			req := request(time.Second, time.Minute)
			for i := 0; req.Target == "" || all["a"].broker.Scheduler(&req) != "scheduler"; i++ {
				req.Target = "t" + strconv.Itoa(i)
			}
			all["a"].roster.Replace(time.Now(), []*roster.Target{
				{ID: req.Target, Started: 1, Service: "s", Zone: "z", Slots: 1},
				{ID: "second", Started: 1, Service: "s", Zone: "z", Slots: 1},
				{ID: "other", Started: 7, Service: "elsewhere", Zone: "z", Slots: 1},
			}, 2)
			res, err := all["a"].broker.Acquire(t.Context(), req)
			assert.NilError(t, err)
			assert.Equal(t, res.Target.ID, req.Target)
		})
	}
}

// A reply to an earlier incarnation must not match a pending request by its sequence
// number: the numbers start at random in each incarnation.
func TestSequenceNumbersDifferBetweenIncarnations(t *testing.T) {
	var first []uint64
	for range 2 {
		all := startInstances(t, "a", "scheduler")
		seen := make(chan uint64, 1)
		record := func(m *peers.Message) {
			if m.ReserveRequest != nil {
				select {
				case seen <- m.ReserveRequest.Seq:
				default:
				}
			}
		}
		all["scheduler"].receiveHook.Store(&record)
		req := request(time.Second, time.Minute)
		for i := 0; req.Target == "" || all["a"].broker.Scheduler(&req) != "scheduler"; i++ {
			req.Target = "t" + strconv.Itoa(i)
		}
		all["a"].roster.Replace(time.Now(), []*roster.Target{{ID: req.Target, Started: 1, Service: "s", Zone: "z", Slots: 1}}, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := all["a"].broker.Acquire(ctx, req)
		cancel()
		assert.Assert(t, err != nil)
		first = append(first, <-seen)
	}
	assert.Assert(t, first[0] != first[1])
}

// Guards against requests that wait for a thin instance, which the sender takes for a hub: it
// must say at once that it schedules nothing.
func TestThinInstanceSchedulesNothing(t *testing.T) {
	all := startInstances(t, "a", "b")
	for _, n := range all {
		n.thin.Store(true)
	}
	for _, n := range all {
		start := time.Now()
		res, err := n.broker.Acquire(t.Context(), request(20*time.Second, 60*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < time.Second)
		res.Release(schedule.Answered)
	}
}

// Guards against requests of an instance that stops, which wait for schedulers that do not reply to it.
func TestStoppingInstanceGetsReplies(t *testing.T) {
	all := startInstances(t, "a", "b")
	reached := 0
	for k := range 20 {
		id := "t" + strconv.Itoa(k)
		all["a"].roster.Replace(time.Now(), []*roster.Target{{ID: id, Started: 1, Service: "s", Zone: "z", Slots: 1}}, uint64(k+2))
		for _, n := range all {
			n.peers.SetInstances(map[string]peers.Instance{"a": all["a"].peers.Self, "b": all["b"].peers.Self})
		}
		// b has heard that a leaves.
		all["b"].peers.Remove("a")
		req := request(time.Second, time.Minute)
		req.Target = id
		if all["a"].broker.Scheduler(&req) != "b" {
			continue
		}
		reached++
		start := time.Now()
		res, err := all["a"].broker.Acquire(t.Context(), req)
		assert.NilError(t, err)
		res.Release(schedule.Answered)
		assert.Assert(t, time.Since(start) < 100*time.Millisecond, "%v", time.Since(start))
		assert.Equal(t, all["a"].broker.Scheduler(&req), "b", "it counts as responsive")
	}
	assert.Assert(t, reached > 0)
}

// Guards against a limit that is lifted by a refusal, which may not come from the target itself.
func TestOnlyAnswersLiftRateLimits(t *testing.T) {
	all := startInstances(t, "a")
	var stated []ratelimit.Statement
	all["a"].broker.OnStatement = func(_ *roster.Target, s ratelimit.Statement) { stated = append(stated, s) }
	for _, result := range []schedule.Result{schedule.Shed, schedule.Rejected, schedule.Failed, schedule.Abandoned, schedule.Unreachable, schedule.Answered} {
		before := time.Now()
		res, err := all["a"].broker.Acquire(t.Context(), request(5*time.Second, time.Minute))
		assert.NilError(t, err)
		res.Release(result)
		if result != schedule.Answered {
			assert.Equal(t, len(stated), 0, "%v", result)
			continue
		}
		assert.Assert(t, len(stated) == 1 && !stated[0].Stated && !stated[0].Sent.Before(before))
	}
	perSecond := 2.5
	res, err := all["a"].broker.Acquire(t.Context(), request(5*time.Second, time.Minute))
	assert.NilError(t, err)
	res.RateLimit = &perSecond
	res.Release(schedule.Shed)
	assert.Assert(t, stated[1].Stated && stated[1].PerSecond == perSecond)
}

// Guards against a target that gets a part of its rate limit from each instance while none receives the
// datagrams of the others: each takes all others to be unresponsive.
func TestOnlyOneInstanceReplacesSchedulerOfLimitedTarget(t *testing.T) {
	const (
		limit  = 2.0
		settle = 2 * time.Second
		window = 4 * time.Second
	)
	all := startInstances(t, "a", "b", "c", "d", "e")
	var group errgroup.Group
	var sent atomic.Int64
	for _, n := range all {
		n.dispatcher.RateLimit = func(roster.Incarnation) (float64, bool) { return limit, true }
		ignore := func(*peers.Message) {}
		n.receiveHook.Store(&ignore)
	}
	start := time.Now()
	for _, n := range all {
		group.Go(func() error {
			for time.Since(start) < settle+window {
				res, err := n.broker.Acquire(t.Context(), request(time.Second, 3*time.Second))
				if err == nil {
					if time.Since(start) > settle {
						sent.Add(1)
					}
					res.Release(schedule.Answered)
				}
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	t.Logf("%d requests in %v", sent.Load(), window)
	// The users allow one and a half times the limit and five requests more.
	assert.Check(t, float64(sent.Load()) <= 1.5*limit*window.Seconds()+5)
}

// Guards against a target that gets more than its limit while datagrams between instances are lost now and then: the
// instance that replaces the scheduler each time has saved what it has not used.
func TestBriefReplacementsOfSchedulerKeepLimit(t *testing.T) {
	const (
		limit  = 2.0
		window = 4 * time.Second
		burst  = 2
		runFor = 14 * time.Second
		period = 1750 * time.Millisecond
		lost   = 250 * time.Millisecond
	)
	all := startInstances(t, "a", "b", "c", "d")
	var group errgroup.Group
	var mu sync.Mutex
	var sent []time.Time
	start := time.Now()
	for _, n := range all {
		n.dispatcher.RateLimit = func(roster.Incarnation) (float64, bool) { return limit, true }
		receive := func(m *peers.Message) {
			if time.Since(start)%period >= lost {
				n.broker.Receive(m)
			}
		}
		n.receiveHook.Store(&receive)
	}
	for _, n := range all {
		for range 3 {
			group.Go(func() error {
				for time.Since(start) < runFor {
					res, err := n.broker.Acquire(t.Context(), request(time.Second, 3*time.Second))
					if err == nil {
						mu.Lock()
						sent = append(sent, time.Now())
						mu.Unlock()
						res.Release(schedule.Answered)
					}
					time.Sleep(20 * time.Millisecond)
				}
				return nil
			})
		}
	}
	assert.NilError(t, group.Wait())
	most := 0
	for k, first := range sent {
		n := 0
		for _, at := range sent[k:] {
			if at.Sub(first) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("%d requests, at most %d in %v", len(sent), most, window)
	assert.Check(t, float64(most) <= limit*window.Seconds()+burst)
}

// Guards against an operator who sees why admission refuses requests only at the instance that schedules them.
func TestReasonOfRefusalReachesRequester(t *testing.T) {
	all := startInstances(t, "a", "b")
	all["a"].peers.SetInstances(map[string]peers.Instance{"a": all["a"].peers.Self, "b": {Name: "b", Zone: "z", Datagram: all["b"].peers.Self.Datagram, Cores: 1}})
	sent := schedule.BusyError{Service: "s", Wait: 700 * time.Millisecond, Queued: 3, Reason: schedule.ReasonOverload, Load: 1.25, Bound: 40 * time.Millisecond, Place: 1700 * time.Millisecond, InTime: true}
	hook := func(m *peers.Message) {
		reply := &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, WaitMs: sent.Wait.Milliseconds(), QueueLength: sent.Queued}
		reply.SetAdmission(peers.Admission{Reason: string(sent.Reason), Load: sent.Load, Bound: sent.Bound, Place: sent.Place, InTime: sent.InTime})
		all["b"].peers.Send("a", &peers.Message{ReserveResponse: reply})
	}
	all["b"].receiveHook.Store(&hook)
	_, err := all["a"].broker.Acquire(t.Context(), request(time.Second, time.Minute))
	var busy *schedule.BusyError
	assert.Assert(t, errors.As(err, &busy), "%v", err)
	assert.Equal(t, *busy, sent)
}

// Guards against large bodies that fill the link between regions, since their own region's queue is bounded although it
// could answer them in time.
func TestBoundedRequestsStayInTheirRegion(t *testing.T) {
	for _, inTime := range []bool{true, false} {
		all := startInstances(t, "a", "near", "far")
		members := map[string]peers.Instance{
			"a": all["a"].peers.Self, "near": {Name: "near", Zone: "z", Datagram: all["near"].peers.Self.Datagram, Cores: 1},
			"far": {Name: "far", Zone: "y", Datagram: all["far"].peers.Self.Datagram},
		}
		all["a"].peers.SetInstances(members)
		all["a"].roster.Replace(time.Now(), []*roster.Target{
			{ID: "t", Started: 1, Service: "s", Zone: "z", Slots: 1}, {ID: "u", Started: 1, Service: "s", Zone: "y", Slots: 1},
		}, 2)
		all["a"].broker.Placement = func() *placement.Policy {
			return &placement.Policy{Regions: map[string]string{"z": "west", "y": "east"}}
		}
		var asked atomic.Int64
		refuse := func(n *testInstance) func(*peers.Message) {
			return func(m *peers.Message) {
				if m.ReserveRequest == nil {
					return
				}
				if n == all["far"] {
					asked.Add(1)
				}
				reply := &peers.ReserveResponse{Seq: m.ReserveRequest.Seq, WaitMs: 100}
				reply.SetAdmission(peers.Admission{Reason: string(schedule.ReasonOverload), InTime: inTime})
				n.peers.Send("a", &peers.Message{ReserveResponse: reply})
			}
		}
		for _, name := range []string{"near", "far"} {
			hook := refuse(all[name])
			all[name].receiveHook.Store(&hook)
		}
		_, err := all["a"].broker.Acquire(t.Context(), request(time.Second, time.Minute))
		var busy *schedule.BusyError
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		assert.Equal(t, asked.Load() == 0, inTime)
	}
}
