package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/channel"
	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

// startRepeating starts a target that sends all its responses twice, the second time late.
func startRepeating(t *testing.T, h http.HandlerFunc) (address string) {
	t.Helper()
	s := &standin.Repeater{Handler: h}
	address, err := s.Start()
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return address
}

// Guards against a late second response to one release that is taken for the response to the next one: its keys are granted
// to another target while work on them is running.
func TestLateResponseToReleaseIsNotTakenForTheNext(t *testing.T) {
	var releases, ended atomic.Int64
	address := startRepeating(t, func(w http.ResponseWriter, _ *http.Request) {
		n := releases.Add(1)
		time.Sleep(50 * time.Millisecond)
		ended.Add(1)
		w.Header().Set(platform.Handover, strconv.FormatInt(n, 10))
	})
	client := NewReleaseClient((&net.Dialer{}).DialContext)
	for n := range 4 {
		handover, err := client.Release(t.Context(), address, "t", n, n, 1)
		assert.NilError(t, err)
		assert.Equal(t, handover, strconv.Itoa(n+1))
		assert.Equal(t, ended.Load(), int64(n+1))
	}
}

// newOrderSender returns a coordinator that may send orders, and its leadership.
func newOrderSender(t *testing.T, services ...string) (*Coordinator, *leadership) {
	t.Helper()
	config := &routing.Config{Version: 1}
	for _, name := range services {
		config.Services = append(config.Services, routing.Service{Name: name, Sharded: true, HealthPath: standin.HealthPath})
	}
	table := routing.New(config)
	c := &Coordinator{Options: Options{
		Channels: &channel.Set{Dial: (&net.Dialer{}).DialContext}, Roster: &roster.Roster{}, Table: func() *routing.Table { return table },
		Log: slog.New(slog.DiscardHandler),
	}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	l := newLeadership(ctx, cancel, Lease{Term: 1}, 1, 0.8)
	l.authorityEnd.Store(int64(boottime() + time.Minute))
	t.Cleanup(c.Channels.Close)
	return c, l
}

// Guards against a late second refusal of one grant that is taken for the response to the next one: keys that the
// target holds count as not granted, and are granted to another one.
func TestLateRefusalOfGrantProvesNothing(t *testing.T) {
	for name, status := range map[string]int{"stale epoch": http.StatusConflict, "not executed": http.StatusBadRequest} {
		t.Run(name, func(t *testing.T) {
			var grants atomic.Int64
			address := startRepeating(t, func(w http.ResponseWriter, _ *http.Request) {
				if grants.Add(1) == 1 {
					w.WriteHeader(status)
				}
			})
			c, l := newOrderSender(t, "lists")
			order := &ownership.Grant{Last: 9, Epoch: 1, Hold: time.Second, Owner: roster.Incarnation{ID: "t"}, Address: address}
			_, err := c.sendGrant(l, "lists", order)
			assert.Assert(t, isRefusal(err) && orderOutcome(err) != ownership.Unknown, "%v", err)
			_, err = c.sendGrant(l, "lists", order)
			assert.Equal(t, orderOutcome(err), ownership.Unknown, "%v", err)
			_, err = c.sendGrant(l, "lists", order)
			assert.Equal(t, orderOutcome(err), ownership.ChannelClosed, "%v", err)
		})
	}
}

// Guards against a late response to a grant that is taken for that to the health check after it, so that the check's
// response is taken for that to the next grant.
func TestTargetIsVerifiedByFirstResponseOnly(t *testing.T) {
	var checks atomic.Int64
	address := startRepeating(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == standin.HealthPath {
			checks.Add(1)
			w.Header().Set(platform.AnsweringTarget, "t")
		}
	})
	c, l := newOrderSender(t, "lists")
	order := &ownership.Grant{Last: 9, Epoch: 1, Hold: time.Second, Owner: roster.Incarnation{ID: "t"}, Address: address}
	_, err := c.sendGrant(l, "lists", order)
	assert.NilError(t, err)
	both, _ := newOrderSender(t, "lists", "others")
	c.Table = both.Table
	_, err = c.sendGrant(l, "lists", order)
	assert.Equal(t, orderOutcome(err), ownership.ChannelClosed, "%v", err)
	assert.Equal(t, checks.Load(), int64(0))
	order.Channel = 0
	_, err = c.sendGrant(l, "lists", order)
	var wrong *wrongTargetError
	assert.Assert(t, !errors.As(err, &wrong), "%v", err)
	assert.Equal(t, checks.Load(), int64(1))
}
