package rapidseed

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPropertyTestsHaveFixedSeed guards against packages whose tests import rapid
// without importing internal/rapidseed. rapid then derives the seed from the time, and
// the same code may pass one run and fail the next.
func TestPropertyTestsHaveFixedSeed(t *testing.T) {
	usesRapid, seeded := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		usesRapid[dir] = usesRapid[dir] || strings.Contains(string(source), `"pgregory.net/`+`rapid"`)
		seeded[dir] = seeded[dir] || strings.Contains(string(source), `mustardramp/internal/`+`rapidseed"`)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	packages := 0
	for dir, uses := range usesRapid {
		if !uses {
			continue
		}
		packages++
		if !seeded[dir] {
			t.Errorf("%s: got property tests without a fixed seed, want an import of internal/rapidseed", dir)
		}
	}
	if packages == 0 {
		t.Error("got no package with property tests, want at least one")
	}
}
