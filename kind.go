package mustardramp

import (
	"net/http"

	"github.com/zeebo/errs"
)

// RefusalKind names a reason for which the fleet refuses or fails a request.
type RefusalKind uint8

// The kinds of refusal.
const (
	KindUnknown RefusalKind = iota
	// KindMalformed is a request that breaks the rules of HTTP framing.
	KindMalformed
	// KindTooLarge is a request whose headers exceed a limit.
	KindTooLarge
	// KindNoService is a request for a host that no contract names.
	KindNoService
	// KindNoRoute is a request that no route of the contract matches.
	KindNoRoute
	// KindNoContract is a host that does not know a current configuration yet.
	KindNoContract
	// KindStopping is a host that is shutting down.
	KindStopping
	// KindNoBackend is a service without a backend that may take the request.
	KindNoBackend
	// KindQueueFull is a queue that holds no more requests of the rank.
	KindQueueFull
	// KindCallerShare is a caller that has used its share of the queue.
	KindCallerShare
	// KindDeadline is a request that cannot start before its deadline.
	KindDeadline
	// KindPressure is a service that is known to be overloaded.
	KindPressure
	// KindLink is a request that would exceed its rank's share of the link
	// between regions.
	KindLink
	// KindKeyMissing is a request without the key that its route requires.
	KindKeyMissing
	// KindKeyMismatch is a key that was used before with another request.
	KindKeyMismatch
	// KindKeyExpired is a key older than the time for which keys are kept.
	KindKeyExpired
	// KindLedger is a ledger that cannot be reached.
	KindLedger
	// KindUnsettled is a key whose earlier sending has an unknown outcome.
	KindUnsettled
	// KindInFlight is a key whose earlier sending is still under way.
	KindInFlight
	// KindAnswerGone is an operation that ran, whose answer was not kept.
	KindAnswerGone
	// KindDial is a backend that could not be reached.
	KindDial
	// KindShed is a backend that declared that it shed the request.
	KindShed
	// KindLost is a connection lost after a byte may have left.
	KindLost
	// KindTimeout is a backend that did not answer before the deadline.
	KindTimeout
	// KindCut is an answer that ended before it was whole.
	KindCut
	// KindBadAnswer is an answer that fails its own digest or framing.
	KindBadAnswer
	// KindCallerGone is a caller that went away before the answer.
	KindCallerGone
	// KindBodyTooLarge is a request whose body exceeds a limit.
	KindBodyTooLarge
	// KindCount is the number of kinds.
	KindCount
)

type kindInfo struct {
	name   string
	status int
}

var kinds = [KindCount]kindInfo{
	KindUnknown:     {"unknown", http.StatusInternalServerError},
	KindMalformed:   {"malformed", http.StatusBadRequest},
	KindTooLarge:    {"too-large", http.StatusRequestHeaderFieldsTooLarge},
	KindNoService:   {"no-service", http.StatusMisdirectedRequest},
	KindNoRoute:     {"no-route", http.StatusNotFound},
	KindNoContract:  {"no-contract", http.StatusServiceUnavailable},
	KindStopping:    {"stopping", http.StatusServiceUnavailable},
	KindNoBackend:   {"no-backend", http.StatusServiceUnavailable},
	KindQueueFull:   {"queue-full", http.StatusTooManyRequests},
	KindCallerShare: {"caller-share", http.StatusTooManyRequests},
	KindDeadline:    {"deadline", http.StatusServiceUnavailable},
	KindPressure:    {"pressure", http.StatusTooManyRequests},
	KindLink:        {"link", http.StatusServiceUnavailable},
	KindKeyMissing:  {"key-missing", http.StatusBadRequest},
	KindKeyMismatch: {"key-mismatch", http.StatusUnprocessableEntity},
	KindKeyExpired:  {"key-expired", http.StatusUnprocessableEntity},
	KindLedger:      {"ledger", http.StatusServiceUnavailable},
	KindUnsettled:   {"unsettled", http.StatusConflict},
	KindInFlight:    {"in-flight", http.StatusConflict},
	KindAnswerGone:  {"answer-gone", http.StatusConflict},
	KindDial:        {"dial", http.StatusBadGateway},
	KindShed:        {"shed", http.StatusServiceUnavailable},
	KindLost:        {"lost", http.StatusBadGateway},
	KindTimeout:     {"timeout", http.StatusGatewayTimeout},
	KindCut:         {"cut", http.StatusBadGateway},
	KindBadAnswer:   {"bad-answer", http.StatusBadGateway},
	KindCallerGone:  {"caller-gone", http.StatusBadRequest},

	KindBodyTooLarge: {"body-too-large", http.StatusRequestEntityTooLarge},
}

// ErrKind is the class of errors for a name that is not a kind of refusal.
var ErrKind = errs.Class("refusal kind")

// String returns the kind's name as it stands in headers and logs.
func (k RefusalKind) String() string {
	if k < KindCount {
		return kinds[k].name
	}
	return kinds[KindUnknown].name
}

// Status returns the HTTP status that answers a refusal of this kind.
func (k RefusalKind) Status() int {
	if k < KindCount {
		return kinds[k].status
	}
	return kinds[KindUnknown].status
}

// MarshalText encodes the kind as its name.
func (k RefusalKind) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// UnmarshalText decodes a kind from its name.
func (k *RefusalKind) UnmarshalText(text []byte) error {
	for i, info := range kinds {
		if info.name == string(text) {
			*k = RefusalKind(i)
			return nil
		}
	}
	return ErrKind.New("unknown refusal kind %q", text)
}
