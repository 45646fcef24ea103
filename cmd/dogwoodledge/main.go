// Command dogwoodledge is the command line for operators and callers.
package main

import (
	"os"

	"github.com/dogwoodledge/dogwoodledge/pkg/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
