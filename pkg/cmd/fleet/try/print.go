package try

import (
	"fmt"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/fleet"
)

// exampleCalls holds the hosts and paths of the requests in the printed commands: a
// read, and a once-only request.
type exampleCalls struct {
	readHost, readPath string
	onceHost, oncePath string
}

// callsByProfile holds the requests to services of the example contracts.
var callsByProfile = map[string]exampleCalls{
	"sutradhar": {"patha.sutradhar.example", "/transcripts/118", "mohor.sutradhar.example", "/certifications"},
	"nordavind": {"oppslag.nordavind.example", "/parts/118", "tildeling.nordavind.example", "/reservations"},
}

// printUsage prints the addresses of the fleet and commands to try.
func (o *Options) printUsage(f *fleet.Fleet, index mustardramp.Index) {
	p := o.factory.Streams.Print
	p("a fleet is running, configuration %d is in force\n\n", index)
	rows := addressRows(f)
	for _, row := range rows {
		p("  %-14s %-9s %s\n", row[0], row[1], row[2])
	}
	traffic := f.Entry[0].TrafficAddress()
	call := callsByProfile[o.Profile]
	p("\nA call that succeeds:\n\n")
	p("  curl -i -H 'Host: %s' http://%s%s\n", call.readHost, traffic, call.readPath)
	p("\nA call that is refused, because once-only work needs a key:\n\n")
	p("  curl -i -X POST -H 'Host: %s' -H 'X-Request-Id: first-try' http://%s%s\n", call.onceHost, traffic, call.oncePath)
	p("\nThe same call with a key runs once, however often it is sent:\n\n")
	p("  curl -i -X POST -H 'Host: %s' -H 'Idempotency-Key: first-key' http://%s%s\n", call.onceHost, traffic, call.oncePath)
	p("\nWhy was it refused, and did it run?\n\n")
	p("  go run ./cmd/mustardramp refusal why first-try --admin %s --token %s\n", f.Entry[0].AdminAddress(), fleet.AdminToken)
	p("\nThe fleet at a glance:\n\n")
	p("  go run ./cmd/mustardramp fleet status --admin %s --token %s\n\n", f.Entry[0].AdminAddress(), fleet.AdminToken)
}

// addressRows returns the name, purpose and address of every listener.
func addressRows(f *fleet.Fleet) [][3]string {
	var rows [][3]string
	add := func(name, purpose string, address fmt.Stringer) {
		rows = append(rows, [3]string{name, purpose, address.String()})
	}
	for i, c := range f.Control {
		name := fmt.Sprintf("control-%d", i+1)
		add(name, "link", c.LinkAddress())
		add(name, "admin", c.AdminAddress())
	}
	for i, e := range f.Entry {
		name := fmt.Sprintf("entry-%d", i+1)
		add(name, "traffic", e.TrafficAddress())
		add(name, "announce", e.AnnounceAddress())
		add(name, "admin", e.AdminAddress())
	}
	for _, b := range f.Backends {
		add(b.Name, "backend", b.Address)
	}
	return rows
}
