package registry

import (
	"context"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

// Desk takes in changes at a control host: it commits them by the log and
// reads the state after the log's confirmation.
type Desk struct {
	// State is the machine behind Log.
	State *State
	Log   mustardramp.Log
}

// Check reports every fault in files, also against the contracts in force.
func (d *Desk) Check(ctx context.Context, files []File) (contract.Faults, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.State.Check(files), nil
}

// Publish commits a change. After an error the change may still take force;
// sending it again with the same change id is safe.
func (d *Desk) Publish(ctx context.Context, command Command) (Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return Result{}, err
	}
	result, err := d.Log.Propose(ctx, encoded)
	if err != nil {
		return Result{}, err
	}
	return DecodeResult(result)
}

// InForce lists the entries in force as this host knows them.
func (d *Desk) InForce() []Entry {
	return d.State.InForce()
}

// Confirmed lists the entries in force, confirmed by a quorum.
func (d *Desk) Confirmed(ctx context.Context) ([]Entry, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.State.InForce(), nil
}

// Entry returns a revision of a service; revision 0 means the one in force,
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

// Changes lists the change log, newest first, below an index.
func (d *Desk) Changes(ctx context.Context, before mustardramp.Index, service mustardramp.ServiceName, limit int) ([]Change, error) {
	if err := d.Log.Confirm(ctx); err != nil {
		return nil, err
	}
	return d.State.Changes(before, service, limit), nil
}
