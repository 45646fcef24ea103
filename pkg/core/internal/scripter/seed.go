package scripter

import (
	"flag"
	"os"
	"testing"
)

// RunSeeded runs a package's tests and exits. The random draws of its property tests come from one fixed seed, so that
// every run gives the same result; flags on the command line, such as -rapid.seed, take precedence.
func RunSeeded(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
