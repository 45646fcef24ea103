// Command standin runs one emulated system for development: the platform, a model engine or a plain service.
package main

import (
	"os"

	"github.com/dogwoodledge/dogwoodledge/pkg/emulator"
)

func main() {
	os.Exit(emulator.Main(os.Args[1:]))
}
