package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
)

// TestBadDeclarations parses each file of testdata/bad together with testdata/base.yaml. The lines of the file that start with
// "#=> " are the errors that it must give.
func TestBadDeclarations(t *testing.T) {
	cases, err := filepath.Glob("testdata/bad/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, cases)
	base, err := os.ReadFile("testdata/base.yaml")
	require.NoError(t, err)
	for _, path := range cases {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".yaml"), func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			wants := []string{}
			for _, line := range strings.Split(string(text), "\n") {
				if want, ok := strings.CutPrefix(line, "#=> "); ok {
					wants = append(wants, want)
				}
			}
			_, err = Parse([]File{{Name: "base.yaml", Text: base}, {Name: filepath.Base(path), Text: text}})
			var fields *FieldErrors
			require.ErrorAs(t, err, &fields)
			require.Equal(t, strings.Join(wants, "\n"), err.Error())
		})
	}
}

func TestExamplesAreGood(t *testing.T) {
	dirs, err := filepath.Glob("../../examples/*/declarations")
	require.NoError(t, err)
	require.NotEmpty(t, dirs)
	for _, dir := range dirs {
		files, err := ReadDir(dir)
		require.NoError(t, err)
		_, err = Parse(files)
		require.NoError(t, err, dir)
	}
	settings, err := filepath.Glob("../../examples/*/settings/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, settings)
	for _, file := range settings {
		_, err := ReadSettings(file)
		require.NoError(t, err, file)
	}
}

func TestBadSettings(t *testing.T) {
	text := `vm: {id: vm-1, region: syd}
listen: {callers: 127.0.0.1:1, operators: localhost:2, vms: 127.0.0.1:3}
platform: {address: 127.0.0.1:4}
fleet: {key: "00"}
operators: {keyHashes: []}
`
	_, err := ParseSettings("vm.yaml", []byte(text))
	var fields *FieldErrors
	require.ErrorAs(t, err, &fields)
	require.ErrorContains(t, err, "vm.yaml:2: operators: write an IP address and port")
	text = strings.Replace(text, "localhost:2", "127.0.0.1:2", 1)
	_, err = ParseSettings("vm.yaml", []byte(text))
	require.ErrorContains(t, err, "vm.yaml:1: vm.availabilityZone: set this field")
	require.ErrorContains(t, err, `vm.yaml:4: fleet.key is "00": give at least 32`)
	require.ErrorContains(t, err, "vm.yaml:5: operators.keyHashes")
}

// FuzzParse checks that no text makes Parse panic and that a snapshot of parsed declarations can be encoded and decoded.
func FuzzParse(f *testing.F) {
	base, err := os.ReadFile("testdata/base.yaml")
	require.NoError(f, err)
	f.Add(base)
	f.Add([]byte("kind: account\nname: [\n"))
	f.Add([]byte("---\n- 1\n---\nkind: endpoint\naddress: x"))
	f.Fuzz(func(t *testing.T, text []byte) {
		snapshot, err := Parse([]File{{Name: "f.yaml", Text: text}})
		if err != nil {
			return
		}
		raw, hash, err := snapshot.Encode()
		require.NoError(t, err)
		_, err = declarer.Decode(raw, hash)
		require.NoError(t, err)
	})
}
