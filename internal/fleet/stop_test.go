package fleet_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/host"
)

// TestStoppedHostStaysReadyBesideFrozenHosts stops an entry host while all other
// entry hosts stand still. It must report that it is not ready by the balancer's
// next question, whatever the hosts do to which it hands over.
func TestStoppedHostStaysReadyBesideFrozenHosts(t *testing.T) {
	const questionInterval = time.Second
	f := startProcessFleet(t, 1, 3)
	for service, path := range map[mustardramp.ServiceName]string{
		"patha": "/transcripts/118", "mohor": "/certifications/118", "dhwani": "/recordings/1/state",
	} {
		f.publish(string(service) + ".yaml")
		f.startBackend(service, 6, time.Millisecond)
		f.waitForService("GET", string(service)+".sutradhar.example", path)
	}
	for _, p := range f.entry[1:] {
		if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
	}
	stopped := f.entry[0]
	if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	eventually(t, "the stopped host to be not ready", func() error {
		response, err := http.Get("http://" + stopped.announce + host.ReadyPath)
		if err != nil {
			// The host has ended.
			return nil
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	})
	if got := time.Since(began); got > questionInterval {
		t.Errorf("got %v until the stopped host was not ready, want at most %v", got, questionInterval)
	}
}
