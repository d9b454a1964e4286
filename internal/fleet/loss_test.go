package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// revision returns what an entry host's contract list says of a service.
func (f *processes) revision(entry int, service string) (string, error) {
	out, err := f.command(entry, "contract", "list")
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

// holds waits until every entry host has a revision of a service in force.
func (f *processes) holds(service, want string) {
	f.t.Helper()
	for i := range f.entry {
		eventually(f.t, "revision "+want+" at "+f.entry[i].name, func() error {
			got, err := f.revision(i, service)
			if err == nil && got != want {
				err = fmt.Errorf("got revision %s, want %s", got, want)
			}
			return err
		})
	}
}

func TestContractsSurviveControlHosts(t *testing.T) {
	f := startProcesses(t, 3, 4)
	f.publish("patha.yaml")
	f.backend("patha", 6, time.Millisecond)
	f.serves("GET", "patha.sutradhar.example", "/transcripts/118")

	f.control[0].kill()
	f.publish("patha.yaml")
	f.holds("patha", "2")

	for _, c := range f.control[1:] {
		c.kill()
	}
	if out, err := f.command(0, "contract", "publish", "../../examples/sutradhar/patha.yaml", "--why", "test", "--base", "patha=2"); err == nil {
		t.Errorf("got %q, want no publishing without control hosts", out)
	}
	f.entry[3].kill()
	f.entry[3].start()
	f.serves("GET", "patha.sutradhar.example", "/transcripts/118")
	f.holds("patha", "2")

	for _, c := range f.control {
		c.start()
	}
	f.publish("patha.yaml")
	f.holds("patha", "3")
}

func TestControlHostWithoutItsDiskJoinsAgain(t *testing.T) {
	f := startProcesses(t, 3, 1)
	f.publish("patha.yaml")
	f.control[2].kill()
	replaced := -1
	for i, a := range f.control[2].args {
		if a == "--data" {
			replaced = i + 1
		}
	}
	f.control[2].args[replaced] = t.TempDir()
	f.control[2].start()
	// The group counts on the new member once it votes and the old one is
	// removed; then the loss of another is survived.
	eventually(t, "the new member's vote", func() error {
		out, err := f.groups(2)
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
	f.holds("patha", "2")
}

// groups returns the line of the contracts' group at a control host.
func (f *processes) groups(control int) (string, error) {
	out, err := f.ask(f.control[control].admin, "fleet", "status")
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
