// Package announcement handles the announcements of backend servers: their
// addresses, their capacity and whether they take new work.
package announcement

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/roster"
	"github.com/mustardramp/mustardramp/pkg/announce"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// MaxSize is the maximum size of an announcement in bytes.
const MaxSize = 16 << 10

// Bounds of the lease that an announcement asks for.
const (
	MinLease = time.Second
	MaxLease = 5 * time.Minute
)

// Roster records the announcements of backends.
type Roster interface {
	// Announce records a checked announcement for the time of its lease.
	Announce(now time.Time, b mustardramp.Backend, lease time.Duration) error
}

// Config holds the settings of a Handler. Roster and Contracts are required.
type Config struct {
	Roster Roster
	// Contracts returns the contracts in force, or nil before they are known.
	Contracts func() *contract.Set
	// Clock defaults to the machine's clock.
	Clock mustardramp.Clock
	// Tokens lists the bearer tokens that authenticate backends; empty ones are
	// ignored. With none, no token is required. Two tokens are valid while one
	// replaces the other.
	Tokens []string
	// Zones maps each zone of the fleet to its region. If it is empty, any zone is
	// accepted.
	Zones map[mustardramp.Zone]mustardramp.Region
}

// Handler is an http.Handler that serves announce.Path.
type Handler struct {
	config Config
}

// New returns a handler.
func New(config Config) *Handler {
	if config.Clock == nil {
		config.Clock = mustardramp.SystemClock{}
	}
	config.Tokens = slices.DeleteFunc(slices.Clone(config.Tokens), func(t string) bool { return t == "" })
	return &Handler{config: config}
}

// ServeHTTP handles one announcement.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if problem := h.accept(w, r); problem != nil {
		writeProblem(w, r, problem)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// accept registers the announcement of a request, or returns why it is refused.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request) *announce.Problem {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return newProblem(http.StatusMethodNotAllowed, "announcements are sent by POST")
	}
	if !h.hasValidToken(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return newProblem(http.StatusUnauthorized, "the bearer token is missing or wrong")
	}
	a, problem := decode(w, r)
	if problem != nil {
		return problem
	}
	return h.register(a)
}

// hasValidToken reports whether a request has one of the tokens. It compares
// digests, so that its duration reveals neither content nor length of a token.
func (h *Handler) hasValidToken(r *http.Request) bool {
	if len(h.config.Tokens) == 0 {
		return true
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	got := sha256.Sum256([]byte(token))
	match := 0
	for _, t := range h.config.Tokens {
		want := sha256.Sum256([]byte(t))
		match |= subtle.ConstantTimeCompare(got[:], want[:])
	}
	return match == 1
}

// decode decodes a request whose body is one announcement.
func decode(w http.ResponseWriter, r *http.Request) (*announce.Announcement, *announce.Problem) {
	if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != "application/json" {
		return nil, newProblem(http.StatusUnsupportedMediaType, "send application/json")
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxSize))
	decoder.DisallowUnknownFields()
	var a announce.Announcement
	if err := decoder.Decode(&a); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, newProblem(http.StatusRequestEntityTooLarge, "the announcement is longer than 16 KiB")
		}
		return nil, newProblem(http.StatusBadRequest, "not a valid announcement: "+err.Error())
	}
	if decoder.More() {
		return nil, newProblem(http.StatusBadRequest, "more than one announcement")
	}
	return &a, nil
}

// register checks an announcement against the contracts and records it in the
// roster.
func (h *Handler) register(a *announce.Announcement) *announce.Problem {
	set := h.config.Contracts()
	if set == nil {
		return newProblem(http.StatusServiceUnavailable, "the host has no current configuration yet")
	}
	if faults := h.check(a, set.Service(a.Service)); len(faults) > 0 {
		p := newProblem(http.StatusUnprocessableEntity, "the announcement has faults")
		p.Faults = faults
		return p
	}
	err := h.config.Roster.Announce(h.config.Clock.Now(), backendOf(a), a.Span())
	if err == nil {
		return nil
	}
	return newProblem(statusOf(err), err.Error())
}

// statusOf returns the HTTP status for an error of the roster: a conflict for an
// announcement out of order, unavailable for a full roster, and unprocessable for
// an announcement with a fault.
func statusOf(err error) int {
	switch {
	case roster.ErrState.Has(err), roster.ErrIncarnation.Has(err), roster.ErrSequence.Has(err):
		return http.StatusConflict
	case roster.ErrFull.Has(err):
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}

func backendOf(a *announce.Announcement) mustardramp.Backend {
	return mustardramp.Backend{
		ID:          a.ID(),
		Service:     a.Service,
		Address:     a.Address,
		Place:       mustardramp.Place{Zone: a.Zone, Region: a.Region},
		Slots:       a.Slots,
		Connections: a.Connections,
		State:       a.State,
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
	}
}

func newProblem(status int, detail string) *announce.Problem {
	return &announce.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
	}
}

// writeProblem logs the reason of a refused announcement and sends it.
func writeProblem(w http.ResponseWriter, r *http.Request, p *announce.Problem) {
	klog.InfoS("announcement-refused", "from", r.RemoteAddr, "status", p.Status, "reason", p.String())
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	if err := json.NewEncoder(w).Encode(p); err != nil {
		klog.V(1).InfoS("announcement-response-failed", "to", r.RemoteAddr, "error", err.Error())
	}
}
