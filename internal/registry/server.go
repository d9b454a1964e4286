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

// Desk serves the contracts on a control host. It commits changes through the
// log, and reads the state once the log has confirmed that it is up to date.
type Desk struct {
	// State is the state machine that Log applies commands to.
	State *State
	Log   mustardramp.Log
	// Homes lists the regions that have a ledger. A contract with another home
	// region is a fault. An empty list allows any region.
	Homes []mustardramp.Region
	// Copied waits until some entry hosts hold the entries of an accepted change,
	// so that the change spreads even if all control hosts fail. If Copied is nil,
	// Publish does not wait.
	Copied func(ctx context.Context, entries []Entry) error
}

// copyTimeout bounds the time for which Publish waits for copies of an accepted
// change.
const copyTimeout = time.Second

// Check reports every fault in files, checked together with the contracts in
// force.
func (d *Desk) Check(ctx context.Context, files []File) (contract.Faults, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.faults(files), nil
}

// faults reports every fault in files, checked together with the contracts in
// force and the regions that have a ledger.
func (d *Desk) faults(files []File) contract.Faults {
	faults := d.State.Check(files)
	for _, f := range files {
		c, err := contract.Parse(f.Name, f.Source)
		if err != nil || c.Home == "" || len(d.Homes) == 0 || slices.Contains(d.Homes, c.Home) {
			continue
		}
		faults = append(faults, contract.Fault{
			File: f.Name, Line: c.Line("home"), Column: 1,
			Reason: "no ledger is kept in region " + strconv.Quote(string(c.Home)),
			Remedy: "use one of " + joinRegions(d.Homes),
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
func (d *Desk) Publish(ctx context.Context, command Command) (Result, error) {
	if faults := d.faults(command.Files); len(faults) > 0 && !d.State.Knows(command.Change) {
		return Result{Faults: faults}, nil
	}
	encoded, err := command.Encode()
	if err != nil {
		return Result{}, err
	}
	result, err := d.Log.Propose(ctx, encoded)
	if err != nil {
		return Result{}, err
	}
	decoded, err := DecodeResult(result)
	if err == nil && decoded.Change != nil {
		d.awaitCopies(ctx, decoded.Change)
	}
	return decoded, err
}

// Leave commits that an incarnation of a backend leaves, so that the record
// outlives this host. It returns nil only if the record is committed.
func (d *Desk) Leave(ctx context.Context, leaving Leaving) error {
	if d.State.HasLeft(leaving.Instance, leaving.Incarnation) {
		return nil
	}
	encoded, err := Command{Leaving: &leaving}.Encode()
	if err != nil {
		return err
	}
	result, err := d.Log.Propose(ctx, encoded)
	if err != nil {
		return err
	}
	decoded, err := DecodeResult(result)
	if err == nil && !decoded.Left {
		return Error.New("the leaving of %s was not recorded: %s", leaving.Instance, decoded.Broken)
	}
	return err
}

// Table returns the routing table in force, confirmed by a quorum, or nil.
func (d *Desk) Table(ctx context.Context) (*contract.Table, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.State.Table(), nil
}

// awaitCopies waits for copies of a change. The change is in force even if no
// copy is confirmed.
func (d *Desk) awaitCopies(ctx context.Context, change *Change) {
	if d.Copied == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	// This host may not have applied the change yet.
	if err := d.Log.Confirm(ctx); err != nil {
		klog.InfoS("change-copies-unconfirmed", "change", change.ID, "index", change.Index, "cause", err)
		return
	}
	var entries []Entry
	for _, s := range change.Services {
		if e, ok := d.State.Entry(s.Service, s.Revision); ok {
			entries = append(entries, e)
		}
	}
	if err := d.Copied(ctx, entries); err != nil {
		klog.InfoS("change-copies-unconfirmed", "change", change.ID, "index", change.Index, "cause", err)
	}
}

// InForce lists the entries in force in the state of this host, which may be out
// of date.
func (d *Desk) InForce() []Entry {
	return d.State.InForce()
}

// Confirmed lists the entries in force after a quorum has confirmed that the
// state is up to date.
func (d *Desk) Confirmed(ctx context.Context) ([]Entry, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.State.InForce(), nil
}

// Entry returns a revision of a service. Revision 0 stands for the one in force,
// confirmed by a quorum.
func (d *Desk) Entry(ctx context.Context, service mustardramp.ServiceName, revision mustardramp.Revision) (Entry, bool, error) {
	if revision == 0 {
		if err := d.Log.Confirm(ctx); err != nil {
			return Entry{}, false, err
		}
	}
	e, ok := d.State.Entry(service, revision)
	return e, ok, nil
}

// Changes lists the changes below an index, newest first, confirmed by a quorum.
func (d *Desk) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]Change, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.State.Changes(before, service, limit), nil
}
