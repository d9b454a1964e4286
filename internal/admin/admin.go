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
	requesthttp "github.com/mustardramp/mustardramp/gen/http/request/server"
	workspacehttp "github.com/mustardramp/mustardramp/gen/http/workspace/server"
	ledgerapi "github.com/mustardramp/mustardramp/gen/ledger"
	refusalapi "github.com/mustardramp/mustardramp/gen/refusal"
	requestapi "github.com/mustardramp/mustardramp/gen/request"
	workspaceapi "github.com/mustardramp/mustardramp/gen/workspace"
	"github.com/mustardramp/mustardramp/internal/entry"
	"github.com/mustardramp/mustardramp/internal/registry"
	"github.com/mustardramp/mustardramp/pkg/admin"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// MaxBody is the maximum length of a request body.
const MaxBody mustardramp.Bytes = 16 << 20

// Contracts reads and changes the contracts of services.
type Contracts interface {
	// Check returns every fault in contract files.
	Check(ctx context.Context, files []registry.File) (contract.Faults, error)
	// Publish puts the files of a command in force as one change.
	Publish(ctx context.Context, command registry.Command) (registry.Result, error)
	// InForce lists the entries in force at this host, sorted by service.
	InForce() []registry.Entry
	// Entry returns a revision of a service's contract. Revision 0 means the one in
	// force.
	Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (registry.Entry, bool, error)
	// Changes lists the accepted changes below an index, newest first. Index 0
	// means to start with the newest change.
	Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]registry.Change, error)
}

// Refusals looks up the refusals that a host keeps in memory.
type Refusals interface {
	ByID(id mustardramp.RefusalID) (mustardramp.Refusal, bool)
	// ByRequest returns the refusals of requests with the caller's request id.
	ByRequest(request string) []mustardramp.Refusal
	ByCaller(caller mustardramp.CallerName, from, to time.Time) []mustardramp.Refusal
}

// Fleet is a host's view of the fleet.
type Fleet interface {
	Status() *fleetapi.FleetStatus
	// Backends lists the standings of a service's backends, sorted by id. An empty
	// service means all services.
	Backends(service string) []*fleetapi.BackendStanding
	// Histograms lists the histograms whose names start with a prefix, sorted by
	// name.
	Histograms(prefix string) []*fleetapi.Histogram
	// Drain stops the host gracefully.
	Drain(who, why string)
	// Admin returns the address of a host's administration API, or false if the
	// host is not known.
	Admin(host mustardramp.HostName) (string, bool)
}

// LedgerEntry is the ledger entry of one operation.
type LedgerEntry struct {
	ID      mustardramp.ClaimID
	State   string
	Host    mustardramp.HostName
	Attempt uint64
	Answer  *mustardramp.RecordedResponse
	At      time.Time
}

// Ledger reads and settles the entries of operations that run at most once.
type Ledger interface {
	// Show returns the entry of an operation, or false if there is none.
	Show(ctx context.Context, id mustardramp.ClaimID) (LedgerEntry, bool, error)
	// Settle records the outcome that an operator found for an operation.
	Settle(ctx context.Context, id mustardramp.ClaimID, outcome mustardramp.Outcome, who, why string) (LedgerEntry, error)
}

// Workspaces reads the workspaces of the routing table in force at a host.
type Workspaces interface {
	// Workspaces lists the workspaces, sorted by name.
	Workspaces() []*workspaceapi.Workspace
}

// Requests explains where requests would go.
type Requests interface {
	// Explain explains a request, which is not sent. The error is
	// entry.ErrNoConfiguration, or has the class entry.ErrNoWorkspace or entry.ErrQuery.
	Explain(ctx context.Context, q entry.Query) (*requestapi.RequestExplanation, error)
}

// Config holds the settings and the data sources of the API. Requests for a source
// that is nil get the error "unavailable".
type Config struct {
	Host  mustardramp.HostName
	Token string
	Clock mustardramp.Clock

	Contracts  Contracts
	Refusals   Refusals
	Fleet      Fleet
	Ledger     Ledger
	Workspaces Workspaces
	Requests   Requests
	// Dial opens a client of another host's API.
	Dial func(address string) (*admin.Client, error)
}

// New returns the handler of the API.
func New(config Config) http.Handler {
	if config.Clock == nil {
		config.Clock = mustardramp.SystemClock{}
	}
	s := &server{Config: config}
	mux := goahttp.NewMuxer()
	decode, encode := goahttp.RequestDecoder, goahttp.ResponseEncoder
	contracthttp.New(contractapi.NewEndpoints(contracts{s}), mux, decode, encode, logEncodeError, nil).Mount(mux)
	fleethttp.New(fleetapi.NewEndpoints(fleet{s}), mux, decode, encode, logEncodeError, nil).Mount(mux)
	ledgerhttp.New(ledgerapi.NewEndpoints(ledger{s}), mux, decode, encode, logEncodeError, nil).Mount(mux)
	refusalhttp.New(refusalapi.NewEndpoints(refusals{s}), mux, decode, encode, logEncodeError, nil).Mount(mux)
	requesthttp.New(requestapi.NewEndpoints(requests{s}), mux, decode, encode, logEncodeError, nil).Mount(mux)
	workspacehttp.New(workspaceapi.NewEndpoints(workspaces{s}), mux, decode, encode, logEncodeError, nil).Mount(mux)
	return withCertificate(s.requireCredentials(limitBody(mux)))
}

// server holds what the services of the API share.
type server struct {
	Config
}

// limitBody limits the length of request bodies to MaxBody.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, int64(MaxBody))
		next.ServeHTTP(w, r)
	})
}
