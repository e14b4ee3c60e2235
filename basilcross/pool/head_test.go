package pool_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// malformedHeads are heads that RFC 9110 and RFC 9112 rule out, in which %ID% stands for the request's ID and %FRAMING% for framing, which
// is a length of 5, chunks, or nothing.
var malformedHeads = map[string]string{
	"status 000":                     "HTTP/1.1 000 OK\r\n%ID%%FRAMING%\r\n",
	"status 001":                     "HTTP/1.1 001 OK\r\n%ID%%FRAMING%\r\n",
	"status 099":                     "HTTP/1.1 099 OK\r\n%ID%%FRAMING%\r\n",
	"status 600":                     "HTTP/1.1 600 OK\r\n%ID%%FRAMING%\r\n",
	"status 999":                     "HTTP/1.1 999 OK\r\n%ID%%FRAMING%\r\n",
	"status with a sign":             "HTTP/1.1 +20 OK\r\n%ID%%FRAMING%\r\n",
	"negative status":                "HTTP/1.1 -20 OK\r\n%ID%%FRAMING%\r\n",
	"short status":                   "HTTP/1.1 20 OK\r\n%ID%%FRAMING%\r\n",
	"long status":                    "HTTP/1.1 2000 OK\r\n%ID%%FRAMING%\r\n",
	"status with a letter":           "HTTP/1.1 20O OK\r\n%ID%%FRAMING%\r\n",
	"status after two blanks":        "HTTP/1.1  200 OK\r\n%ID%%FRAMING%\r\n",
	"no status":                      "HTTP/1.1 OK\r\n%ID%%FRAMING%\r\n",
	"control byte in the reason":     "HTTP/1.1 200 O\x01K\r\n%ID%%FRAMING%\r\n",
	"another protocol":               "ICY 200 OK\r\n%ID%%FRAMING%\r\n",
	"another version":                "HTTP/2.0 200 OK\r\n%ID%%FRAMING%\r\n",
	"blank in a name":                "HTTP/1.1 200 OK\r\n%ID%X Odd: 1\r\n%FRAMING%\r\n",
	"blank behind a name":            "HTTP/1.1 200 OK\r\n%ID%X-Odd : 1\r\n%FRAMING%\r\n",
	"blank before the first name":    "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n%ID%%FRAMING%\r\n",
	"blank before a name":            "HTTP/1.1 200 OK\r\n%ID%%FRAMING%X-Even: 1\r\n X-Odd: 1\r\n\r\n",
	"tab before a name":              "HTTP/1.1 200 OK\r\n%ID%%FRAMING%X-Even: 1\r\n\tX-Odd: 1\r\n\r\n",
	"tab behind a name":              "HTTP/1.1 200 OK\r\n%ID%X-Odd\t: 1\r\n%FRAMING%\r\n",
	"control byte in a name":         "HTTP/1.1 200 OK\r\n%ID%X\x01Odd: 1\r\n%FRAMING%\r\n",
	"zero byte in a name":            "HTTP/1.1 200 OK\r\n%ID%X\x00Odd: 1\r\n%FRAMING%\r\n",
	"delete in a name":               "HTTP/1.1 200 OK\r\n%ID%X\x7fOdd: 1\r\n%FRAMING%\r\n",
	"carriage return in a name":      "HTTP/1.1 200 OK\r\n%ID%X\rOdd: 1\r\n%FRAMING%\r\n",
	"delimiter in a name":            "HTTP/1.1 200 OK\r\n%ID%X(Odd): 1\r\n%FRAMING%\r\n",
	"byte above ASCII in a name":     "HTTP/1.1 200 OK\r\n%ID%X\xe9Odd: 1\r\n%FRAMING%\r\n",
	"empty name":                     "HTTP/1.1 200 OK\r\n%ID%: 1\r\n%FRAMING%\r\n",
	"no colon":                       "HTTP/1.1 200 OK\r\n%ID%X-Odd\r\n%FRAMING%\r\n",
	"blank behind a length":          "HTTP/1.1 200 OK\r\n%ID%Content-Length : 3\r\n%FRAMING%\r\n",
	"blank in a length's name":       "HTTP/1.1 200 OK\r\n%ID%Content Length: 3\r\n%FRAMING%\r\n",
	"blank before a length":          "HTTP/1.1 200 OK\r\n%ID%%FRAMING%X-Even: 1\r\n Content-Length: 3\r\n\r\n",
	"zero byte behind a length":      "HTTP/1.1 200 OK\r\n%ID%Content-Length\x00: 3\r\n%FRAMING%\r\n",
	"blank behind an encoding":       "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding : chunked\r\n%FRAMING%\r\n",
	"blank before an encoding":       "HTTP/1.1 200 OK\r\n%ID%%FRAMING%X-Even: 1\r\n Transfer-Encoding: chunked\r\n\r\n",
	"vertical tab behind it":         "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding\x0b: chunked\r\n%FRAMING%\r\n",
	"zero byte in a value":           "HTTP/1.1 200 OK\r\n%ID%X-Odd: a\x00b\r\n%FRAMING%\r\n",
	"control byte in a value":        "HTTP/1.1 200 OK\r\n%ID%X-Odd: a\x01b\r\n%FRAMING%\r\n",
	"carriage return in a value":     "HTTP/1.1 200 OK\r\n%ID%X-Odd: a\rb\r\n%FRAMING%\r\n",
	"signed length":                  "HTTP/1.1 200 OK\r\n%ID%Content-Length: +5\r\n%FRAMING%\r\n",
	"negative length":                "HTTP/1.1 200 OK\r\n%ID%Content-Length: -5\r\n%FRAMING%\r\n",
	"empty length":                   "HTTP/1.1 200 OK\r\n%ID%Content-Length:\r\n%FRAMING%\r\n",
	"list of lengths":                "HTTP/1.1 200 OK\r\n%ID%Content-Length: 5, 3\r\n%FRAMING%\r\n",
	"length beyond all numbers":      "HTTP/1.1 200 OK\r\n%ID%Content-Length: 99999999999999999999\r\n%FRAMING%\r\n",
	"other encoding":                 "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: gzip\r\n%FRAMING%\r\n",
	"two encodings":                  "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n%FRAMING%\r\n",
	"two encodings in a line":        "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked, chunked\r\n%FRAMING%\r\n",
	"length beside an encoding":      "HTTP/1.1 200 OK\r\n%ID%Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n",
	"length behind an encoding":      "HTTP/1.1 200 OK\r\n%ID%Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n",
	"encoding of an earlier version": "HTTP/1.0 200 OK\r\n%ID%Transfer-Encoding: chunked\r\n\r\n",
	"interim with status 000":        "HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\n%ID%%FRAMING%\r\n",
	"interim with a blank in a name": "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n%ID%%FRAMING%\r\n",
}

// framings maps the fields of a framing to the body of five bytes that it frames.
var framings = map[string]string{"": "torte", "Content-Length: 5\r\n": "torte", "Transfer-Encoding: chunked\r\n": "5\r\ntorte\r\n0\r\n\r\n"}

func head(text, fields string) string {
	return strings.NewReplacer("%ID%", idHeader+": a\r\n", "%FRAMING%", fields).Replace(text)
}

// Guards against a response that is accepted though its head is none in the protocol: its status has no meaning, or a field that
// is ignored would have framed its body.
func TestMalformedHeadsAreErrors(t *testing.T) {
	for name, text := range malformedHeads {
		for fields, body := range framings {
			t.Run(name+", "+strings.TrimSpace(fields), func(t *testing.T) {
				t.Parallel()
				// After the head the body may follow in any framing, if that is ignored.
				for _, body := range []string{body, "5\r\ntorte\r\n0\r\n\r\n"} {
					content, err := doWithID(rawServer(t, head(text, fields)+body), http.MethodGet, "a")
					assert.Assert(t, err != nil, "accepted with the body %q", content)
				}
			})
		}
	}
}

// Guards against the loss of responses whose heads are unusual, but in the protocol.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"all characters of a token": "HTTP/1.1 200 OK\r\n%ID%X!#$%&'*+-.^_`|~09: 1\r\n%FRAMING%\r\n",
		"empty value":               "HTTP/1.1 200 OK\r\n%ID%X-Odd:\r\n%FRAMING%\r\n",
		"blanks around a value":     "HTTP/1.1 200 OK\r\n%ID%X-Odd: \t1 2\t \r\n%FRAMING%\r\n",
		"no blank before a value":   "HTTP/1.1 200 OK\r\n%ID%X-Odd:1:2\r\n%FRAMING%\r\n",
		"bytes above ASCII":         "HTTP/1.1 200 \xc3\x96K\r\n%ID%X-Odd: \xe9\r\n%FRAMING%\r\n",
		"folded value":              "HTTP/1.1 200 OK\r\n%ID%X-Odd: a\r\n b\r\n\tc\r\n%FRAMING%\r\n",
		"no reason":                 "HTTP/1.1 200 \r\n%ID%%FRAMING%\r\n",
		"lower case":                "HTTP/1.1 200 ok\r\n%ID%x-odd: 1\r\n%FRAMING%\r\n",
		"unknown success":           "HTTP/1.1 299 Fine\r\n%ID%%FRAMING%\r\n",
		"unknown failure":           "HTTP/1.1 599 Bad\r\n%ID%%FRAMING%\r\n",
		"unknown interim response":  "HTTP/1.1 199 Soon\r\nX-Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n%ID%%FRAMING%\r\n",
		"repeated length":           "HTTP/1.1 200 OK\r\n%ID%%FRAMING%%FRAMING%\r\n",
	} {
		for fields, body := range framings {
			if name == "repeated length" && !strings.HasPrefix(fields, "Content-Length") {
				continue
			}
			content, err := doWithID(rawServer(t, head(text, fields)+body), http.MethodGet, "a")
			assert.NilError(t, err, name)
			assert.Equal(t, content, "torte", name)
		}
	}
}
