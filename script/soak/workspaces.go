package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/platform"
	"github.com/mustardramp/mustardramp/platform/platformtest"
)

// Workspaces of the routing tables. The first two have the same key in all tables.
const (
	unlimited = "unlimited"
	limited   = "limited"
	rotating  = "rotating"
)

const (
	// quotaRate and quotaBurst are the quota of the limited workspace, far below the
	// load that it receives.
	quotaRate, quotaBurst = 10, 5
	// tableInterval is the time between two routing tables.
	tableInterval = 1200 * time.Millisecond
	// rotatingKeys is the number of keys of the rotating workspace: table n holds the
	// keys n-rotatingKeys+1 to n. A key is thus valid for longer than settleTime.
	rotatingKeys = 4
	// keyMark is part of all keys, so that a key is recognized wherever it appears.
	keyMark = "soak-secret"
	// standinSlots is above the slots that the backends state. Whether a stand-in
	// sheds is no part of this soak.
	standinSlots = 20 * slots
	// publishTimeout is above the time that a control host takes for the call.
	publishTimeout = 5 * time.Second
	// heartbeatInterval is less than the interval in the settings files.
	heartbeatInterval = time.Second
)

// newestKeyRequest is the id of the requests under the newest key at the end.
const newestKeyRequest = "newest"

func staticKey(workspace string) string { return keyMark + "-" + workspace }

func rotatingKey(n int) string { return fmt.Sprintf("%s-%d", staticKey(rotating), n) }

// workspaceSoak runs a fleet with routing tables and workspaces, and records which
// requests ran under which workspace.
type workspaceSoak struct {
	brokenPromises

	f *fleet

	mu sync.Mutex
	// offered and acknowledged hold, by version, when a routing table was first sent
	// to a control host and when one acknowledged it.
	offered, acknowledged map[int]time.Time
	newest                int
	// requests holds the requests by the last part of their path.
	requests map[string]*keyedRequest
	runs     []keyedRun
}

// newWorkspaceFleet returns a fleet of hosts with settings files. The hosts have the
// same ports, each at an address of its own.
func newWorkspaceFleet(s *settings, folder string) (*fleet, error) {
	w := &workspaceSoak{
		brokenPromises: s.Break, offered: map[int]time.Time{}, acknowledged: map[int]time.Time{},
		requests: map[string]*keyedRequest{ownRequest: {workspace: unlimited}, slowUpload: {workspace: unlimited}, newestKeyRequest: {workspace: rotating}},
	}
	f := &fleet{settings: s, workspaces: w, header: http.Header{
		"Authorization": {platformtest.Authorization(staticKey(unlimited))}, "X-Request-Id": {ownRequest},
	}}
	w.f = f
	f.ctx, f.stop = context.WithCancel(context.Background())
	var allPlaces []mustardramp.Place
	for i := range places {
		allPlaces = append(allPlaces, placeOf(i))
	}
	var controls []string
	for i := range s.Controls {
		controls = append(controls, soakIP(i))
	}
	for i := range s.Controls + s.Entries {
		role, n := "control", i
		if i >= s.Controls {
			role, n = "entry", i-s.Controls
		}
		h := platformtest.Host{Name: hostName(role, n), IP: soakIP(i), Place: placeOf(n), Port: basePort}
		address, file := fmt.Sprintf("%s:%d", h.IP, basePort+2), filepath.Join(folder, h.Name+".toml")
		p := &process{
			name: h.Name, args: []string{"platform", role}, env: []string{platform.NodeFileVariable + "=" + file},
			addresses: map[string]string{"control": address, "traffic": address},
		}
		if role == "control" {
			h.Data = filepath.Join(folder, h.Name)
			f.controls = append(f.controls, p)
		} else {
			var err error
			if p.proxy, err = newProxy(f, address); err != nil {
				return nil, err
			}
			f.entries = append(f.entries, p)
		}
		if err := os.WriteFile(file, []byte(h.SettingsFile(controls, allPlaces)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// placeOf returns the place of the host or backend with an index.
func placeOf(i int) mustardramp.Place {
	zone, region, _ := strings.Cut(places[i%len(places)], "/")
	return mustardramp.Place{Zone: mustardramp.Zone(zone), Region: mustardramp.Region(region)}
}

// publish puts a routing table in force. The version is the revision.
func (w *workspaceSoak) publish(version int) error {
	body, err := platformtest.Configuration(version, services, w.workspacesOf(version))
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.offered[version], w.newest = time.Now(), version
	w.mu.Unlock()
	for _, p := range w.f.controls {
		if err = callControl(p, platformtest.ReplaceCall, body, publishTimeout); err == nil {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.acknowledged[version] = time.Now()
			return nil
		}
	}
	return err
}

// workspacesOf returns the workspaces of the routing table with a version. The first
// table is always right, so that the fleet starts.
func (w *workspaceSoak) workspacesOf(version int) []platformtest.Workspace {
	all := []platformtest.Workspace{
		{Name: unlimited, Keys: []string{staticKey(unlimited)}},
		{Name: limited, Keys: []string{staticKey(limited)}, Rate: quotaRate, Burst: quotaBurst},
		{Name: rotating},
	}
	first := version - rotatingKeys + 1
	switch {
	case w.isBroken("removed"):
		first = 1
	case w.isBroken("newkey"):
		first = version
	}
	if w.isBroken("quota") {
		all[1].Rate, all[1].Burst = 0, 0
	}
	if w.isBroken("workspace") && version > 1 {
		all[0].Keys, all[1].Keys = all[1].Keys, all[0].Keys
	}
	if w.isBroken("unauthorized") && version == 2 {
		all[1].Keys = nil
	}
	for n := max(first, 1); n <= version; n++ {
		all[2].Keys = append(all[2].Keys, rotatingKey(n))
	}
	return all
}

// callControl sends a call to a control host. It returns an error unless the status of
// the answer is 200.
func callControl(p *process, path, body string, timeout time.Duration) error {
	client := http.Client{Timeout: timeout}
	response, err := client.Post("http://"+p.addresses["control"]+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d", p.name, response.StatusCode)
	}
	return errors.Join(err, response.Body.Close())
}

// announce announces a backend until the fleet ends.
func (w *workspaceSoak) announce(service string, b *backend) {
	instance := mustardramp.Backend{
		Service: mustardramp.ServiceName(service), Address: netip.MustParseAddrPort(b.proxy.address), Place: placeOf(len(w.f.backends)),
		Slots: slots, Incarnation: mustardramp.Incarnation(time.Now().UnixMilli()),
	}
	w.f.group.Go(func() error {
		for w.f.ctx.Err() == nil {
			instance.Sequence++
			path, body := platformtest.Heartbeat(&instance)
			for _, p := range w.f.controls {
				if callControl(p, path, body, heartbeatInterval/2) == nil {
					break
				}
			}
			select {
			case <-w.f.ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
		return nil
	})
}

// observeRuns returns the handler of a backend that records the requests before the
// stand-in runs them.
func (w *workspaceSoak) observeRuns(b *backend) http.Handler {
	b.Slots = standinSlots
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		rw.Header().Set(platformtest.StampHeader, standinName)
		if r.URL.Path != platformtest.HealthPath {
			w.recordRun(r)
		}
		b.ServeHTTP(rw, r)
	})
}

// prepare gives a request a key, or none, and starts its record.
func (w *workspaceSoak) prepare(c *call, random *rand.Rand) {
	c.header = http.Header{}
	request := &keyedRequest{entry: c.entry.name, isValid: true}
	key := ""
	switch draw := random.Float64(); {
	case draw < 0.4:
		request.workspace, key = limited, staticKey(limited)
	case draw < 0.5:
		request.workspace, key = unlimited, staticKey(unlimited)
	case draw < 0.9:
		// Two thirds of these keys are removed ones.
		w.mu.Lock()
		request.rotating = max(1, w.newest-random.IntN(3*rotatingKeys))
		w.mu.Unlock()
		request.workspace, request.isValid, key = rotating, false, rotatingKey(request.rotating)
	case draw < 0.94:
		request.isUnknown, request.isValid, key = true, false, keyMark+"-of-no-table"
	case draw < 0.97:
		request.isUnknown, request.isValid = true, false
	default:
		c.folder, c.read, c.body = "open/", true, nil
	}
	if key != "" {
		c.header.Set("Authorization", platformtest.Authorization(key))
	}
	if w.isBroken("key") {
		c.header.Set("X-Note", key)
	}
	if random.Float64() < 0.3 {
		c.header.Set(platformtest.WorkspaceHeader, unlimited)
	}
	c.observe = func(response *http.Response, text string) { w.recordAnswer(request, response, text) }
	request.sent = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[c.id] = request
}

// checkConfiguration sends a request under the newest acknowledged key to each entry
// host.
func (w *workspaceSoak) checkConfiguration(ctx context.Context, rec *recorder) error {
	time.Sleep(settleTime)
	var failures error
	want := rec.acknowledgedRevision()
	header := w.f.header.Clone()
	header.Set("Authorization", platformtest.Authorization(rotatingKey(want)))
	for _, p := range w.f.entries {
		if err := ping(ctx, p, services[0], newestKeyRequest, header); err != nil {
			failures = errors.Join(failures, fmt.Errorf("configuration: %s does not serve the key of version %d: %w", p.name, want, err))
		}
	}
	return failures
}
