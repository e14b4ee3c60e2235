// Package hopheader removes hop-by-hop headers, which a proxy must not forward.
package hopheader

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are those of RFC 9110, section 7.6.1.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Remove deletes the hop-by-hop headers and those that the Connection header lists.
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
