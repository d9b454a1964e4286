package setting_test

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/setting"
)

func TestCheckerReportsAllFaultsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	regularFile := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(regularFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	zones := map[mustardramp.Zone]mustardramp.Region{"kol-a": "kolkata", "sil-a": "siliguri"}
	var c setting.Checker
	c.Name("--name", "Entry 1")
	c.Place(mustardramp.Place{Zone: "kol-z", Region: "kolkata"}, zones)
	c.Place(mustardramp.Place{Zone: "kol-a", Region: "siliguri"}, zones)
	c.Listener("--listen", "localhost:80")
	c.Listener("--listen", listener.Addr().String())
	c.Listener("--admin-listen", "127.0.0.1:1")
	c.Listener("--link", "127.0.0.1:1")
	c.Folder("--data", regularFile)
	c.Pair("--tls-cert", "cert.pem", "--tls-key", "")
	c.Secret("--admin-token", "short")
	c.Members("--members", []string{"c1=127.0.0.1:1/kol-a/kolkata", "c1=127.0.0.1:1/kol-a/kolkata", "c2"})
	c.Grace("--grace", 5*time.Second, "--stop-delay", 5*time.Second)
	c.Grace("--grace-after", -time.Second, "--stop-delay", 0)
	c.Pipeline("--pipeline", 0)
	c.Memory("--memory", 280)
	c.NotNegative("--caller-connections", -1)
	got := c.Err().Error()
	for name, want := range map[string]string{
		"invalid name":            `--name "Entry 1" is not a plain name`,
		"unknown zone":            `--zone "kol-z" is unknown: use one of kol-a, sil-a`,
		"wrong region":            `--region "siliguri" does not hold zone "kol-a"`,
		"not ip:port":             `--listen "localhost:80" is not ip:port`,
		"port in use":             "cannot be listened on",
		"address used twice":      "--link 127.0.0.1:1 clashes with --admin-listen",
		"folder is a file":        "--data",
		"certificate without key": "--tls-cert and --tls-key stand alone",
		"short token":             "--admin-token has fewer than 16 characters",
		"duplicate host":          `--members names host "c1" twice`,
		"duplicate address":       "--members names address 127.0.0.1:1 twice",
		"grace within the delay":  "--grace 5s is not longer than --stop-delay (5s)",
		"no request at a time":    "--pipeline 0 requests are less than 1",
		"negative grace":          "--grace-after -1s is not longer than --stop-delay",
		"negative limit":          "--caller-connections -1 is negative",
		"memory in megabytes":     "--memory 280 bytes are less than 33554432",
		"malformed member":        `--members "c2" is not a member`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%s: got %q, want it to hold %q", name, got, want)
		}
	}
}

func TestCheckerAcceptsGoodSettings(t *testing.T) {
	var c setting.Checker
	c.Name("--name", "entry-1")
	c.Memory("--memory", 0)
	c.NotNegative("--caller-memory", 0)
	c.Memory("--memory", 280<<20)
	c.Grace("--grace", 0, "--stop-delay", 5*time.Second)
	c.Grace("--grace", 6*time.Second, "--stop-delay", 5*time.Second)
	c.Pipeline("--pipeline", 1)
	c.Place(mustardramp.Place{Zone: "kol-a", Region: "kolkata"}, nil)
	c.Listener("--listen", "127.0.0.1:0")
	c.Folder("--data", filepath.Join(t.TempDir(), "new"))
	c.Pair("--tls-cert", "", "--tls-key", "")
	c.Secret("--admin-token", "0123456789abcdef")
	members := c.Members("--members", []string{"c1=127.0.0.1:7104/kol-a/kolkata"})
	if err := c.Err(); err != nil {
		t.Errorf("got %v, want no faults", err)
	}
	if got, want := len(members), 1; got != want {
		t.Errorf("got %d members, want %d", got, want)
	}
}
