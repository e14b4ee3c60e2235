package coordinator

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"basilcross.example/platform"
	"basilcross.example/platform/standin"
	"gotest.tools/v3/assert"
)

func TestLeaseIsOver(t *testing.T) {
	const since = 100 * time.Second
	held := lease{Term: 3, Holder: "one", Life: "a", LeaseMs: 2000}
	for _, c := range []struct {
		name string
		seen seenLease
		now  time.Duration
		want bool
	}{
		{"nothing is known yet", seenLease{}, since + time.Hour, false},
		{"nobody has had it", seenLease{known: true, since: since}, since, true},
		{"within its time", seenLease{known: true, revision: 7, lease: held, since: since}, since + 2*time.Second, false},
		{"a clock may run slower", seenLease{known: true, revision: 7, lease: held, since: since}, since + 2050*time.Millisecond, false},
		{"past its time", seenLease{known: true, revision: 7, lease: held, since: since}, since + 2200*time.Millisecond, true},
		{"given up", seenLease{known: true, revision: 7, lease: lease{Term: 3, Holder: "one"}, since: since}, since, true},
		{"another lifetime of this instance", seenLease{known: true, revision: 7, lease: lease{Term: 3, Holder: "me", Life: "old", LeaseMs: 2000}, since: since}, since, true},
		{"this lifetime's own", seenLease{known: true, revision: 7, lease: lease{Term: 3, Holder: "me", Life: "new", LeaseMs: 2000}, since: since}, since, false},
	} {
		assert.Equal(t, c.seen.over(c.now, "me", "new"), c.want, c.name)
	}
}

func withStore(t *testing.T) (*standin.Store, *Coordinator) {
	t.Helper()
	fake := &standin.Store{}
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	return fake, New(Options{
		Store: &platform.Store{Address: strings.TrimPrefix(server.URL, "http://"), HTTP: server.Client()},
		Log:   slog.New(slog.DiscardHandler),
	})
}

// The write of the lease takes effect and its answer is lost. Sent again, its
// condition fails; the row's own number shows that it was this write.
func TestLostAnswerIsSettled(t *testing.T) {
	fake, c := withStore(t)
	fake.LoseAnswers(1)
	mine := lease{Term: 1, Holder: "one", Life: "a", LeaseMs: 2000, Seq: 1}
	s := c.write(context.Background(), &mine, 0, nil)
	assert.Assert(t, s.ok)
	assert.Equal(t, s.revision, fake.Row(LeaseTable, leaseKey).Revision)
}

// Another instance has taken the lease meanwhile. The write must fail whole,
// the assignment included.
func TestWriteFailsIfAnotherLeads(t *testing.T) {
	fake, c := withStore(t)
	other := lease{Term: 2, Holder: "two", Life: "b", LeaseMs: 2000, Seq: 1}
	fake.Put(LeaseTable, leaseKey, other.encode())
	mine := lease{Term: 1, Holder: "one", Life: "a", LeaseMs: 2000, Seq: 9}
	s := c.write(context.Background(), &mine, 0, []platform.Write{{Table: AssignmentTable, Key: "s", Value: []byte("x")}})
	assert.Assert(t, !s.ok)
	assert.Equal(t, s.present, other)
	assert.Equal(t, fake.Row(AssignmentTable, "s").Revision, uint64(0))
}

func TestBoottimeGoesOn(t *testing.T) {
	first := boottime()
	assert.Assert(t, first > 0)
	assert.Assert(t, boottime() >= first)
}
