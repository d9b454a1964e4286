package admin

import (
	"context"
	"crypto/subtle"
	"net/http"

	goa "goa.design/goa/v3/pkg"
	"goa.design/goa/v3/security"
	"k8s.io/klog/v2"
)

// Named errors of the API.
const (
	errUnauthorized = "unauthorized"
	errNotFound     = "not_found"
	errInvalid      = "invalid"
	errUnavailable  = "unavailable"
)

func named(name, format string, args ...any) error {
	return goa.PermanentError(name, format, args...)
}

func absent(what string) error {
	return named(errUnavailable, "this host does not keep %s", what)
}

type certificateKey struct{}

// withCertificate notes whether the caller's certificate was verified.
func withCertificate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			r = r.WithContext(context.WithValue(r.Context(), certificateKey{}, r.TLS.PeerCertificates[0].Subject.CommonName))
		}
		next.ServeHTTP(w, r)
	})
}

// APIKeyAuth accepts the token, or a verified client certificate.
func (s *server) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if _, ok := ctx.Value(certificateKey{}).(string); ok {
		return ctx, nil
	}
	if s.Token != "" && subtle.ConstantTimeCompare([]byte(key), []byte(s.Token)) == 1 {
		return ctx, nil
	}
	return ctx, named(errUnauthorized, "the administration token is missing or wrong")
}

// audit logs a change that an operator made.
func (s *server) audit(ctx context.Context, what, who, why string, more ...any) {
	certificate, _ := ctx.Value(certificateKey{}).(string)
	values := append([]any{"what", what, "who", who, "why", why, "certificate", certificate, "host", s.Host}, more...)
	klog.InfoS("audit", values...)
}

func onError(_ context.Context, _ http.ResponseWriter, err error) {
	klog.ErrorS(err, "admin-answer-lost")
}
