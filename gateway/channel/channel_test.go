package channel_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/gateway/channel"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

func newSet() *channel.Set { return &channel.Set{Dial: (&net.Dialer{}).DialContext} }

func call(t *testing.T, c *channel.Channel) string {
	t.Helper()
	res, err := c.Client().Post("http://"+c.Address+"/", "text/plain", strings.NewReader("x"))
	assert.NilError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(text)
}

// startServer answers with a name at an address; the zero port takes any.
func startServer(t *testing.T, name, address string) (string, *http.Server) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, name)
	})}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(l) })
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), s
}

// Another process comes to the address. The number of a channel to the one
// before never leads to it: the channel is lost, though the address answers.
func TestChannelNumberNeverReachesAnotherProcess(t *testing.T) {
	ctx := context.Background()
	set := newSet()
	defer set.Close()
	address, first := startServer(t, "first", "127.0.0.1:0")
	c, err := set.Acquire(ctx, address, 0)
	assert.NilError(t, err)
	assert.Equal(t, call(t, c), "first")
	c.Release()
	again, err := set.Acquire(ctx, address, c.Number)
	assert.NilError(t, err)
	assert.Equal(t, call(t, again), "first")
	again.Release()
	assert.NilError(t, first.Close())
	startServer(t, "second", address)
	var lost *channel.ClosedError
	for end := time.Now().Add(5 * time.Second); !errors.As(err, &lost); {
		assert.Assert(t, time.Now().Before(end))
		if again, err = set.Acquire(ctx, address, c.Number); err == nil {
			// Its end was not noticed yet: the call fails, on this channel.
			_, err := again.Client().Get("http://" + address)
			assert.Assert(t, err != nil)
			again.Release()
		}
	}
	assert.Equal(t, lost.Number, c.Number)
	next, err := set.Acquire(ctx, address, 0)
	assert.NilError(t, err)
	assert.Assert(t, next.Number != c.Number)
	assert.Equal(t, call(t, next), "second")
	next.Release()
}

// A call is given up. Its answer may come later, so the channel is closed, and
// who waits for it is told.
func TestTimedOutCallClosesChannel(t *testing.T) {
	hang := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang }))
	defer server.Close()
	defer close(hang)
	address := strings.TrimPrefix(server.URL, "http://")
	set := newSet()
	defer set.Close()
	c, err := set.Acquire(context.Background(), address, 0)
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		_, err := set.Acquire(context.Background(), address, c.Number)
		return err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("x"))
	assert.NilError(t, err)
	_, err = c.Client().Do(r)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	c.Release()
	var lost *channel.ClosedError
	assert.Assert(t, errors.As(group.Wait(), &lost))
}

// Forty calls to one address come at once, and nothing is open yet, as at the
// beginning of a coordinator's term. They share a few connections, one at a time
// on each: a target takes a limited number from all callers.
func TestConcurrentCallsShareFewChannels(t *testing.T) {
	var now, most atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		n := now.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		time.Sleep(5 * time.Millisecond)
		now.Add(-1)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	set := newSet()
	defer set.Close()
	var numbers sync.Map
	var group errgroup.Group
	for range 40 {
		group.Go(func() error {
			c, err := set.Acquire(context.Background(), address, 0)
			if err != nil {
				return err
			}
			defer c.Release()
			numbers.Store(c.Number, true)
			res, err := c.Client().Get(server.URL)
			if err != nil {
				return err
			}
			return res.Body.Close()
		})
	}
	assert.NilError(t, group.Wait())
	used := 0
	numbers.Range(func(any, any) bool {
		used++
		return true
	})
	assert.Assert(t, used > 1 && used <= 3, "%d", used)
	assert.Assert(t, most.Load() <= int64(used))
}

// The other end says that it closes the connection. Whoever takes the channel
// next is told before a call, not by a call whose outcome is unknown.
func TestConnectionCloseResponseClosesChannel(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	}))
	defer server.Close()
	set := newSet()
	defer set.Close()
	for range 50 {
		c, err := set.Acquire(context.Background(), strings.TrimPrefix(server.URL, "http://"), 0)
		assert.NilError(t, err)
		call(t, c)
		c.Release()
		var lost *channel.ClosedError
		_, err = set.Acquire(context.Background(), c.Address, c.Number)
		assert.Assert(t, errors.As(err, &lost), "%v", err)
	}
}

// The set is closed while a connection is opened: nothing of it stays open.
func TestSetCloseDuringDial(t *testing.T) {
	address, _ := startServer(t, "one", "127.0.0.1:0")
	dialing, goOn := make(chan struct{}), make(chan struct{})
	set := &channel.Set{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		<-goOn
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	var group errgroup.Group
	group.Go(func() error {
		_, err := set.Acquire(context.Background(), address, 0)
		return err
	})
	<-dialing
	set.Close()
	close(goOn)
	var lost *channel.ClosedError
	assert.Assert(t, errors.As(group.Wait(), &lost))
}

func TestAcquireStopsWithContext(t *testing.T) {
	address, _ := startServer(t, "one", "127.0.0.1:0")
	set := newSet()
	defer set.Close()
	c, err := set.Acquire(context.Background(), address, 0)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = set.Acquire(ctx, address, c.Number)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded))
	c.Release()
	c, err = set.Acquire(context.Background(), address, c.Number)
	assert.NilError(t, err)
	c.Release()
	_, err = set.Acquire(context.Background(), address, 99)
	assert.ErrorContains(t, err, "channel 99")
}

func TestDialErrorReachesAllWaiters(t *testing.T) {
	set := newSet()
	// Also those that wait for another one's connection hear that.
	var group errgroup.Group
	for range 20 {
		group.Go(func() error {
			_, err := set.Acquire(context.Background(), "127.0.0.1:1", 0)
			var op *net.OpError
			if !errors.As(err, &op) || op.Op != "dial" {
				return fmt.Errorf("want a failed dial: %w", err)
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
}
