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
	// keptRevisions is how many texts of a service stay readable.
	keptRevisions = 32
	// keptTables is how many routing tables stay readable; they are larger than
	// contracts.
	keptTables = 4
	// keptChanges bounds the change log, and with it the ids of changes that
	// are recognised when they are resent: two days at 21,000 a day.
	keptChanges = 42000
	// diffContext is the number of equal lines around a difference.
	diffContext = 2
)

// Entry is one revision of a service's contract.
type Entry struct {
	Service  mustardramp.ServiceName `cbor:"1,keyasint"`
	Revision mustardramp.Revision    `cbor:"2,keyasint"`
	Index    mustardramp.Index       `cbor:"3,keyasint"`
	File     string                  `cbor:"4,keyasint"`
	Source   []byte                  `cbor:"5,keyasint"`
	// With lists the services of the same change; they take force together.
	With []mustardramp.ServiceName `cbor:"6,keyasint"`
}

// State is the machine of the contracts. Its zero value is empty and works.
// Reads may run beside Apply.
type State struct {
	mu sync.RWMutex
	// history holds the entries by service, oldest first; never an empty list.
	history map[mustardramp.ServiceName][]Entry
	// changes is the change log, oldest first.
	changes []Change
	byID    map[mustardramp.ChangeID]int
	// dropped counts the changes that left the front of the log.
	dropped int
	// parsed holds the contracts in force.
	parsed map[mustardramp.ServiceName]*contract.Contract
	watch  func([]Entry)
	// leavings holds the newest leaving of each instance; leftOrder lists the
	// instances by the index of their leaving, oldest first.
	leavings  map[string]Leaving
	leftOrder []string
	left      func([]Leaving)
}

// Watch sets the function that is told of accepted entries. It is set before
// the first Apply and must not call the state.
func (s *State) Watch(fn func([]Entry)) {
	s.watch = fn
}

// Apply takes in a command and returns an encoded Result.
func (s *State) Apply(index mustardramp.Index, command []byte) []byte {
	var c Command
	if err := cbor.Unmarshal(command, &c); err != nil {
		return encode(Result{Broken: err.Error()})
	}
	if c.Leaving != nil {
		return encode(s.applyLeaving(index, *c.Leaving))
	}
	s.mu.Lock()
	result, accepted := s.apply(index, c)
	s.mu.Unlock()
	if len(accepted) > 0 && s.watch != nil {
		s.watch(accepted)
	}
	return encode(result)
}

func encode(r Result) []byte {
	b, err := cbor.Marshal(r)
	if err != nil {
		b, _ = cbor.Marshal(Result{Broken: err.Error()})
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
	if held := s.held(contracts); held > 0 {
		return Result{Held: held}, nil
	}
	for i, k := range contracts {
		if conflict := s.conflict(k, c.Files[i]); conflict != nil {
			return Result{Conflict: conflict}, nil
		}
	}
	change, entries := s.accept(index, c, contracts)
	change.Digest = digest
	s.remember(change)
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

// checkSet checks the files against each other and the contracts in force.
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
	return append(faults, s.movedHomes(files, contracts)...)
}

// movedHomes reports contracts whose home region differs from the one in
// force: the old region's ledger holds the keys, so a key could run again.
func (s *State) movedHomes(files []string, contracts []*contract.Contract) contract.Faults {
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

// held returns the version of the routing table in force when a change brings
// one that is no newer, or 0.
func (s *State) held(contracts []*contract.Contract) contract.TableVersion {
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

func (s *State) conflict(k *contract.Contract, f File) *Conflict {
	newest := s.newest(k.Service)
	// Routing tables are ordered by their own version.
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

// Difference returns a unified diff from an entry's text to a file's.
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
		s.append(entries[i], k)
		change.Services = append(change.Services, ServiceRevision{Service: k.Service, Revision: k.Revision})
	}
	return change, entries
}

func (s *State) append(e Entry, k *contract.Contract) {
	h := append(s.history[e.Service], e)
	kept := keptRevisions
	if k.Table != nil {
		kept = keptTables
	}
	if len(h) > kept {
		h = append([]Entry(nil), h[len(h)-kept:]...)
	}
	s.history[e.Service] = h
	s.parsed[e.Service] = k
}

func (s *State) remember(change Change) {
	s.byID[change.ID] = s.dropped + len(s.changes)
	s.changes = append(s.changes, change)
	for len(s.changes) > keptChanges {
		delete(s.byID, s.changes[0].ID)
		s.changes = s.changes[1:]
		s.dropped++
	}
}

// newest returns the entry in force, or a zero entry.
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
