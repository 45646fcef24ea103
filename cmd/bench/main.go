// Command bench measures the decisions in virtual time against their bounds.
package main

import (
	"os"

	"github.com/dogwoodledge/dogwoodledge/pkg/bencher"
)

func main() {
	os.Exit(bencher.Main(os.Args[1:], os.Stdout))
}
