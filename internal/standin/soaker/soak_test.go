package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cyclamenward/cyclamenward/internal/standin/launcher"
	"github.com/cyclamenward/cyclamenward/platform"
	"gotest.tools/v3/assert"
)

// roleVariable makes the test binary run the daemon of a role.
const roleVariable = "CYCLAMENWARD_SOAKER_ROLE"

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		if err := platform.Run(role); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testProgram runs the daemons by this binary.
func testProgram() launcher.Program {
	return launcher.Program{Path: os.Args[0], RoleVariable: roleVariable}
}

// TestSoak plays a short time of each plan.
func TestSoak(t *testing.T) {
	for seed := range uint64(len(plans)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			broken, err := PlaySoak(SoakOptions{Seed: seed, Time: 4 * time.Second, Folder: t.TempDir(), Program: testProgram(), Out: t.Output()})
			assert.NilError(t, err)
			for _, text := range broken {
				t.Error(text)
			}
		})
	}
}

// TestProductSoak plays a short time on the product's own interface.
func TestProductSoak(t *testing.T) {
	binaries := os.Getenv("CYCLAMENWARD_BIN")
	assert.Assert(t, binaries != "", "run this test by make test, which builds the programs")
	t.Parallel()
	broken, err := PlayProduct(ProductOptions{Seed: 1, Time: 4 * time.Second, Folder: t.TempDir(), ProductPath: filepath.Join(binaries, "cyclamenward"), StandinPath: filepath.Join(binaries, "standin"), Out: t.Output()})
	assert.NilError(t, err)
	for _, text := range broken {
		t.Error(text)
	}
}

// TestScenarios plays the cases of the review that take little time.
func TestScenarios(t *testing.T) {
	for _, name := range []string{"silence", "form", "watchcut"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, err := PlayScenario(name, Play{Folder: t.TempDir(), Program: testProgram(), Out: t.Output()})
			assert.NilError(t, err)
			for _, text := range broken {
				t.Error(text)
			}
		})
	}
}
