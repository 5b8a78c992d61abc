package soak

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A failure can be reproduced from its seed only if a seed always gives the same
// schedule.
func TestScheduleIsReproducible(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		is.Equal(generateSchedule(seed, 8, 10*time.Second), generateSchedule(seed, 8, 10*time.Second))
	}
	is.True(len(generateSchedule(1, 8, 10*time.Second)) > 5)
}

// Runs every seed that has failed before, against the built program. seeds.txt holds
// each seed with the cause of its failure.
func TestFailedSeeds(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("seeds.txt")
	is.NoErr(err)
	program := filepath.Join(t.TempDir(), "cuminwheel")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/cuminwheel").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for line := range strings.Lines(string(b)) {
		word, cause, _ := strings.Cut(strings.TrimSpace(line), " ")
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			continue // a comment
		}
		t.Run(word, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			r, err := Run(ctx, Options{
				Program: program, Seed: seed, Nodes: 8, Duration: 10 * time.Second, BasePort: 29000, LogDir: t.TempDir(), Rate: 80, Out: io.Discard,
			})
			is.NoErr(err)
			if len(r.Violations) > 0 {
				t.Errorf("violations: %s; earlier failure of this seed: %s", strings.Join(r.Violations, "; "), cause)
			}
		})
	}
}
