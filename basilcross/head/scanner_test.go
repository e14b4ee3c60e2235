package head_test

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"basilcross.example/basilcross/head"
	"gotest.tools/v3/assert"
)

// scan scans a text byte by byte, and returns the length of the head, or 0 if the text has not all of it.
func scan(text []byte) (length int, err error) {
	var s head.Scanner
	for i := range text {
		if err := s.Scan(text[i : i+1]); err != nil {
			return 0, err
		}
		if s.Done() {
			return i + 1, nil
		}
	}
	return 0, nil
}

// Guards against errors that do not say what is wrong, and where.
func TestErrorsNameTheFault(t *testing.T) {
	for text, want := range map[string]head.Error{
		"HTTP/1.1 000 OK\r\n":                                                                  {Fault: "status", Text: "HTTP/1.1 000 OK", Line: 1},
		"HTTP/2.0 200 OK\r\n":                                                                  {Fault: "status line", Text: "HTTP/2.0 200 OK", Line: 1},
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n":                                                      {Fault: "field name", Text: "X ", Line: 2},
		"HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n":                                                 {Fault: "blank before a field name", Text: " B:", Line: 3},
		"HTTP/1.1 200 OK\r\nA: 1\x00\r\n":                                                      {Fault: "field value", Text: "A: 1\x00", Line: 2},
		"HTTP/1.1 200 OK\r\nA: 1\rB\r\n":                                                       {Fault: "carriage return", Text: "A: 1", Line: 2},
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTRANSFER-encoding: chunked\r\n":               {Fault: "length beside an encoding", Text: "TRANSFER-encoding:", Line: 3},
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n":                                    {Fault: "encoding in HTTP/1.0", Text: "Transfer-Encoding:", Line: 2},
		"HTTP/1.1 200 OK\r\nnonsense\r\n":                                                      {Fault: "field without a colon", Text: "nonsense", Line: 2},
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 300):                                  {Fault: "too many lines", Line: 257},
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("long", 100) + "\r\nA-very-long-name\x01: 1": {Fault: "field name", Text: "A-very-long-name\x01", Line: 3},
	} {
		_, err := scan([]byte(text))
		var got *head.Error
		assert.Assert(t, errors.As(err, &got), "%q", text)
		assert.Equal(t, *got, want, "%q", text)
	}
}

// A head that is accepted ends where net/http ends it: the bytes after it are not parsed as fields that nothing has checked.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntorte"))
	f.Add([]byte("HTTP/1.1 200 OK\nX-Folded: a\n b\n\nX: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 404 \r\nA:\r\n \r\n\t\r\nB: 1\r\n\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nX Odd: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		length, err := scan(text)
		if err != nil || length == 0 {
			return
		}
		rest := bytes.NewReader(text)
		buffered := bufio.NewReader(rest)
		res, err := http.ReadResponse(buffered, &http.Request{Method: http.MethodHead})
		if err != nil {
			return
		}
		assert.Equal(t, len(text)-rest.Len()-buffered.Buffered(), length)
		for name := range res.Header {
			assert.Assert(t, name != "" && !strings.ContainsAny(name, " \t\r\n\x00:"), "%q", name)
		}
		assert.Assert(t, res.StatusCode >= 100 && res.StatusCode <= 599)
	})
}
