package root

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// settingsRow returns the row of docs/SETTINGS.md for a flag.
func settingsRow(f *kong.Flag) string {
	fallback := f.Default
	if f.Required {
		fallback = "required"
	}
	if fallback == "" {
		fallback = "none"
	}
	return "| `--" + f.Name + "` | " + strings.Join(f.Envs, ", ") + " | " + fallback + " | " + f.Help + " |"
}

// TestEverySettingIsDocumented fails when docs/SETTINGS.md lacks a flag of a
// host, or states another variable, default or meaning.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	parser, err := kong.New(newCommands(factory.New("test")))
	if err != nil {
		t.Fatal(err)
	}
	for _, role := range []string{"entry", "control"} {
		for _, node := range parser.Model.Children {
			if node.Name != role {
				continue
			}
			for _, f := range node.Children[0].Flags {
				if want := settingsRow(f); !strings.Contains(string(page), want) {
					t.Errorf("got no row in docs/SETTINGS.md, want\n%s", want)
				}
			}
		}
	}
}
