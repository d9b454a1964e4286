package entry

import (
	"net"
	"net/http"

	"github.com/mustardramp/mustardramp"
)

// identifyCaller returns the name of the caller: from its verified certificate,
// else from the header of a trusted load balancer, else its address. An address
// is not stable, since it may belong to one of several load balancers.
func (h *Handler) identifyCaller(r *http.Request) (name mustardramp.CallerName, stable bool) {
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
	return mustardramp.CallerName(remoteAddress(r)), false
}

func remoteAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
