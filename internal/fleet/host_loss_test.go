package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// contractRevision returns the revision of a service in an entry host's list of
// contracts.
func (f *processFleet) contractRevision(entry int, service string) (string, error) {
	out, err := f.runCommand(entry, "contract", "list")
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	for _, line := range strings.Split(out, "\n") {
		fields := strings.Split(line, "\t")
		if fields[0] == service && len(fields) > 1 {
			return fields[1], nil
		}
	}
	return "", fmt.Errorf("service %s is not listed: %s", service, out)
}

// waitForRevision waits until a revision of a service is in force at every entry
// host.
func (f *processFleet) waitForRevision(service, want string) {
	f.t.Helper()
	for i := range f.entry {
		eventually(f.t, "revision "+want+" at "+f.entry[i].name, func() error {
			got, err := f.contractRevision(i, service)
			if err == nil && got != want {
				err = fmt.Errorf("got revision %s, want %s", got, want)
			}
			return err
		})
	}
}

func TestContractsSurviveLossOfControlHosts(t *testing.T) {
	f := startProcessFleet(t, 3, 4)
	f.publish("patha.yaml")
	f.startBackend("patha", 6, time.Millisecond)
	f.waitForService("GET", "patha.sutradhar.example", "/transcripts/118")

	f.control[0].kill()
	f.publish("patha.yaml")
	f.waitForRevision("patha", "2")

	for _, c := range f.control[1:] {
		c.kill()
	}
	if out, err := f.runCommand(0, "contract", "publish", "../../examples/sutradhar/patha.yaml", "--why", "test", "--base", "patha=2"); err == nil {
		t.Errorf("got %q, want no publishing without control hosts", out)
	}
	f.entry[3].kill()
	f.entry[3].start()
	f.waitForService("GET", "patha.sutradhar.example", "/transcripts/118")
	f.waitForRevision("patha", "2")

	for _, c := range f.control {
		c.start()
	}
	f.publish("patha.yaml")
	f.waitForRevision("patha", "3")
}

func TestControlHostRejoinsAfterDiskLoss(t *testing.T) {
	f := startProcessFleet(t, 3, 1)
	f.publish("patha.yaml")
	f.control[2].kill()
	dataIndex := -1
	for i, a := range f.control[2].args {
		if a == "--data" {
			dataIndex = i + 1
		}
	}
	f.control[2].args[dataIndex] = t.TempDir()
	f.control[2].start()
	// Once the new member votes and the old one is removed, the group survives
	// the loss of another member.
	eventually(t, "the new member's vote", func() error {
		out, err := f.contractsGroupStatus(2)
		if err != nil {
			return err
		}
		if !strings.Contains(out, " follower ") || strings.Count(out, "control-3") != 1 {
			return fmt.Errorf("the new member does not vote yet: %s", out)
		}
		return nil
	})
	f.control[0].kill()
	f.publish("patha.yaml")
	f.waitForRevision("patha", "2")
}

// contractsGroupStatus returns the line on the contracts' group in the fleet
// status of a control host.
func (f *processFleet) contractsGroupStatus(control int) (string, error) {
	out, err := f.runCommandAt(f.control[control].admin, "fleet", "status")
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	for _, line := range strings.Split(out, "\n") {
		if strings.HasPrefix(line, "contracts ") {
			return line, nil
		}
	}
	return "", fmt.Errorf("no group contracts in %s", out)
}
