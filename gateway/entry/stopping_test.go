package entry_test

import (
	"net/http"
	"testing"
	"time"

	"basilcross.example/basilcross/refusal"
	"gotest.tools/v3/assert"
)

// Guards against a request that arrives late while the instance stops, is sent to a target, and is cut off at the end.
func TestLateRequestIsRefusedUnlessItEndsInTime(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(echo, true)
	now := time.Now()
	f.front.RefuseLate(now.Add(time.Hour), now.Add(time.Hour))
	res, content := f.do(http.MethodPost, "/menus/entry/graz-7", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, content)
	f.front.RefuseLate(now, now.Add(time.Hour))
	res, content = f.do(http.MethodPost, "/menus/entry/graz-7", "")
	assert.Equal(t, res.StatusCode, http.StatusOK, content)
	f.front.RefuseLate(now, time.Now().Add(500*time.Millisecond))
	res, content = f.do(http.MethodPost, "/menus/entry/graz-7", "")
	f.wantRefusal(res, content, refusal.Stopping, refusal.DidNotRun)
}

// Guards against a closed connection, instead of a refusal, for requests that targets still work on when the process exits.
func TestAbortAnswersOpenRequests(t *testing.T) {
	f := newFixture(t)
	f.configure()
	f.assign(func(_ http.ResponseWriter, r *http.Request) {
		f.front.Abort()
		<-r.Context().Done()
	}, true)
	res, content := f.do(http.MethodPost, "/menus/entry/graz-7", "")
	f.wantRefusal(res, content, refusal.AnswerCut, refusal.Unknown)
}
