package draws

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestVerdictsDependOnTheTime finds packages whose property tests draw by the time.
func TestVerdictsDependOnTheTime(t *testing.T) {
	draws, seeded := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		draws[dir] = draws[dir] || strings.Contains(string(source), `"pgregory.net/`+`rapid"`)
		seeded[dir] = seeded[dir] || strings.Contains(string(source), `mustardramp/internal/`+`draws"`)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for dir, draws := range draws {
		if !draws {
			continue
		}
		found++
		if !seeded[dir] {
			t.Errorf("%s: got property tests without a seed, want an import of internal/draws", dir)
		}
	}
	if found == 0 {
		t.Error("got no package with property tests, want some")
	}
}
