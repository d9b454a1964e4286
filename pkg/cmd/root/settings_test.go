package root

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/mustardramp/mustardramp/pkg/cmd/factory"
)

// settingsRow returns the row that docs/SETTINGS.md must have for a flag.
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

// TestEverySettingIsDocumented fails if docs/SETTINGS.md has no row for a flag of a
// host, or one with another environment variable, default or description.
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
					t.Errorf("row missing in docs/SETTINGS.md:\n%s", want)
				}
			}
		}
	}
}
