// Package hop removes the headers that concern one connection only.
package hop

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the hop-by-hop headers of RFC 9110, 7.6.1.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Remove deletes the hop-by-hop headers, and those that the message names as such.
func Remove(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
