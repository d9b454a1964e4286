// Package admin serves the administration API of a host.
package admin

import (
	"context"
	"net/http"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/mustardramp/mustardramp"
	contractapi "github.com/mustardramp/mustardramp/gen/contract"
	fleetapi "github.com/mustardramp/mustardramp/gen/fleet"
	contracthttp "github.com/mustardramp/mustardramp/gen/http/contract/server"
	fleethttp "github.com/mustardramp/mustardramp/gen/http/fleet/server"
	ledgerhttp "github.com/mustardramp/mustardramp/gen/http/ledger/server"
	refusalhttp "github.com/mustardramp/mustardramp/gen/http/refusal/server"
	ledgerapi "github.com/mustardramp/mustardramp/gen/ledger"
	refusalapi "github.com/mustardramp/mustardramp/gen/refusal"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/pkg/admin"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// MaxBody is the longest request body of the API.
const MaxBody mustardramp.Bytes = 16 << 20

// Contracts reads and changes the services' contracts.
type Contracts interface {
	Check(ctx context.Context, files []registry.File) (contract.Faults, error)
	Publish(ctx context.Context, command registry.Command) (registry.Result, error)
	// InForce lists the entries in force at this host by service.
	InForce() []registry.Entry
	// Entry returns a revision; 0 means the one in force.
	Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (registry.Entry, bool, error)
	// Changes lists the change log, newest first, below an index; 0 means
	// from the newest.
	Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]registry.Change, error)
}

// Refusals is a host's memory of its refusals.
type Refusals interface {
	ByID(id mustardramp.RefusalID) (mustardramp.Refusal, bool)
	ByRequest(request string) []mustardramp.Refusal
	ByCaller(caller mustardramp.CallerName, from, to time.Time) []mustardramp.Refusal
}

// Fleet is a host's view of the fleet.
type Fleet interface {
	Status() *fleetapi.FleetStatus
	// Backends lists by id; an empty service means all.
	Backends(service string) []*fleetapi.BackendStanding
	// Histograms lists by name.
	Histograms(prefix string) []*fleetapi.Histogram
	// Drain stops the host gracefully.
	Drain(who, why string)
	// Admin returns the address of a host's administration API.
	Admin(host mustardramp.HostName) (string, bool)
}

// Entry is a ledger's entry of one operation.
type Entry struct {
	ID      mustardramp.ClaimID
	State   string
	Host    mustardramp.HostName
	Attempt uint64
	Answer  *mustardramp.Answer
	At      time.Time
}

// Ledger reads and settles entries of once-only operations.
type Ledger interface {
	Show(ctx context.Context, id mustardramp.ClaimID) (Entry, bool, error)
	Settle(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, who, why string) (Entry, error)
}

// Config says what the API serves. A nil source answers "unavailable".
type Config struct {
	Host  mustardramp.HostName
	Token string
	Clock mustardramp.Clock

	Contracts Contracts
	Refusals  Refusals
	Fleet     Fleet
	Ledger    Ledger
	// Dial opens a client of another host's API.
	Dial func(address string) (*admin.Client, error)
}

// New returns the API's handler.
func New(config Config) http.Handler {
	if config.Clock == nil {
		config.Clock = mustardramp.SystemClock{}
	}
	s := &server{Config: config}
	mux := goahttp.NewMuxer()
	decode, encode := goahttp.RequestDecoder, goahttp.ResponseEncoder
	contracthttp.New(contractapi.NewEndpoints(contracts{s}), mux, decode, encode, onError, nil).Mount(mux)
	fleethttp.New(fleetapi.NewEndpoints(fleet{s}), mux, decode, encode, onError, nil).Mount(mux)
	ledgerhttp.New(ledgerapi.NewEndpoints(ledger{s}), mux, decode, encode, onError, nil).Mount(mux)
	refusalhttp.New(refusalapi.NewEndpoints(refusals{s}), mux, decode, encode, onError, nil).Mount(mux)
	return withCertificate(bounded(mux))
}

type server struct {
	Config
}

// bounded limits the length of bodies.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, int64(MaxBody))
		next.ServeHTTP(w, r)
	})
}
