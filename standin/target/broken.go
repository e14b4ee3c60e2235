package target

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"basilcross.example/basilcross/grant"
)

const (
	// breakEvery is how many requests there are to one whose response is broken.
	breakEvery = 12
	// longBody is the size of a request body, in bytes, from which on a broken response is sent before the body is read.
	longBody = 64 << 10
	// endlessTime bounds how long a response without end is sent.
	endlessTime = time.Second
)

// SetBreaking begins or ends that some responses are broken.
func (t *Target) SetBreaking(on bool) { t.breaking.Store(on) }

// breaks returns which of the broken responses the next request gets; ok is false if it gets a sound one.
func (t *Target) breaks() (kind int, ok bool) {
	if !t.breaking.Load() {
		return 0, false
	}
	n := t.broken.Add(1)
	return int(n / breakEvery), n%breakEvery == 0
}

// brokenResponses are responses to a request that has run. %HEAD% stands for the header that tells whose they are, %BODY% for the
// body, %PART% for its first half, and %LENGTH% for the length of the body.
var brokenResponses = []string{
	"HTTP/1.1 000 OK\r\n%HEAD%Content-Length: %LENGTH%\r\n\r\n%BODY%",
	"HTTP/1.1 999 OK\r\n%HEAD%Content-Length: %LENGTH%\r\n\r\n%BODY%",
	"HTTP/1.1 200 OK\r\n%HEAD%X Odd: 1\r\nContent-Length: %LENGTH%\r\n\r\n%BODY%",
	"HTTP/1.1 200 OK\r\n%HEAD%Content-Length : 7\r\n\r\n%BODY%",
	"HTTP/1.1 200 OK\r\n%HEAD%Transfer-Encoding : chunked\r\n\r\n5\r\n%PART%",
	"HTTP/1.1 200 OK\r\n%HEAD%X-Odd: 1\r\n Content-Length: 7\r\n\r\n%BODY%",
	"HTTP/1.1 200 OK\r\n%HEAD%Content-Length: %LENGTH%\r\n\r\n%PART%",
	"HTTP/1.1 200 OK\r\n%HEAD%\r\n%PART%",
	"HTTP/1.1 409 Conflict\r\n%HEAD%" + grant.RefusedHeader + ": shed\r\nContent-Length: %LENGTH%\r\n\r\n%PART%",
	"HTTP/1.1 409 Conflict\r\n%HEAD%" + grant.RefusedHeader + ": shed\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%HEAD%%ENDLESS%",
}

// receiveBody reads the body of a request. It returns false if the request needs no other response: its body was not received, or it is
// long, and its response is to be broken.
func (t *Target) receiveBody(w http.ResponseWriter, r *http.Request, breaks bool) bool {
	if breaks && (r.ContentLength < 0 || r.ContentLength > longBody) {
		t.breakEarly(w, r)
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// breakEarly sends a part of a response, without a length, before the request was read, and resets the connection.
func (t *Target) breakEarly(w http.ResponseWriter, r *http.Request) {
	t.History.AddBroken(r.Header.Get(RequestHeader))
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n{\"request\":", grant.AttemptHeader, r.Header.Get(grant.AttemptHeader))
	reset(c)
}

// respondBroken sends one of the broken responses, and resets the connection.
func (t *Target) respondBroken(w http.ResponseWriter, r *http.Request, body Response, kind int) {
	t.History.AddBroken(body.Request)
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer reset(c)
	response, endless := strings.CutSuffix(brokenResponses[kind%len(brokenResponses)], "%ENDLESS%")
	_, err = io.WriteString(c, strings.NewReplacer(
		"%HEAD%", fmt.Sprintf("%s: %s\r\n", grant.AttemptHeader, r.Header.Get(grant.AttemptHeader)),
		"%BODY%", string(text), "%PART%", string(text[:len(text)/2]), "%LENGTH%", fmt.Sprint(len(text)),
	).Replace(response))
	_ = c.SetWriteDeadline(time.Now().Add(endlessTime))
	for endless && err == nil {
		_, err = io.WriteString(c, strings.Repeat("a:\r\n", 1000))
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
