package quorum

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/mustardramp/mustardramp"
)

const (
	historyHosts   = 5
	historyClients = 6
	historySteps   = 2500
	// undecided bounds the check of one history.
	undecided = time.Minute
)

// seedCount returns how many histories to check: MUSTARDRAMP_SEEDS, or a
// number for each commit. MUSTARDRAMP_SEED is the first seed.
func seedCount(t *testing.T, usual uint64) (first, count uint64) {
	t.Helper()
	return setting(t, "MUSTARDRAMP_SEED", 1), setting(t, "MUSTARDRAMP_SEEDS", usual)
}

func setting(t *testing.T, name string, usual uint64) uint64 {
	t.Helper()
	text, ok := os.LookupEnv(name)
	if !ok {
		return usual
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// listCall is one operation on a list: an append or a read.
type listCall struct {
	key       string
	operation uint64
	read      bool
}

type listClient struct {
	id      int
	busy    bool
	call    listCall
	started int64
	attempt attempt
}

// listHistory drives clients against a world and records what they see.
type listHistory struct {
	w          *world
	clients    []*listClient
	operations []porcupine.Operation
	number     uint64
	clock      int64
}

func newListHistory(w *world) *listHistory {
	h := &listHistory{w: w}
	for i := range historyClients {
		h.clients = append(h.clients, &listClient{id: i})
	}
	w.makeMachine = func() mustardramp.Machine { return newListMachine() }
	for _, host := range w.hosts {
		w.nodes[host].machine = newListMachine()
	}
	w.applied = h.applied
	w.read = h.read
	return h
}

// time returns a new moment.
func (h *listHistory) time() int64 {
	h.clock++
	return h.clock
}

func (h *listHistory) step(mayStart bool) {
	for _, client := range h.clients {
		if !client.busy && mayStart && h.w.random.IntN(8) == 0 {
			h.start(client)
		}
		if client.busy && h.w.now >= client.attempt.until {
			h.send(client)
		}
	}
}

func (h *listHistory) start(client *listClient) {
	h.number++
	client.busy = true
	client.started = h.time()
	client.call = listCall{
		key:       fmt.Sprint("key-", h.w.random.IntN(3)),
		operation: h.number,
		read:      h.w.random.IntN(3) == 0,
	}
	client.attempt = attempt{}
}

func (h *listHistory) send(client *listClient) {
	h.number++
	a, ok := h.w.attempt(h.number)
	if !ok {
		return
	}
	client.attempt = a
	if client.call.read {
		a.read(h.w)
		return
	}
	command, err := encode(listCommand{Operation: client.call.operation, Key: client.call.key})
	if err != nil {
		h.w.t.Fatal(err)
	}
	a.propose(h.w, command)
}

func (h *listHistory) applied(n *node, entry Entry, result []byte) {
	for _, client := range h.clients {
		if !client.busy || client.call.read || !client.attempt.isBy(n, entry.Proposal.Number) {
			continue
		}
		var length int
		if err := decode(result, &length); err != nil {
			h.w.t.Fatal(err)
		}
		h.finish(client, length)
	}
}

func (h *listHistory) read(n *node, request uint64, ok bool) {
	for _, client := range h.clients {
		if !ok || !client.busy || !client.call.read || !client.attempt.isBy(n, request) {
			continue
		}
		lists := n.machine.(*listMachine).state.Lists
		h.finish(client, slices.Clone(lists[client.call.key]))
	}
}

func (h *listHistory) finish(client *listClient, output any) {
	client.busy = false
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client.id,
		Input:    client.call,
		Call:     client.started,
		Output:   output,
		Return:   h.time(),
	})
}

func (h *listHistory) isIdle() bool {
	return !slices.ContainsFunc(h.clients, func(client *listClient) bool { return client.busy })
}

// listModel is a list that grows at its end.
var listModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(listCall).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return []uint64(nil) },
	Step: func(state, input, output any) (bool, any) {
		list := state.([]uint64)
		call := input.(listCall)
		if call.read {
			return slices.Equal(list, output.([]uint64)), list
		}
		list = append(slices.Clip(list), call.operation)
		return output.(int) == len(list), list
	},
	Equal: func(a, b any) bool {
		return slices.Equal(a.([]uint64), b.([]uint64))
	},
}

// runListHistory returns what a history broke, or nil, and its operations.
func runListHistory(t *testing.T, seed uint64, broken flaw) (operations int, err error) {
	t.Helper()
	return runHistoryOf(t, seed, broken, 0)
}

// runHistoryOf runs a history with some hosts beside a group without a list, or
// none beside one with a list.
func runHistoryOf(t *testing.T, seed uint64, broken flaw, spares int) (operations int, err error) {
	t.Helper()
	defer guard(broken, &err)
	w := newWorld(t, seed, historyHosts)
	if spares > 0 {
		w.addSpares(spares)
	}
	w.flaw = broken
	w.compactEvery = 15
	if seed%2 == 0 {
		for _, n := range w.nodes {
			n.core.appendBytes = 1
		}
		w.appendBytes = 1
	}
	h := newListHistory(w)
	w.runUntil(settle, "leader", func() bool { return w.leader() != nil })
	faults := &trouble{w: w, losses: 3}
	for range historySteps {
		faults.step()
		h.step(true)
		w.step()
	}
	faults.end()
	for range 4 * settle {
		if h.isIdle() {
			break
		}
		h.step(false)
		w.step()
	}
	if !h.isIdle() {
		return len(h.operations), fmt.Errorf("operations are stuck after all faults have ended")
	}
	return len(h.operations), checkHistory(listModel, h.operations)
}

func checkHistory(model porcupine.Model, operations []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(model, operations, undecided) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return fmt.Errorf("the history is not linearizable")
	default:
		return fmt.Errorf("the history was not decided within %v", undecided)
	}
}

func TestLogHistories(t *testing.T) {
	first, count := seedCount(t, 12)
	total := 0
	for seed := first; seed < first+count; seed++ {
		operations, err := runListHistory(t, seed, soundWorld)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		total += operations
	}
	t.Logf("%d seeds from %d, %d operations", count, first, total)
}

// TestSeededLogHistories runs the histories on a group without a list of hosts:
// two more hosts than it has voters take the places of silent ones, members are
// removed and join again, and disks are lost meanwhile.
func TestSeededLogHistories(t *testing.T) {
	first, count := seedCount(t, 12)
	total := 0
	for seed := first; seed < first+count; seed++ {
		operations, err := runHistoryOf(t, seed, soundWorld, 2)
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		total += operations
	}
	t.Logf("%d seeds from %d, %d operations", count, first, total)
}

// TestBrokenSeededRuleIsSeen lets hosts of a group without a list come back as
// themselves without their disk: the check must see it.
func TestBrokenSeededRuleIsSeen(t *testing.T) {
	// The first seed keeps the search short.
	const first, most = 300, 400
	for seed := uint64(first); seed < first+most; seed++ {
		if _, err := runHistoryOf(t, seed, keepIdentity, 2); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Errorf("got no broken history in %d, want one", most)
}
