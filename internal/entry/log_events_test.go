package entry

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestLogEventsAreDocumented checks that every event that a package logs is listed
// in docs/LOGS.md.
func TestLogEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	call := regexp.MustCompile(`(?:InfoS\(|ErrorS\(\w+, )"([^"]+)"`)
	name := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	found := 0
	dirs, _ := filepath.Glob("../*")
	dirs = append(dirs, "../../platform")
	for _, dir := range dirs {
		files, _ := filepath.Glob(filepath.Join(dir, "*.go"))
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range call.FindAllStringSubmatch(string(text), -1) {
				found++
				if !name.MatchString(match[1]) {
					t.Errorf("%s: got the event %q, want kebab case", file, match[1])
				}
				if !strings.Contains(string(page), "| `"+match[1]+"` |") {
					t.Errorf("%s: got the event %q, want it listed in docs/LOGS.md", file, match[1])
				}
			}
		}
	}
	if found < 40 {
		t.Errorf("events: got %d, want at least 40", found)
	}
}
