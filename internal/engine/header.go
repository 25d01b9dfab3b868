package engine

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns the fields of a header that a proxy forwards: all but hop-by-hop fields, those named in
// Connection and the excluded ones.
func EndToEndHeader(header http.Header, exclude ...string) http.Header {
	forwarded := header.Clone()
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for _, name := range exclude {
		forwarded.Del(name)
	}
	return forwarded
}
