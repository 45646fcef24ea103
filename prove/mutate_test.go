//go:build mutate

package prove

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mutation disables one mechanism in a copy of the source; the test that proves the mechanism must then fail.
type mutation struct {
	Name string `yaml:"name"`
	File string `yaml:"file"`
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
	Test string `yaml:"test"`
	In   string `yaml:"in"`
}

// TestMutations checks for each mutation that its test fails without the mechanism.
func TestMutations(t *testing.T) {
	raw, err := os.ReadFile("testdata/mutations.yaml")
	require.NoError(t, err)
	list := []mutation{}
	require.NoError(t, yaml.Unmarshal(raw, &list))
	for _, m := range list {
		t.Run(m.Name, func(t *testing.T) {
			dir := t.TempDir()
			copyTree(t, "..", dir)
			path := filepath.Join(dir, m.File)
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(text), m.Old), "the text to replace must occur exactly once")
			require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o600))
			cmd := exec.Command("go", "test", "-count=1", "-timeout", "180s", "-run", m.Test, m.In)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			assert.Error(t, err, "%s passes without its mechanism", m.Test)
			assert.NotContains(t, string(out), "[build failed]")
			assert.NotContains(t, string(out), buildFailed)
			assert.NotContains(t, string(out), "no tests to run")
		})
	}
}

func copyTree(t *testing.T, from, to string) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(from, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if rel == ".git" || rel == "tmp" || rel == "bin" {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), raw, 0o600)
	}))
}
