package commander

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCases runs each folder of testdata/cases: cmd holds the arguments; expected holds standard output, standard error and
// the exit code.
//
// UPDATE_CASES=1 rewrites the expected files; review them before committing.
func TestCases(t *testing.T) {
	dirs, err := filepath.Glob("testdata/cases/*")
	require.NoError(t, err)
	require.NotEmpty(t, dirs)
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			cmd, err := os.ReadFile(filepath.Join(dir, "cmd"))
			require.NoError(t, err)
			stdout, stderr := &bytes.Buffer{}, &bytes.Buffer{}
			args := strings.Fields(strings.ReplaceAll(string(cmd), "DIR", dir))
			code := run(args, stdout, stderr)
			got := fmt.Sprintf("%s%sexit %d\n", stdout, stderr, code)
			file := filepath.Join(dir, "expected")
			if os.Getenv("UPDATE_CASES") != "" {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
			}
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			assert.Equal(t, string(want), got)
		})
	}
}
