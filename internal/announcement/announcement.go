// Package announcement takes the statements that backend servers make about
// themselves: where they are, what they can carry and whether they leave.
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

// MaxSize bounds an announcement in bytes.
const MaxSize = 16 << 10

// Bounds of a lease.
const (
	MinLease = time.Second
	MaxLease = 5 * time.Minute
)

// Roster keeps what backends announced.
type Roster interface {
	// Announce takes in a checked statement for the time of its lease.
	Announce(now time.Time, b mustardramp.Backend, lease time.Duration) error
}

// Config is what a Handler needs. Roster and Contracts are required.
type Config struct {
	Roster Roster
	// Contracts returns the contracts in force, or nil before they are known.
	Contracts func() *contract.Set
	Clock     mustardramp.Clock
	// Tokens lists the tokens that prove a backend; none means that no proof
	// is asked for, and an empty one counts as none. Two tokens overlap while
	// one replaces the other.
	Tokens []string
	// Zones maps each zone of the fleet to its region; none means that any
	// zone is taken.
	Zones map[mustardramp.Zone]mustardramp.Region
}

// Handler is the http.Handler for announce.Path.
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

// ServeHTTP takes one announcement.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if problem := h.take(w, r); problem != nil {
		refuse(w, r, problem)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Handler) take(w http.ResponseWriter, r *http.Request) *announce.Problem {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return problem(http.StatusMethodNotAllowed, "announcements are sent by POST")
	}
	if !h.authentic(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return problem(http.StatusUnauthorized, "the bearer token is missing or wrong")
	}
	a, failure := decode(w, r)
	if failure != nil {
		return failure
	}
	return h.enter(a)
}

// authentic compares digests, so that neither content nor length of a token
// shows in the time.
func (h *Handler) authentic(r *http.Request) bool {
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

func decode(w http.ResponseWriter, r *http.Request) (*announce.Announcement, *announce.Problem) {
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, problem(http.StatusUnsupportedMediaType, "send application/json")
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxSize))
	decoder.DisallowUnknownFields()
	var a announce.Announcement
	if err := decoder.Decode(&a); err != nil {
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return nil, problem(http.StatusRequestEntityTooLarge, "the announcement is longer than 16 KiB")
		}
		return nil, problem(http.StatusBadRequest, "not a valid announcement: "+err.Error())
	}
	if decoder.More() {
		return nil, problem(http.StatusBadRequest, "more than one announcement")
	}
	return &a, nil
}

// enter checks a statement against the contracts and hands it to the roster.
func (h *Handler) enter(a *announce.Announcement) *announce.Problem {
	set := h.config.Contracts()
	if set == nil {
		return problem(http.StatusServiceUnavailable, "the host has no current configuration yet")
	}
	if faults := h.check(a, set.Service(a.Service)); len(faults) > 0 {
		p := problem(http.StatusUnprocessableEntity, "the announcement has faults")
		p.Faults = faults
		return p
	}
	err := h.config.Roster.Announce(h.config.Clock.Now(), backendOf(a), a.Span())
	if err == nil {
		return nil
	}
	return problem(statusOf(err), err.Error())
}

// statusOf tells a statement out of order from one that is at fault and from a
// roster that takes none.
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

func problem(status int, detail string) *announce.Problem {
	return &announce.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
	}
}

func refuse(w http.ResponseWriter, r *http.Request, p *announce.Problem) {
	klog.InfoS("announcement-refused", "from", r.RemoteAddr, "status", p.Status, "reason", p.String())
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	if err := json.NewEncoder(w).Encode(p); err != nil {
		klog.V(1).InfoS("answer-unsent", "to", r.RemoteAddr, "error", err.Error())
	}
}
