package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
	"goa.design/goa/v3/security"
	"k8s.io/klog/v2"
)

// Names of errors in the design of the API.
const (
	errUnauthorized = "unauthorized"
	errNotFound     = "not_found"
	errInvalid      = "invalid"
	errUnavailable  = "unavailable"
)

// newError returns an error with one of the names above.
func newError(name, format string, args ...any) error {
	return goa.PermanentError(name, format, args...)
}

// unavailableError returns the error for a data source that this host lacks.
func unavailableError(what string) error {
	return newError(errUnavailable, "this host does not keep %s", what)
}

// certificateKey is the context key of the common name of a verified client
// certificate.
type certificateKey struct{}

// withCertificate adds the common name of a verified client certificate to the
// context of the request.
func withCertificate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			r = r.WithContext(context.WithValue(r.Context(), certificateKey{}, r.TLS.PeerCertificates[0].Subject.CommonName))
		}
		next.ServeHTTP(w, r)
	})
}

// APIKeyAuth accepts a request that has a verified client certificate or the token.
func (s *server) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	if _, ok := ctx.Value(certificateKey{}).(string); ok {
		return ctx, nil
	}
	if s.Token != "" && subtle.ConstantTimeCompare([]byte(key), []byte(s.Token)) == 1 {
		return ctx, nil
	}
	return ctx, newError(errUnauthorized, "the administration token is missing or wrong")
}

// requireCredentials returns a handler that refuses requests with a body but without a
// client certificate or the token before the body is read. The generated code decodes a
// body of up to MaxBody before it calls APIKeyAuth.
func (s *server) requireCredentials(next http.Handler) http.Handler {
	refuse := goahttp.ErrorEncoder(goahttp.ResponseEncoder, unauthorizedStatus)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		key := r.Header.Get("Authorization")
		if _, token, found := strings.Cut(key, " "); found {
			key = token
		}
		if _, err := s.APIKeyAuth(r.Context(), key, nil); err != nil {
			w.Header().Set("Connection", "close")
			w.Header().Set("Goa-Error", errUnauthorized)
			if err := refuse(r.Context(), w, err); err != nil {
				logEncodeError(r.Context(), w, err)
			}
			return
		}
		next.ServeHTTP(w, r)
	})
}

// unauthorized is the body of a refusal with status 401.
type unauthorized struct{ *goahttp.ErrorResponse }

// StatusCode implements goahttp.Statuser.
func (unauthorized) StatusCode() int { return http.StatusUnauthorized }

func unauthorizedStatus(ctx context.Context, err error) goahttp.Statuser {
	response, _ := goahttp.NewErrorResponse(ctx, err).(*goahttp.ErrorResponse)
	return unauthorized{response}
}

// audit logs a change that an operator made.
func (s *server) audit(ctx context.Context, action, who, why string, more ...any) {
	certificate, _ := ctx.Value(certificateKey{}).(string)
	values := append([]any{"what", action, "who", who, "why", why, "certificate", certificate, "host", s.Host}, more...)
	klog.InfoS("audit", values...)
}

// logEncodeError logs an answer that could not be written.
func logEncodeError(_ context.Context, _ http.ResponseWriter, err error) {
	klog.ErrorS(err, "admin-response-failed")
}
