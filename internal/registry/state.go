package registry

import (
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pmezard/go-difflib/difflib"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/pkg/contract"
)

const (
	// maxRevisions is the number of revisions of a contract that are kept.
	maxRevisions = 32
	// maxTables is the number of revisions of the routing table that are kept. It
	// is lower than maxRevisions because tables are larger than contracts.
	maxTables = 4
	// maxChanges bounds the change log. A resent change is recognised while its id
	// is in the log, which is two days at 21,000 changes a day.
	maxChanges = 42000
	// diffContext is the number of unchanged lines around each difference.
	diffContext = 2
)

// Entry is one revision of a service's contract.
type Entry struct {
	Service  mustardramp.ServiceName `cbor:"1,keyasint"`
	Revision mustardramp.Revision    `cbor:"2,keyasint"`
	Index    mustardramp.Index       `cbor:"3,keyasint"`
	File     string                  `cbor:"4,keyasint"`
	Source   []byte                  `cbor:"5,keyasint"`
	// With lists all services of the same change; their entries take effect
	// together.
	With []mustardramp.ServiceName `cbor:"6,keyasint"`
}

// State is the state machine of the contracts. Its zero value is empty and ready
// to use. Reads may run concurrently with Apply.
type State struct {
	mu sync.RWMutex
	// history holds the kept entries by service, oldest first. No list is empty.
	history map[mustardramp.ServiceName][]Entry
	// changes is the change log, oldest first.
	changes []Change
	// byID holds the position of each change, counted from the first change
	// ever; less dropped, it is an index into changes.
	byID map[mustardramp.ChangeID]int
	// dropped counts the changes that were removed from the front of the log.
	dropped int
	// parsed holds the contracts in force.
	parsed map[mustardramp.ServiceName]*contract.Contract
	// onEntries is the function of Watch, or nil.
	onEntries func([]Entry)
	// departures holds the newest departure of each instance. departureOrder lists
	// the instances by the index of their departures, oldest first.
	departures     map[string]Departure
	departureOrder []string
	// onDepartures is the function of WatchDepartures, or nil.
	onDepartures func([]Departure)
}

// Watch sets the function that Apply and Restore call with accepted entries. It
// must be set before the first Apply, and the function must not call the state.
func (s *State) Watch(fn func([]Entry)) {
	s.onEntries = fn
}

// Apply implements mustardramp.StateMachine. It returns an encoded Result.
func (s *State) Apply(index mustardramp.Index, command []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return encode(Result{DecodeError: err.Error()})
	}
	if c.Departure != nil {
		return encode(s.applyDeparture(index, *c.Departure))
	}
	s.mu.Lock()
	result, accepted := s.apply(index, c)
	s.mu.Unlock()
	if len(accepted) > 0 && s.onEntries != nil {
		s.onEntries(accepted)
	}
	return encode(result)
}

func encode(r Result) []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		b, _ = cbor.Marshal(Result{DecodeError: err.Error()})
	}
	return b
}

func (s *State) apply(index mustardramp.Index, c Command) (Result, []Entry) {
	s.init()
	digest := c.digest()
	if i, ok := s.byID[c.Change]; ok {
		first := s.changes[i-s.dropped]
		if first.Digest != digest {
			return Result{Reused: &first}, nil
		}
		return Result{Change: &first}, nil
	}
	files, contracts, faults := parse(c.Files)
	if len(faults) == 0 {
		faults = s.checkSet(files, contracts)
	}
	if len(faults) > 0 {
		return Result{Faults: faults}, nil
	}
	if version := s.supersedingTable(contracts); version > 0 {
		return Result{TableInForce: version}, nil
	}
	for i, k := range contracts {
		if conflict := s.findConflict(k, c.Files[i]); conflict != nil {
			return Result{Conflict: conflict}, nil
		}
	}
	change, entries := s.accept(index, c, contracts)
	change.Digest = digest
	s.recordChange(change)
	return Result{Change: &change}, entries
}

func (s *State) init() {
	if s.history != nil {
		return
	}
	s.history = map[mustardramp.ServiceName][]Entry{}
	s.byID = map[mustardramp.ChangeID]int{}
	s.parsed = map[mustardramp.ServiceName]*contract.Contract{}
}

func (c Command) digest() uint64 {
	h := xxhash.New()
	for _, f := range c.Files {
		_, _ = h.WriteString(f.Name)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(strconv.FormatUint(uint64(f.Base), 10))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write(f.Source)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

func parse(files []File) ([]string, []*contract.Contract, contract.Faults) {
	names := make([]string, len(files))
	contracts := make([]*contract.Contract, len(files))
	var faults contract.Faults
	for i, f := range files {
		names[i] = f.Name
		k, err := contract.Parse(f.Name, f.Source)
		if err != nil {
			faults = append(faults, contract.FaultsOf(f.Name, err)...)
			continue
		}
		contracts[i] = k
	}
	return names, contracts, faults
}

// checkSet checks the proposed contracts together with the contracts in force
// that they do not replace.
func (s *State) checkSet(files []string, contracts []*contract.Contract) contract.Faults {
	replaced := make(map[mustardramp.ServiceName]bool, len(contracts))
	for _, k := range contracts {
		replaced[k.Service] = true
	}
	names := make([]string, 0, len(s.parsed)+len(files))
	all := make([]*contract.Contract, 0, len(s.parsed)+len(files))
	for _, service := range s.services() {
		if replaced[service] {
			continue
		}
		names = append(names, s.newest(service).File)
		all = append(all, s.parsed[service])
	}
	faults := contract.CheckSet(append(names, files...), append(all, contracts...))
	return append(faults, s.checkHomes(files, contracts)...)
}

// checkHomes reports contracts that change the home region of a service. The
// ledger of the old region holds the keys, so that an operation could run again
// under the same key.
func (s *State) checkHomes(files []string, contracts []*contract.Contract) contract.Faults {
	var faults contract.Faults
	for i, k := range contracts {
		old := s.parsed[k.Service]
		if old == nil || old.Home == "" || old.Home == k.Home {
			continue
		}
		faults = append(faults, contract.Fault{
			File: files[i], Line: k.Line("home"), Column: 1,
			Reason: "the home region moves from " + string(old.Home) + ", whose ledger holds the keys",
			Remedy: "keep home: " + string(old.Home) + ", or give the service a new name",
		})
	}
	return faults
}

// supersedingTable returns the version of the routing table in force if a proposed
// table is not newer, and 0 otherwise.
func (s *State) supersedingTable(contracts []*contract.Contract) contract.TableVersion {
	known := s.parsed[contract.TableName]
	if known == nil {
		return 0
	}
	for _, k := range contracts {
		if k.Table != nil && k.Table.Version <= known.Table.Version {
			return known.Table.Version
		}
	}
	return 0
}

// findConflict returns the conflict of a proposed contract with the revision in
// force, or nil.
func (s *State) findConflict(k *contract.Contract, f File) *Conflict {
	newest := s.newest(k.Service)
	// A routing table is ordered by its own version, which supersedingTable checks.
	if newest.Revision == f.Base || k.Table != nil {
		return nil
	}
	return &Conflict{
		Service:    k.Service,
		Base:       f.Base,
		Revision:   newest.Revision,
		Difference: Difference(newest, f),
	}
}

// Difference returns a unified diff from the text of an entry to that of a file.
func Difference(from Entry, to File) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(from.Source)),
		B:        difflib.SplitLines(string(to.Source)),
		FromFile: string(from.Service) + "@" + strconv.FormatUint(uint64(from.Revision), 10),
		ToFile:   to.Name,
		Context:  diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// accept puts the contracts of a command in force under the next revisions.
func (s *State) accept(index mustardramp.Index, c Command, contracts []*contract.Contract) (Change, []Entry) {
	change := Change{ID: c.Change, Index: index, Who: c.Who, Why: c.Why, At: c.At}
	with := make([]mustardramp.ServiceName, len(contracts))
	for i, k := range contracts {
		with[i] = k.Service
	}
	entries := make([]Entry, len(contracts))
	for i, k := range contracts {
		k.Revision = s.newest(k.Service).Revision + 1
		entries[i] = Entry{
			Service:  k.Service,
			Revision: k.Revision,
			Index:    index,
			File:     c.Files[i].Name,
			Source:   c.Files[i].Source,
			With:     with,
		}
		s.addEntry(entries[i], k)
		change.Services = append(change.Services, ServiceRevision{Service: k.Service, Revision: k.Revision})
	}
	return change, entries
}

// addEntry puts an entry in force and drops the oldest revisions.
func (s *State) addEntry(e Entry, k *contract.Contract) {
	h := append(s.history[e.Service], e)
	limit := maxRevisions
	if k.Table != nil {
		limit = maxTables
	}
	if len(h) > limit {
		h = append([]Entry(nil), h[len(h)-limit:]...)
	}
	s.history[e.Service] = h
	s.parsed[e.Service] = k
}

// recordChange adds a change to the change log and drops the oldest.
func (s *State) recordChange(change Change) {
	s.byID[change.ID] = s.dropped + len(s.changes)
	s.changes = append(s.changes, change)
	for len(s.changes) > maxChanges {
		delete(s.byID, s.changes[0].ID)
		s.changes = s.changes[1:]
		s.dropped++
	}
}

// newest returns the entry of a service in force, or a zero Entry.
func (s *State) newest(service mustardramp.ServiceName) Entry {
	h := s.history[service]
	if len(h) == 0 {
		return Entry{}
	}
	return h[len(h)-1]
}

func (s *State) services() []mustardramp.ServiceName {
	names := make([]mustardramp.ServiceName, 0, len(s.history))
	for name := range s.history {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
