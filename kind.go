package mustardramp

import (
	"net/http"

	"github.com/zeebo/errs"
)

// RefusalKind classifies why the fleet refused or failed a request.
type RefusalKind uint8

// The kinds of refusal.
const (
	// KindUnknown is the zero value; it stands for a request that was not refused.
	KindUnknown RefusalKind = iota
	// KindMalformed means that the request violates HTTP framing.
	KindMalformed
	// KindTooLarge means that the request headers exceed a limit.
	KindTooLarge
	// KindNoService means that no contract names the requested Host.
	KindNoService
	// KindNoRoute means that no route of the contract matches the request.
	KindNoRoute
	// KindNoContract means that the entry host has no current configuration yet.
	KindNoContract
	// KindStopping means that the entry host is shutting down.
	KindStopping
	// KindNoBackend means that no backend of the service may take the request.
	KindNoBackend
	// KindQueueFull means that the queue has no room for requests of the rank.
	KindQueueFull
	// KindCallerShare means that the caller has used up its share of the queue.
	KindCallerShare
	// KindDeadline means that the request cannot start before its deadline.
	KindDeadline
	// KindPressure means that the service is overloaded.
	KindPressure
	// KindLink means that the request would exceed its rank's share of the link
	// between regions.
	KindLink
	// KindKeyMissing means that the request lacks the key that its route requires.
	KindKeyMissing
	// KindKeyMismatch means that the key was used before with another request.
	KindKeyMismatch
	// KindKeyExpired means that the key is older than the retention of keys.
	KindKeyExpired
	// KindLedger means that the ledger was not reached or did not confirm the
	// claim.
	KindLedger
	// KindUnsettled means that an earlier request with the key has an unknown
	// outcome.
	KindUnsettled
	// KindInFlight means that an earlier request with the key is still in flight.
	KindInFlight
	// KindAnswerNotStored means that the operation ran, but its answer was not stored.
	KindAnswerNotStored
	// KindDial means that the connection to the backend failed.
	KindDial
	// KindShed means that the backend declared that it shed the request.
	KindShed
	// KindLost means that the connection was lost when a byte of the request may
	// have been sent already.
	KindLost
	// KindTimeout means that the backend did not answer before the deadline.
	KindTimeout
	// KindTruncated means that the answer was truncated.
	KindTruncated
	// KindBadAnswer means that the answer fails its own digest or framing.
	KindBadAnswer
	// KindCallerGone means that the caller disconnected before the answer.
	KindCallerGone
	// KindBodyTooLarge means that the request body exceeds a limit.
	KindBodyTooLarge
	// KindQuiet means that every backend that may take the request wants no
	// requests of this host for now.
	KindQuiet
	// KindUnauthorized means that the request lacks the key of a workspace, or that no
	// workspace has the key.
	KindUnauthorized
	// KindQuota means that the workspace of the request has used up its quota.
	KindQuota
	// KindCount is the number of kinds, KindUnknown included.
	KindCount
)

type kindInfo struct {
	name   string
	status int
}

var kinds = [KindCount]kindInfo{
	KindUnknown:         {"unknown", http.StatusInternalServerError},
	KindMalformed:       {"malformed", http.StatusBadRequest},
	KindTooLarge:        {"too-large", http.StatusRequestHeaderFieldsTooLarge},
	KindNoService:       {"no-service", http.StatusMisdirectedRequest},
	KindNoRoute:         {"no-route", http.StatusNotFound},
	KindNoContract:      {"no-contract", http.StatusServiceUnavailable},
	KindStopping:        {"stopping", http.StatusServiceUnavailable},
	KindNoBackend:       {"no-backend", http.StatusServiceUnavailable},
	KindQueueFull:       {"queue-full", http.StatusTooManyRequests},
	KindCallerShare:     {"caller-share", http.StatusTooManyRequests},
	KindDeadline:        {"deadline", http.StatusServiceUnavailable},
	KindPressure:        {"pressure", http.StatusTooManyRequests},
	KindLink:            {"link", http.StatusServiceUnavailable},
	KindKeyMissing:      {"key-missing", http.StatusBadRequest},
	KindKeyMismatch:     {"key-mismatch", http.StatusUnprocessableEntity},
	KindKeyExpired:      {"key-expired", http.StatusUnprocessableEntity},
	KindLedger:          {"ledger", http.StatusServiceUnavailable},
	KindUnsettled:       {"unsettled", http.StatusConflict},
	KindInFlight:        {"in-flight", http.StatusConflict},
	KindAnswerNotStored: {"answer-gone", http.StatusConflict},
	KindDial:            {"dial", http.StatusBadGateway},
	KindShed:            {"shed", http.StatusServiceUnavailable},
	KindLost:            {"lost", http.StatusBadGateway},
	KindTimeout:         {"timeout", http.StatusGatewayTimeout},
	KindTruncated:       {"cut", http.StatusBadGateway},
	KindBadAnswer:       {"bad-answer", http.StatusBadGateway},
	KindCallerGone:      {"caller-gone", http.StatusBadRequest},

	KindQuiet:        {"quiet", http.StatusServiceUnavailable},
	KindUnauthorized: {"unauthorized", http.StatusUnauthorized},
	KindQuota:        {"quota", http.StatusTooManyRequests},
	KindBodyTooLarge: {"body-too-large", http.StatusRequestEntityTooLarge},
}

// ErrKind is the error class for names that are not a RefusalKind.
var ErrKind = errs.Class("refusal kind")

// String returns the name of the kind as used in headers and logs, such as
// "queue-full".
func (k RefusalKind) String() string {
	if k < KindCount {
		return kinds[k].name
	}
	return kinds[KindUnknown].name
}

// Status returns the HTTP status code of responses to requests that were refused
// for this kind.
func (k RefusalKind) Status() int {
	if k < KindCount {
		return kinds[k].status
	}
	return kinds[KindUnknown].status
}

// MarshalText encodes the kind as its name. It implements
// encoding.TextMarshaler.
func (k RefusalKind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText decodes a kind from its name. It implements
// encoding.TextUnmarshaler; the error has class ErrKind.
func (k *RefusalKind) UnmarshalText(text []byte) error {
	for i, info := range kinds {
		if info.name == string(text) {
			*k = RefusalKind(i)
			return nil
		}
	}
	return ErrKind.New("unknown refusal kind %q", text)
}
