package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runSoak runs the soak with a program built from this tree.
func runSoak(t *testing.T, change func(*settings)) error {
	t.Helper()
	s := &settings{
		Seed: 1, For: 4 * time.Second, Controls: 3, Entries: 3, Backends: 4, Rate: 40,
		Binary: filepath.Join(t.TempDir(), "mustardramp"), Logs: t.TempDir(),
	}
	build := exec.Command("go", "build", "-o", s.Binary, "github.com/mustardramp/mustardramp/cmd/mustardramp")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v: %s", s.Binary, err, out)
	}
	change(s)
	return run(t.Context(), s)
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	if err := runSoak(t, func(*settings) {}); err != nil {
		t.Error(err)
	}
}

// TestBrokenPromisesAreReported breaks each promise on purpose. It guards against
// a check that passes whatever the fleet does.
func TestBrokenPromisesAreReported(t *testing.T) {
	tests := map[string]string{
		"twice":  "at most once",
		"denial": "not run",
		"answer": "whole and own answers",
		"config": "configuration",
	}
	for promise, want := range tests {
		t.Run(promise, func(t *testing.T) {
			err := runSoak(t, func(s *settings) { s.For, s.Break = time.Second, promise })
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got %v, want an error about %q", err, want)
			}
		})
	}
}
