package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlCount = 3
	frontCount   = 2
	// startTimeout bounds the start of the fleet.
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 2 * time.Second
)

var errTimeout = errors.New("not reached in time")

// machine is a process of the system.
type machine struct {
	Name, Role, Class, Serves, IP, Zone, Region, Seeds, Data string
	Counts, Bootstrap                                        bool
	Memory, Tolerance                                        int

	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan error
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	folder   string
	record   *recorder
	controls []*machine
	fronts   []*machine
	// nextIP numbers the addresses, which share a random prefix.
	prefix string
	nextIP int
	// stopping lets the processes be ended only once.
	stopping sync.Once
}

var zones = []string{"kol-a", "sil-a", "kol-b", "sil-b"}

func regionOf(zone string) string {
	if strings.HasPrefix(zone, "kol") {
		return "kolkata"
	}
	return "siliguri"
}

func newFleet(folder string, record *recorder) *fleet {
	f := &fleet{folder: folder, record: record, prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	for i := range controlCount {
		m := f.newMachine("core", i, 280)
		m.Role, m.Serves, m.Counts = "control", "control", true
		m.Data = filepath.Join(folder, m.Name)
		f.controls = append(f.controls, m)
	}
	for i := range frontCount {
		m := f.newMachine("front", i, 284)
		m.Role, m.Serves = "entry", "front"
		f.fronts = append(f.fronts, m)
	}
	var seeds []string
	for _, m := range f.controls {
		seeds = append(seeds, `"`+m.IP+`:8544"`)
	}
	for _, m := range f.machines() {
		m.Seeds = strings.Join(seeds, ",")
	}
	return f
}

func (f *fleet) newMachine(class string, i, memory int) *machine {
	zone := zones[i%len(zones)]
	return &machine{
		Name: fmt.Sprintf("%s-%s-%d", class, zone, i+1), Class: class, IP: f.address(), Zone: zone, Region: regionOf(zone),
		Bootstrap: true, Memory: memory, Tolerance: (controlCount - 1) / 2,
	}
}

// address returns a loopback address that nothing else of this run uses.
func (f *fleet) address() string {
	f.nextIP++
	return fmt.Sprintf("%s.%d", f.prefix, f.nextIP)
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine(nil), f.controls...), f.fronts...)
}

// start starts a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if m.Data != "" {
		if err := os.MkdirAll(m.Data, 0o755); err != nil {
			return err
		}
	}
	m.settings = filepath.Join(f.folder, m.Name+".toml")
	if err := os.WriteFile(m.settings, render("settings.tmpl", m), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.cmd = exec.Command("target/mustardramp", "platform", m.Role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["nodeFile"] + "=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(m.cmd, m.exited)
	f.record.note("start %s at %s, process %d", m.Name, m.IP, m.cmd.Process.Pid)
	return nil
}

// startAll starts all machines and waits until the fronts are ready once the operator has
// sent the first configuration.
func (f *fleet) startAll(config []byte) error {
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	if err := f.publish(config); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	for _, m := range f.fronts {
		if err := await(startTimeout, func() bool { return f.isReady(m) }); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.Name, err)
		}
	}
	f.record.note("all fronts are ready")
	return nil
}

func (f *fleet) isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.IP + ":8542/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopAll ends all processes that this run started.
func (f *fleet) stopAll() {
	f.stopping.Do(f.killAll)
}

func (f *fleet) killAll() {
	for _, m := range f.machines() {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		<-m.exited
		_ = m.log.Close()
	}
}

// publish sends a configuration to the control hosts until one acknowledges it.
func (f *fleet) publish(config []byte) error {
	return await(startTimeout, func() bool {
		for _, m := range f.controls {
			status, err := call(m.IP, names["replace"], config)
			if err == nil && status == http.StatusOK {
				f.record.note("operator: %s acknowledges the configuration", m.Name)
				return true
			}
		}
		return false
	})
}

// await polls a condition until it holds.
func await(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return errTimeout
}

// call sends a call to a control host.
func call(ip, path string, body []byte) (int, error) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+ip+":8544"+path, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
