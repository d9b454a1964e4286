// Package setting checks the settings of a host when it starts and reports all
// faults at once.
package setting

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/mustardramp/mustardramp"
)

// Fault is a setting that keeps a host from starting.
type Fault struct {
	// Flag is the name of the flag, such as "--zone".
	Flag string
	// Reason says what is wrong with the value.
	Reason string
	// Remedy says what to do about it.
	Remedy string
}

// Faults lists all settings that keep a host from starting. It is an error if it
// is not empty.
type Faults []Fault

// Error returns all faults in one line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fmt.Sprintf("%s %s: %s", fault.Flag, fault.Reason, fault.Remedy)
	}
	return strings.Join(lines, "; ")
}

// Checker checks settings and collects their faults. Its zero value is ready to
// use.
type Checker struct {
	faults Faults
	// listeners holds the flag of each address, to find addresses that two flags
	// use.
	listeners map[netip.AddrPort]string
}

// Err returns the faults found as an error of type Faults, or nil if there are
// none.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return c.faults
}

func (c *Checker) addFault(flag, reason, remedy string) {
	c.faults = append(c.faults, Fault{Flag: flag, Reason: reason, Remedy: remedy})
}

// Name checks that the name of a host is not empty and has only lower-case letters,
// digits and dashes.
func (c *Checker) Name(flag, name string) {
	if name == "" {
		c.addFault(flag, "is empty", "give the host a name that no other has")
		return
	}
	for _, r := range name {
		isAllowed := r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-'
		if !isAllowed {
			c.addFault(flag, fmt.Sprintf("%q is not a plain name", name), "use a-z, 0-9 and dashes")
			return
		}
	}
}

// Place checks a zone and its region against the known zones. If no zones are
// known, any names are valid.
func (c *Checker) Place(place mustardramp.Place, zones map[mustardramp.Zone]mustardramp.Region) {
	if place.Zone == "" {
		c.addFault("--zone", "is empty", "name the availability zone")
	}
	if place.Region == "" {
		c.addFault("--region", "is empty", "name the region")
	}
	if len(zones) == 0 || place.Zone == "" {
		return
	}
	region, ok := zones[place.Zone]
	if !ok {
		c.addFault("--zone", fmt.Sprintf("%q is unknown", place.Zone), "use one of "+zoneNames(zones))
		return
	}
	if region != place.Region {
		c.addFault("--region", fmt.Sprintf("%q does not hold zone %q", place.Region, place.Zone), fmt.Sprintf("use %q", region))
	}
}

// zoneNames lists the sorted names of zones, separated by commas.
func zoneNames(zones map[mustardramp.Zone]mustardramp.Region) string {
	names := make([]string, 0, len(zones))
	for z := range zones {
		names = append(names, string(z))
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Address parses an "ip:port". If it is not valid, Address returns the zero
// AddrPort.
func (c *Checker) Address(flag, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.addFault(flag, fmt.Sprintf("%q is not ip:port", text), "write an IP number and a port, such as 127.0.0.1:7001")
		return netip.AddrPort{}
	}
	return address
}

// Listener parses an address to listen on. It checks that no other flag has the
// address and that the port is free.
func (c *Checker) Listener(flag, text string) netip.AddrPort {
	address := c.Address(flag, text)
	if !address.IsValid() || address.Port() == 0 {
		return address
	}
	if other, ok := c.listeners[address]; ok {
		c.addFault(flag, fmt.Sprintf("%s clashes with %s", address, other), "give each its own port")
		return address
	}
	if c.listeners == nil {
		c.listeners = map[netip.AddrPort]string{}
	}
	c.listeners[address] = flag
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		c.addFault(flag, fmt.Sprintf("%s cannot be listened on (%v)", address, err), "free the port or take another")
		return address
	}
	_ = listener.Close()
	return address
}

// Folder checks that the process can write to a data folder. It makes the folder if
// there is none.
func (c *Checker) Folder(flag, path string) {
	if path == "" {
		c.addFault(flag, "is empty", "name a folder on a disk that lasts")
		return
	}
	if err := os.MkdirAll(path, 0o750); err != nil {
		c.addFault(flag, fmt.Sprintf("%q cannot be made (%v)", path, err), "name a folder that the process may write")
		return
	}
	probe, err := os.CreateTemp(path, ".probe-*")
	if err != nil {
		c.addFault(flag, fmt.Sprintf("%q cannot be written (%v)", path, err), "name a folder that the process may write")
		return
	}
	_ = probe.Close()
	_ = os.Remove(probe.Name())
}

// Grace checks that the time until the process is ended from outside, if there is one,
// is longer than the time for which a stopping host accepts requests.
func (c *Checker) Grace(flag string, grace time.Duration, delayFlag string, delay time.Duration) {
	if grace < 0 || grace > 0 && grace <= delay {
		c.addFault(flag, fmt.Sprintf("%s is not longer than %s (%s)", grace, delayFlag, delay), "give the time between SIGTERM and SIGKILL, or 0 if there is no SIGKILL")
	}
}

// minMemory is the least memory that a host can work with.
const minMemory mustardramp.Bytes = 32 << 20

// Memory checks the memory that a process may use. 0 stands for no limit.
func (c *Checker) Memory(flag string, memory mustardramp.Bytes) {
	if memory != 0 && memory < minMemory {
		c.addFault(flag, fmt.Sprintf("%d bytes are less than %d", memory, minMemory), "give the bytes that the process may use, or 0 for no limit")
	}
}

// NotNegative checks a limit whose default is 0.
func (c *Checker) NotNegative(flag string, n int64) {
	if n < 0 {
		c.addFault(flag, fmt.Sprintf("%d is negative", n), "give a limit, or 0 for the default")
	}
}

// Pipeline checks the requests of a connection that may be in progress.
func (c *Checker) Pipeline(flag string, requests int) {
	if requests < 1 {
		c.addFault(flag, fmt.Sprintf("%d requests are less than 1", requests), "give 1 to run requests one after the other, or more")
	}
}

// Pair checks that a certificate and its key are both named or both left out, and
// that the files can be read.
func (c *Checker) Pair(certFlag, cert, keyFlag, key string) {
	if (cert == "") != (key == "") {
		c.addFault(certFlag, "and "+keyFlag+" stand alone", "give both or neither")
		return
	}
	c.File(certFlag, cert)
	c.File(keyFlag, key)
}

// File checks that a file can be read. An empty path is valid.
func (c *Checker) File(flag, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		c.addFault(flag, err.Error(), "name a readable file")
		return
	}
	_ = f.Close()
}

// Secret checks that a token is long enough.
func (c *Checker) Secret(flag, token string) {
	if len(token) < minSecretLength {
		c.addFault(flag, fmt.Sprintf("has fewer than %d characters", minSecretLength), "set a long random token")
	}
}

// minSecretLength is the minimum length of a token in bytes.
const minSecretLength = 16

// Member is a control host in the settings.
type Member struct {
	Name    mustardramp.HostName
	Address netip.AddrPort
	Place   mustardramp.Place
}

// Members parses texts of the form "name=ip:port/zone/region" and checks that no
// name and no address occurs twice.
func (c *Checker) Members(flag string, texts []string) []Member {
	members := make([]Member, 0, len(texts))
	names := map[mustardramp.HostName]bool{}
	addresses := map[netip.AddrPort]bool{}
	for _, text := range texts {
		m, ok := c.parseMember(flag, text)
		if !ok {
			continue
		}
		if names[m.Name] {
			c.addFault(flag, fmt.Sprintf("names host %q twice", m.Name), "give each host its own name")
		}
		if addresses[m.Address] {
			c.addFault(flag, fmt.Sprintf("names address %s twice", m.Address), "give each host its own address")
		}
		names[m.Name], addresses[m.Address] = true, true
		members = append(members, m)
	}
	return members
}

// parseMember parses one text of Members. It returns false if the text is not valid.
func (c *Checker) parseMember(flag, text string) (Member, bool) {
	name, location, ok := strings.Cut(text, "=")
	parts := strings.Split(location, "/")
	if !ok || name == "" || len(parts) != 3 || parts[1] == "" || parts[2] == "" {
		c.addFault(flag, fmt.Sprintf("%q is not a member", text), "write name=ip:port/zone/region")
		return Member{}, false
	}
	address := c.Address(flag, parts[0])
	place := mustardramp.Place{Zone: mustardramp.Zone(parts[1]), Region: mustardramp.Region(parts[2])}
	return Member{Name: mustardramp.HostName(name), Address: address, Place: place}, address.IsValid()
}

// Self checks that the list of control hosts names this host.
func (c *Checker) Self(nameFlag string, name mustardramp.HostName, listFlag string, members []Member) {
	for _, m := range members {
		if m.Name == name {
			return
		}
	}
	c.addFault(listFlag, fmt.Sprintf("does not name %q", name), "add this host to the list, with the name of "+nameFlag)
}
