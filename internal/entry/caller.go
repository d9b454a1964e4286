package entry

import (
	"net"
	"net/http"

	"github.com/mustardramp/mustardramp"
)

// callerOf names the caller: by its verified certificate, else by the header
// of a trusted balancer, else by its address.
func (h *Handler) callerOf(r *http.Request) mustardramp.CallerName {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if name := r.TLS.PeerCertificates[0].Subject.CommonName; name != "" {
			return mustardramp.CallerName(name)
		}
	}
	if h.config.CallerHeader != "" {
		if name := r.Header.Get(h.config.CallerHeader); name != "" {
			return mustardramp.CallerName(name)
		}
	}
	return mustardramp.CallerName(addressOf(r))
}

func addressOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
