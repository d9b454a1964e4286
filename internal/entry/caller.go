package entry

import (
	"net"
	"net/http"

	"github.com/mustardramp/mustardramp"
)

// callerOf names the caller: by its verified certificate, else by the header
// of a trusted balancer, else by its address. An address is not steady: it may
// be that of one of several balancers.
func (h *Handler) callerOf(r *http.Request) (name mustardramp.CallerName, steady bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if name := r.TLS.PeerCertificates[0].Subject.CommonName; name != "" {
			return mustardramp.CallerName(name), true
		}
	}
	if h.config.CallerHeader != "" {
		if name := r.Header.Get(h.config.CallerHeader); name != "" {
			return mustardramp.CallerName(name), true
		}
	}
	return mustardramp.CallerName(addressOf(r)), false
}

func addressOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
