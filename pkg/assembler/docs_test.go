package assembler

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
)

func readDoc(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile("../../docs/" + name)
	require.NoError(t, err)
	return string(raw)
}

// TestEveryMetricIsDescribed checks that docs/OPERATORS.md names every metric of the daemon.
func TestEveryMetricIsDescribed(t *testing.T) {
	page := readDoc(t, "OPERATORS.md")
	found := 0
	for _, file := range []string{"metrics.go", "../server/metrics.go"} {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, m := range regexp.MustCompile(`"(dogwoodledge\.[a-z.]+)"`).FindAllStringSubmatch(string(raw), -1) {
			found++
			assert.Contains(t, page, "`"+m[1]+"`")
		}
	}
	assert.Greater(t, found, 20)
}

// keysOf returns the YAML keys of a type, including those of nested structs of this project.
func keysOf(typ reflect.Type) []string {
	keys := []string{}
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if f.Type.Kind() == reflect.Struct && strings.Contains(f.Type.PkgPath(), "dogwoodledge") {
			keys = append(keys, keysOf(f.Type)...)
		} else if name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}

// TestEveryKeyIsDescribed checks that docs/SETTINGS.md names the keys of the settings and declarations.
func TestEveryKeyIsDescribed(t *testing.T) {
	page := readDoc(t, "SETTINGS.md")
	for _, typ := range []reflect.Type{
		reflect.TypeFor[loader.Settings](), reflect.TypeFor[declarer.Account](), reflect.TypeFor[declarer.Model](),
		reflect.TypeFor[declarer.Route](), reflect.TypeFor[declarer.Endpoint](), reflect.TypeFor[declarer.Region](),
		reflect.TypeFor[declarer.Link](), reflect.TypeFor[declarer.Preset](),
	} {
		for _, key := range keysOf(typ) {
			assert.Regexp(t, "[`.]"+regexp.QuoteMeta(key)+"`", page, "%s of %s", key, typ)
		}
	}
}

// TestEveryProblemIsDescribed checks that docs/INTERFACE.md names the code of every problem that pkg/server answers with.
func TestEveryProblemIsDescribed(t *testing.T) {
	page := readDoc(t, "INTERFACE.md")
	found := 0
	for _, file := range []string{"problem", "middleware", "server", "chat", "services", "operators", "orders"} {
		raw, err := os.ReadFile("../server/" + file + ".go")
		require.NoError(t, err)
		for _, m := range regexp.MustCompile(`newProblem\([^,]+, "(\w+)"`).FindAllStringSubmatch(string(raw), -1) {
			found++
			assert.Contains(t, page, "`"+m[1]+"`")
		}
	}
	assert.Greater(t, found, 10)
}
