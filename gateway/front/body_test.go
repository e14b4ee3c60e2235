package front_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilcross.example/basilcross/bodybudget"
	"basilcross.example/gateway/front"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// memoryBudget is what an instance with 184 MB lets bodies take.
const memoryBudget = 46 << 20

// withBodyBudget returns a fixture that accepts bodies of up to 64 MB, and its limit on held bytes.
func withBodyBudget(t *testing.T, limit int64) (*fixture, *bodybudget.Budget) {
	t.Helper()
	f := newFixture(t)
	f.setRoutes(20 * time.Second)
	config := *f.table.Load().Config
	config.Limits.BodyBytes = 64 << 20
	f.setConfig(&config)
	f.front.Bodies = &bodybudget.Budget{Bytes: limit}
	return f, f.front.Bodies
}

// caller is a caller's connection.
type caller struct {
	*bufio.Reader
	net.Conn
}

func (c *caller) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// dial opens a connection and sends the head of an upload. length is the value of Content-Length; if it
// is negative, the body is chunked.
func (f *fixture) dial(length int, headers ...string) *caller {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	assert.NilError(f.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	framing := "Content-Length: " + strconv.Itoa(length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	head := append([]string{
		"POST /plan/x HTTP/1.1", "Host: cakes.example", platform.TimeLeft + ": 15000", framing,
	}, headers...)
	_, err = io.WriteString(conn, strings.Join(head, "\r\n")+"\r\n\r\n")
	assert.NilError(f.t, err)
	return &caller{bufio.NewReader(conn), conn}
}

// response reads the response, and its body.
func (c *caller) response(t *testing.T) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(c.Reader, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res, string(text)
}

// refused reads a response that must be a refusal for the limit on held bytes.
func (c *caller) refused(t *testing.T) {
	t.Helper()
	res, text := c.response(t)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	assert.Equal(t, text, `{"cause":"bodyBudget"}`)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	assert.Assert(t, res.Close)
}

func awaitHeld(t *testing.T, b *bodybudget.Budget, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := b.Held(); held != want {
			return poll.Continue("%d bytes held, want %d", held, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
}

// upload sends a body until it is served, and waits before each retry as the refusal says.
func (f *fixture) upload(body []byte, refusals *atomic.Int64) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 50 {
		r, err := http.NewRequest(http.MethodPost, f.server.URL+"/plan/x", bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Host = "cakes.example"
		r.Header.Set(platform.TimeLeft, "15000")
		res, err := client.Do(r)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil {
			return err
		}
		if res.StatusCode == http.StatusOK {
			if want := fmt.Sprintf("%d bytes", len(body)); string(text) != want {
				return fmt.Errorf("answered %q, want %q", text, want)
			}
			return nil
		}
		seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if res.StatusCode != http.StatusServiceUnavailable || err != nil {
			return fmt.Errorf("status %d, Retry-After %q: %s", res.StatusCode, res.Header.Get("Retry-After"), text)
		}
		refusals.Add(1)
		time.Sleep(time.Duration(seconds * float64(time.Second)))
	}
	return fmt.Errorf("refused %d times", refusals.Load())
}

// uploadAll sends uploads at the same time, and returns how many refusals there are. The channel is closed
// once all were served.
func (f *fixture) uploadAll(count, size int) (refusals *atomic.Int64, served chan struct{}) {
	f.t.Helper()
	body := make([]byte, size)
	refusals, served = &atomic.Int64{}, make(chan struct{})
	var callers sync.WaitGroup
	for range count {
		callers.Go(func() {
			if err := f.upload(body, refusals); err != nil {
				f.t.Error(err)
			}
		})
	}
	go func() { callers.Wait(); close(served) }()
	return refusals, served
}

// heapInUse returns the size of the heap without garbage.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// settledHeap returns the size of the heap once what earlier tests have left is freed.
func settledHeap() int64 {
	for last := heapInUse(); ; {
		time.Sleep(50 * time.Millisecond)
		now := heapInUse()
		if last-now < 64<<10 {
			return now
		}
		last = now
	}
}

// readingTarget reads each request's body, waits for the channel to be closed, and answers.
func readingTarget(release <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if release != nil {
			<-release
		}
		w.Header().Set(platform.Signature, "s")
		fmt.Fprintf(w, "%d bytes", n)
	})
}

// Guards against uploads that take the memory of the instance, and against uploads that are refused for
// good: 60 of 2 MB at once took a heap from 5 to 480 MB in a process of four instances.
func TestUploadsAtOnceStayWithinTheMemory(t *testing.T) {
	f, bodies := withBodyBudget(t, memoryBudget)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	f.startTarget("t", readingTarget(release))
	before := settledHeap()
	const count, size = 60, 2_000_000
	refusals, served := f.uploadAll(count, size)
	const fit = memoryBudget * 7 / 8 / size
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := bodies.Held(); held < fit*size || refusals.Load() < count-fit {
			return poll.Continue("%d bytes held, %d refusals", held, refusals.Load())
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.Assert(t, bodies.Held() <= memoryBudget)
	growth := int64(0)
	for range 20 {
		growth = max(growth, heapInUse()-before)
		time.Sleep(10 * time.Millisecond)
	}
	// What connections and the callers of the test take.
	const besides = 16 << 20
	assert.Assert(t, growth > fit*size*9/10, "the bodies are not held yet: %d", growth)
	assert.Assert(t, growth < memoryBudget+besides, "%d", growth)
	end()
	<-served
	t.Logf("%d uploads were served after %d refusals, the heap grew by %d KiB", count, refusals.Load(), growth>>10)
	awaitHeld(t, bodies, 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left := heapInUse() - before; left > besides/2 {
			return poll.Continue("%d bytes more than before", left)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// Guards against a body that is larger than the budget and is never served, or beside others.
func TestBodyAboveTheBudgetIsServedAlone(t *testing.T) {
	f, bodies := withBodyBudget(t, 1<<20)
	f.startTarget("t", readingTarget(nil))
	first := f.dial(3 << 20)
	awaitHeld(t, bodies, 3<<20)
	f.dial(3 << 20).refused(t)
	f.dial(100 << 10).refused(t)
	_, err := first.Write(make([]byte, 3<<20))
	assert.NilError(t, err)
	_, text := first.response(t)
	assert.Equal(t, text, fmt.Sprintf("%d bytes", 3<<20))
	awaitHeld(t, bodies, 0)
	refusals, served := f.uploadAll(4, 3<<20)
	<-served
	t.Logf("4 uploads above the budget were served after %d refusals", refusals.Load())
	awaitHeld(t, bodies, 0)
}

// Guards against memory that is taken by what a caller states, against small requests that are refused
// because of large ones, and against the share of a caller that has left.
func TestCallerThatStatesMuchAndSendsNothing(t *testing.T) {
	f, bodies := withBodyBudget(t, memoryBudget)
	f.startTarget("t", readingTarget(nil))
	var refusals atomic.Int64
	assert.NilError(t, f.upload(nil, &refusals))
	before := heapInUse()
	idle := f.dial(60 << 20)
	awaitHeld(t, bodies, 60<<20)
	assert.Assert(t, heapInUse()-before < 1<<20)
	f.dial(100 << 10).refused(t)
	for _, size := range []int{0, 1, 4 << 10, bodybudget.SmallBody} {
		assert.NilError(t, f.upload(make([]byte, size), &refusals))
	}
	assert.NilError(t, idle.Close())
	awaitHeld(t, bodies, 0)
	assert.NilError(t, f.upload(make([]byte, 1<<20), &refusals))
	assert.Equal(t, refusals.Load(), int64(0))
}

// Guards against slow senders that keep others out, and against those that lose their share although
// there is room for all.
func TestSlowSendersLoseTheirSharesWhileOthersAreRefused(t *testing.T) {
	t.Parallel()
	f, bodies := withBodyBudget(t, 4<<20)
	f.startTarget("t", readingTarget(nil))
	first := f.dial(1 << 20)
	awaitHeld(t, bodies, 1<<20)
	time.Sleep(bodybudget.StallTime + 200*time.Millisecond)
	assert.Equal(t, bodies.Held(), int64(1<<20))
	slow := []*caller{first, f.dial(1 << 20), f.dial(1 << 20)}
	awaitHeld(t, bodies, 3<<20)
	var refusals atomic.Int64
	assert.NilError(t, f.upload(make([]byte, 1<<20), &refusals))
	assert.Assert(t, refusals.Load() > 0)
	stalled := 0
	for _, c := range slow {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(bodybudget.StallTime)))
		res, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			continue
		}
		text, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusRequestTimeout)
		assert.Equal(t, string(text), `{"cause":"bodyStalled"}`)
		assert.Assert(t, res.Close)
		stalled++
	}
	assert.Assert(t, stalled > 0)
	awaitHeld(t, bodies, 0)
}

// Guards against a body that is given up at the request's deadline without a response, since the read that
// times out cancels the request's context.
func TestBodyThatIsNotSentInTimeIsAnswered(t *testing.T) {
	f, bodies := withBodyBudget(t, 4<<20)
	f.setRoutes(100 * time.Millisecond)
	f.startTarget("t", readingTarget(nil))
	c := f.dial(1000)
	_, err := io.WriteString(c, "some")
	assert.NilError(t, err)
	res, text := c.response(t)
	assert.Equal(t, res.StatusCode, http.StatusRequestTimeout, text)
	awaitHeld(t, bodies, 0)
}

// Guards against chunked bodies that arrive changed, or take more than is left.
func TestChunkedBodiesReserveWhatTheyRead(t *testing.T) {
	f, bodies := withBodyBudget(t, 4<<20)
	f.startTarget("t", readingTarget(nil))
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 100_000, 900_000} {
		c := f.dial(-1)
		chunks := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 100, strings.Repeat("x", 100)), size/100)
		if rest := size % 100; rest > 0 {
			chunks += fmt.Sprintf("%x\r\n%s\r\n", rest, strings.Repeat("x", rest))
		}
		_, err := io.WriteString(c, chunks+"0\r\n\r\n")
		assert.NilError(t, err)
		_, text := c.response(t)
		assert.Equal(t, text, fmt.Sprintf("%d bytes", size))
	}
	awaitHeld(t, bodies, 0)
	// A body above a quarter does not fit beside another one.
	f.dial(100 << 10)
	awaitHeld(t, bodies, 100<<10)
	c := f.dial(-1)
	const size = 3 << 20
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	assert.NilError(t, err)
	c.refused(t)
	awaitHeld(t, bodies, 100<<10)
}

// Guards against bodies whose bytes are changed or left out while the buffer grows.
func TestBodiesArriveUnchanged(t *testing.T) {
	f, bodies := withBodyBudget(t, 40<<20)
	f.startTarget("t", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hash := sha256.New()
		_, _ = io.Copy(hash, r.Body)
		w.Header().Set(platform.Signature, "s")
		fmt.Fprintf(w, "%x", hash.Sum(nil))
	}))
	random := rand.NewChaCha8([32]byte{1})
	for _, size := range []int{1, 8191, 8192, 8193, 65536, 65537, 70_000, 600_000, 1 << 20, 4<<20 + 5} {
		body := make([]byte, size)
		_, _ = random.Read(body)
		want := fmt.Sprintf("%x", sha256.Sum256(body))
		stated := f.dial(size)
		_, err := stated.Write(body)
		assert.NilError(t, err)
		_, text := stated.response(t)
		assert.Equal(t, text, want, "%d bytes stated", size)
		chunked := f.dial(-1)
		_, err = fmt.Fprintf(chunked, "%x\r\n%s\r\n0\r\n\r\n", size, body)
		assert.NilError(t, err)
		_, text = chunked.response(t)
		assert.Equal(t, text, want, "%d bytes in chunks", size)
	}
	awaitHeld(t, bodies, 0)
}

// Guards against refusals that are lost to callers that send their whole body before they read, since
// the connection is reset, and against callers that are made to send a body that is refused.
func TestRefusalReachesCallersThatStillSend(t *testing.T) {
	f, bodies := withBodyBudget(t, 4<<20)
	f.startTarget("t", readingTarget(nil))
	f.dial(3 << 20)
	awaitHeld(t, bodies, 3<<20)
	sending := f.dial(8 << 20)
	_, err := sending.Write(make([]byte, 8<<20))
	assert.NilError(t, err)
	sending.refused(t)
	f.dial(8 << 20).refused(t)
	f.dial(8<<20, "Expect: 100-continue").refused(t)

	expecting := f.dial(100<<10, "Expect: 100-continue")
	res, err := http.ReadResponse(expecting.Reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusContinue)
	_, err = expecting.Write(make([]byte, 100<<10))
	assert.NilError(t, err)
	_, text := expecting.response(t)
	assert.Equal(t, text, fmt.Sprintf("%d bytes", 100<<10))
}

// blockedWriter is the connection of a caller that does not read until the channel is closed.
type blockedWriter struct {
	*httptest.ResponseRecorder
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.ResponseRecorder.Write(p)
}

// Guards against the share of a large body that a caller keeps by reading a short response slowly.
func TestSlowReaderKeepsOnlyWhatTheResponseTakes(t *testing.T) {
	f, bodies := withBodyBudget(t, 4<<20)
	f.startTarget("t", readingTarget(nil))
	w := &blockedWriter{httptest.NewRecorder(), make(chan struct{})}
	served := make(chan struct{})
	go func() {
		r := httptest.NewRequest(http.MethodPost, "/plan/x", bytes.NewReader(make([]byte, 1<<20)))
		r.Host = "cakes.example"
		f.front.ServeHTTP(w, r)
		close(served)
	}()
	awaitHeld(t, bodies, int64(len("1048576 bytes")))
	close(w.release)
	<-served
	assert.Equal(t, w.Body.String(), "1048576 bytes")
	assert.Equal(t, bodies.Held(), int64(0))
}

// Guards against a carried request whose body arrives slowly and keeps the share of others, and against a
// statement that it may have run.
func TestSlowCarriedBodyIsDeclined(t *testing.T) {
	t.Parallel()
	carrier, address := startCarrier(t, readingTarget(nil))
	bodies := &bodybudget.Budget{Bytes: 1 << 20}
	carrier.front.Bodies = bodies
	slow, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer slow.Close()
	assert.NilError(t, slow.SetDeadline(time.Now().Add(10*time.Second)))
	forwarded := url.Values{
		"from": {"two"}, "uri": {"/plan/x"}, "host": {"cakes.example"}, "service": {"s"}, "version": {"1"},
		"ageMs": {"1"}, "leftMs": {"10000"}, "runs": {"0"}, "counted": {"true"},
	}.Encode()
	_, err = fmt.Fprintf(slow, "POST %s HTTP/1.1\r\nHost: one\r\nContent-Length: 204800\r\nBasilcross-Forward: %s\r\n\r\n", front.ForwardPath, forwarded)
	assert.NilError(t, err)
	awaitHeld(t, bodies, 200<<10)
	_, err = bodies.Reserve(time.Now(), 900<<10, 0)
	assert.Assert(t, err != nil)
	awaitHeld(t, bodies, 0)
	res, err := http.ReadResponse(bufio.NewReader(slow), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	result, err := url.ParseQuery(res.Header.Get("Basilcross-Forward"))
	assert.NilError(t, err)
	assert.Equal(t, result.Get("mayHaveRun"), "false")
}

// Guards against the memory of an instance that carries bodies for others, and against a carried
// request that is refused although another instance could carry it.
func TestCarriedBodiesCount(t *testing.T) {
	full, fullAddress := startCarrier(t, readingTarget(nil))
	full.front.Bodies = &bodybudget.Budget{Bytes: 1 << 20}
	other, otherAddress := startCarrier(t, readingTarget(nil))
	other.front.Bodies = &bodybudget.Budget{Bytes: 1 << 20}
	taken, err := full.front.Bodies.Reserve(time.Now(), 900<<10, 0)
	assert.NilError(t, err)
	f := withoutLinks(t, fullAddress, otherAddress)
	config := *f.table.Load().Config
	config.Limits.BodyBytes = 64 << 20
	f.setConfig(&config)
	f.front.Bodies = &bodybudget.Budget{Bytes: 1 << 20}
	for range 8 {
		_, text := f.call(t.Context(), http.MethodPost, "/plan/x", strings.Repeat("x", 100<<10))
		assert.Equal(t, text, fmt.Sprintf("%d bytes", 100<<10))
	}
	both, err := other.front.Bodies.Reserve(time.Now(), 900<<10, 0)
	assert.NilError(t, err)
	res, text := f.call(t.Context(), http.MethodPost, "/plan/x", strings.Repeat("x", 100<<10))
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, text)
	assert.Assert(t, res.Header.Get("Retry-After") != "")
	taken.Release(time.Now())
	both.Release(time.Now())
	for _, b := range []*bodybudget.Budget{f.front.Bodies, full.front.Bodies, other.front.Bodies} {
		awaitHeld(t, b, 0)
	}
}
