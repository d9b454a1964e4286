package registry

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Server serves the contracts on a control host. It commits changes through the
// log, and reads the state once the log has confirmed that it is up to date.
type Server struct {
	// State is the state machine that Log applies commands to.
	State *State
	Log   mustardramp.Log
	// Homes lists the regions that have a ledger. A contract with another home
	// region is a fault. An empty list allows any region.
	Homes []mustardramp.Region
	// AwaitCopies waits until some entry hosts hold the entries of an accepted
	// change, so that the change spreads even if all control hosts fail. If
	// AwaitCopies is nil, Publish does not wait.
	AwaitCopies func(ctx context.Context, entries []Entry) error
}

// copyTimeout bounds the time for which Publish waits for copies of an accepted
// change.
const copyTimeout = time.Second

// Check reports every fault in files, checked together with the contracts in
// force.
func (s *Server) Check(ctx context.Context, files []File) (contract.Faults, error) {
	if err := s.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return s.faults(files), nil
}

// faults reports every fault in files, checked together with the contracts in
// force and the regions that have a ledger.
func (s *Server) faults(files []File) contract.Faults {
	faults := s.State.Check(files)
	for _, f := range files {
		c, err := contract.Parse(f.Name, f.Source)
		if err != nil || c.Home == "" || len(s.Homes) == 0 || slices.Contains(s.Homes, c.Home) {
			continue
		}
		faults = append(faults, contract.Fault{
			File: f.Name, Line: c.Line("home"), Column: 1,
			Reason: "no ledger is kept in region " + strconv.Quote(string(c.Home)),
			Remedy: "use one of " + joinRegions(s.Homes),
		})
	}
	return faults
}

// joinRegions lists regions with commas between them.
func joinRegions(regions []mustardramp.Region) string {
	names := make([]string, len(regions))
	for i, r := range regions {
		names[i] = string(r)
	}
	return strings.Join(names, ", ")
}

// Publish commits a change. After an error the change may still take effect. It
// is safe to publish it again with the same change id.
func (s *Server) Publish(ctx context.Context, command Command) (Result, error) {
	if faults := s.faults(command.Files); len(faults) > 0 && !s.State.Knows(command.Change) {
		return Result{Faults: faults}, nil
	}
	encoded, err := command.Encode()
	if err != nil {
		return Result{}, err
	}
	result, err := s.Log.Propose(ctx, encoded)
	if err != nil {
		return Result{}, err
	}
	decoded, err := DecodeResult(result)
	if err == nil && decoded.Change != nil {
		s.awaitCopies(ctx, decoded.Change)
	}
	return decoded, err
}

// Leave commits that an incarnation of a backend leaves, so that the record
// outlives this host. It returns nil only if the record is committed.
func (s *Server) Leave(ctx context.Context, departure Departure) error {
	if s.State.HasLeft(departure.Instance, departure.Incarnation) {
		return nil
	}
	encoded, err := Command{Departure: &departure}.Encode()
	if err != nil {
		return err
	}
	result, err := s.Log.Propose(ctx, encoded)
	if err != nil {
		return err
	}
	decoded, err := DecodeResult(result)
	if err == nil && !decoded.DepartureRecorded {
		return Error.New("the leaving of %s was not recorded: %s", departure.Instance, decoded.DecodeError)
	}
	return err
}

// Table returns the routing table in force, confirmed by a quorum, or nil.
func (s *Server) Table(ctx context.Context) (*contract.Table, error) {
	if err := s.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return s.State.Table(), nil
}

// awaitCopies waits for copies of a change. The change is in force even if no
// copy is confirmed.
func (s *Server) awaitCopies(ctx context.Context, change *Change) {
	if s.AwaitCopies == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	// This host may not have applied the change yet.
	if err := s.Log.Confirm(ctx); err != nil {
		klog.InfoS("change-copies-unconfirmed", "change", change.ID, "index", change.Index, "cause", err)
		return
	}
	var entries []Entry
	for _, revision := range change.Services {
		if e, ok := s.State.Entry(revision.Service, revision.Revision); ok {
			entries = append(entries, e)
		}
	}
	if err := s.AwaitCopies(ctx, entries); err != nil {
		klog.InfoS("change-copies-unconfirmed", "change", change.ID, "index", change.Index, "cause", err)
	}
}

// InForce lists the entries in force in the state of this host, which may be out
// of date.
func (s *Server) InForce() []Entry {
	return s.State.InForce()
}

// Confirmed lists the entries in force after a quorum has confirmed that the
// state is up to date.
func (s *Server) Confirmed(ctx context.Context) ([]Entry, error) {
	if err := s.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return s.State.InForce(), nil
}

// Entry returns a revision of a service. Revision 0 stands for the one in force,
// confirmed by a quorum.
func (s *Server) Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (Entry, bool, error) {
	if revision == 0 {
		if err := s.Log.Confirm(ctx); err != nil {
			return Entry{}, false, err
		}
	}
	e, ok := s.State.Entry(service, revision)
	return e, ok, nil
}

// Changes lists the changes below an index, newest first, confirmed by a quorum.
func (s *Server) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]Change, error) {
	if err := s.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return s.State.Changes(before, service, limit), nil
}
