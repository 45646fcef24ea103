// Command dogwoodledged is the daemon that runs on every entry VM.
package main

import (
	"os"

	"github.com/dogwoodledge/dogwoodledge/pkg/assembler"
)

func main() {
	os.Exit(assembler.Main(os.Args[1:]))
}
