package floor

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of the state machine tests, so that
// they give the same result every time. Longer runs with other seeds set the
// flags themselves.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000", "rapid.steps": "300"} {
		f := flag.Lookup(name)
		f.DefValue = value
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
