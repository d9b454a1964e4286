package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// groupLeader returns the name of a group's leader as a control host sees it.
func (f *processFleet) groupLeader(control int, group string) (string, error) {
	out, err := f.runCommandAt(f.control[control].admin, "fleet", "status")
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	for _, line := range strings.Split(out, "\n") {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == group && fields[1] != "none" {
			return fields[1], nil
		}
	}
	return "", fmt.Errorf("no leader of %s in %s", group, out)
}

// certify sends a certification with a key of its own.
func (f *processFleet) certify(key string) error {
	status, body, _, err := f.send(0, http.MethodPost, "mohor.sutradhar.example", "/certifications", strings.NewReader("order"), "Idempotency-Key", key)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

// TestNoLeaderAfterARestart restarts a follower of the ledger's group and kills the
// leader. The two others must elect one in the time that the deployments allow for a
// recovery, although they had nothing to send each other before.
func TestNoLeaderAfterARestart(t *testing.T) {
	const (
		group    = "ledger-kolkata"
		recovery = 15 * time.Second
	)
	f := startProcessFleet(t, 3, 1)
	f.publish("mohor.yaml")
	f.startBackend("mohor", 6, time.Millisecond)
	eventually(t, "the first certification", func() error { return f.certify("first") })

	leader := ""
	eventually(t, "a leader", func() error {
		var err error
		leader, err = f.groupLeader(0, group)
		return err
	})
	lead, restarted := -1, -1
	for i, c := range f.control {
		if c.name == leader {
			lead = i
		} else {
			restarted = i
		}
	}
	if lead < 0 {
		t.Fatalf("got leader %q, want a control host", leader)
	}
	if err := f.control[restarted].terminate(); err != nil {
		t.Fatal(err)
	}
	f.control[restarted].start()
	eventually(t, "the restarted host to know the leader", func() error {
		_, err := f.groupLeader(restarted, group)
		return err
	})
	f.control[lead].kill()
	killed := time.Now()
	eventually(t, "a certification after the loss of the leader", func() error {
		return f.certify(fmt.Sprint("later-", time.Since(killed).Milliseconds()))
	})
	if got := time.Since(killed); got > recovery {
		t.Errorf("got %v until the ledger answered, want at most %v", got, recovery)
	}
}
