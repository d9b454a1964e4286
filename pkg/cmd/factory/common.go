package factory

import (
	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/host"
	"github.com/mustardramp/mustardramp/internal/setting"
)

// Common holds the flags that entry and control hosts share.
type Common struct {
	Name              string            `help:"The host's name; no other host has it." required:"" env:"MUSTARDRAMP_NAME"`
	Zone              string            `help:"Availability zone." required:"" env:"MUSTARDRAMP_ZONE"`
	Region            string            `help:"Region." required:"" env:"MUSTARDRAMP_REGION"`
	Zones             map[string]string `help:"Known zones with their regions; the host's own is checked against them." env:"MUSTARDRAMP_ZONES" placeholder:"ZONE=REGION"`
	Link              string            `help:"Address for the other hosts." default:"127.0.0.1:7004" env:"MUSTARDRAMP_LINK" placeholder:"IP:PORT"`
	AdminListen       string            `help:"Address of the administration API." default:"127.0.0.1:7003" env:"MUSTARDRAMP_ADMIN_LISTEN" placeholder:"IP:PORT"`
	AdminToken        string            `help:"Administration token, of 16 characters or more." required:"" env:"MUSTARDRAMP_ADMIN_TOKEN"`
	Control           []string          `help:"Control hosts." required:"" env:"MUSTARDRAMP_CONTROL" placeholder:"NAME=IP:PORT/ZONE/REGION"`
	Seeds             []string          `help:"Link addresses of entry hosts to join by when no control host answers." env:"MUSTARDRAMP_SEEDS" placeholder:"IP:PORT"`
	LinkCert          string            `help:"PEM file of the host's certificate for links; turns mutual TLS on." env:"MUSTARDRAMP_LINK_CERT"`
	LinkKey           string            `help:"PEM file of the link certificate's key." env:"MUSTARDRAMP_LINK_KEY"`
	LinkCA            string            `help:"PEM file of the authority of the hosts' certificates." env:"MUSTARDRAMP_LINK_CA"`
	AdminCert         string            `help:"PEM file of the administration API's certificate; turns TLS on." env:"MUSTARDRAMP_ADMIN_TLS_CERT"`
	AdminKey          string            `help:"PEM file of the administration certificate's key." env:"MUSTARDRAMP_ADMIN_TLS_KEY"`
	AdminCA           string            `help:"PEM file of the authority of operators' certificates." env:"MUSTARDRAMP_ADMIN_TLS_CA"`
	CallerMemory      mustardramp.Bytes `help:"Memory that the host may use for callers, in bytes; 0 means a quarter of --memory." default:"0" env:"MUSTARDRAMP_CALLER_MEMORY"`
	CallerConnections int               `help:"Connections of callers; 0 means three eighths of the descriptors that the process may open, or half of --caller-memory at 16 KiB each if that is less." default:"0" env:"MUSTARDRAMP_CALLER_CONNECTIONS"`
	CallerEmptyLines  int               `help:"Empty lines that a caller may send before a request." default:"8" env:"MUSTARDRAMP_CALLER_EMPTY_LINES"`
	Memory            mustardramp.Bytes `help:"Memory that the process may use, in bytes; 0 sets no limit." default:"0" env:"MUSTARDRAMP_MEMORY"`
}

// Check returns the flags as settings of a host. It reports invalid flags to check.
func (c *Common) Check(check *setting.Checker) host.Common {
	zones := make(map[mustardramp.Zone]mustardramp.Region, len(c.Zones))
	for zone, region := range c.Zones {
		zones[mustardramp.Zone(zone)] = mustardramp.Region(region)
	}
	common := host.Common{
		Name:              mustardramp.HostName(c.Name),
		Place:             mustardramp.Place{Zone: mustardramp.Zone(c.Zone), Region: mustardramp.Region(c.Region)},
		Link:              check.Listener("--link", c.Link),
		Admin:             check.Listener("--admin-listen", c.AdminListen),
		AdminToken:        c.AdminToken,
		Control:           check.Members("--control", c.Control),
		LinkTLS:           host.Files{Cert: c.LinkCert, Key: c.LinkKey, CA: c.LinkCA},
		AdminTLS:          host.Files{Cert: c.AdminCert, Key: c.AdminKey, CA: c.AdminCA},
		Memory:            c.Memory,
		CallerMemory:      c.CallerMemory,
		CallerConnections: c.CallerConnections,
		EmptyLines:        c.CallerEmptyLines,
	}
	check.Name("--name", c.Name)
	check.Place(common.Place, zones)
	check.Secret("--admin-token", c.AdminToken)
	check.Pair("--link-cert", c.LinkCert, "--link-key", c.LinkKey)
	check.Pair("--admin-cert", c.AdminCert, "--admin-key", c.AdminKey)
	check.File("--link-ca", c.LinkCA)
	check.File("--admin-ca", c.AdminCA)
	check.Memory("--memory", c.Memory)
	check.NotNegative("--caller-memory", int64(c.CallerMemory))
	check.NotNegative("--caller-connections", int64(c.CallerConnections))
	check.NotNegative("--caller-empty-lines", int64(c.CallerEmptyLines))
	for _, seed := range c.Seeds {
		if address := check.Address("--seeds", seed); address.IsValid() {
			common.Seeds = append(common.Seeds, address)
		}
	}
	return common
}
