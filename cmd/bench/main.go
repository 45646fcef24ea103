// Command bench simulates the scheduling policies in virtual time and checks the results against their bounds.
package main

import (
	"os"

	"github.com/dogwoodledge/dogwoodledge/pkg/bencher"
)

func main() {
	os.Exit(bencher.Main(os.Args[1:], os.Stdout))
}
