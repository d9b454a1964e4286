package factory

import (
	"github.com/mustardramp/mustardramp/pkg/admin"
)

// Remote holds the flags of the commands that call the administration API of a host.
type Remote struct {
	Admin string `help:"Address of a host's administration API, ip:port." default:"127.0.0.1:7003" env:"MUSTARDRAMP_ADMIN" placeholder:"IP:PORT"`
	Token string `help:"Administration token." env:"MUSTARDRAMP_TOKEN"`
	CA    string `help:"PEM file of the certificate authority of the administration API; turns TLS on." env:"MUSTARDRAMP_ADMIN_CA" type:"existingfile"`
	Cert  string `help:"PEM file of a client certificate." env:"MUSTARDRAMP_ADMIN_CERT" type:"existingfile"`
	Key   string `help:"PEM file of the client certificate's key." env:"MUSTARDRAMP_ADMIN_KEY" type:"existingfile"`
	JSON  bool   `help:"Print JSON."`
}

// Client returns a client of the host that the flags specify.
func (r Remote) Client(f *Factory) (*admin.Client, error) {
	return f.Dial(admin.Target{Address: r.Admin, CA: r.CA, Cert: r.Cert, Key: r.Key})
}

// Auth returns the token, or nil if there is none. A client certificate can replace
// the token.
func (r Remote) Auth() *string {
	if r.Token == "" {
		return nil
	}
	return &r.Token
}
