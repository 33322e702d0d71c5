package relay

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
)

// hopByHopHeaders apply to a single connection (RFC 9110, 7.6.1) or are set by
// the HTTP client.
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeader returns a copy of the caller's end-to-end headers.
func endToEndHeader(rct *app.RequestContext) http.Header {
	hdr := make(http.Header, 16)
	var named []string
	rct.Request.Header.VisitAll(func(name, value []byte) {
		key := http.CanonicalHeaderKey(string(name))
		if key == "Connection" {
			named = append(named, strings.Split(string(value), ",")...)
		}
		hdr[key] = append(hdr[key], string(value))
	})
	removeHopByHop(hdr, named)
	if _, ok := hdr["User-Agent"]; !ok {
		// Keeps net/http from adding its default.
		hdr["User-Agent"] = []string{""}
	}
	return hdr
}

// removeHopByHop removes the hop-by-hop headers, those that the Connection
// header lists in named included.
func removeHopByHop(hdr http.Header, named []string) {
	for _, name := range named {
		hdr.Del(strings.TrimSpace(name))
	}
	for name := range hdr {
		if slices.Contains(hopByHopHeaders, name) {
			delete(hdr, name)
		}
	}
}
