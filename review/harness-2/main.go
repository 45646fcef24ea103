//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds a play; a script may last 120 s.
const timeLimit = 112 * time.Second

// cases are the plays by name; each returns whether the rule held.
var cases = map[string]func(*rig) (bool, error){
	"smuggled": playSmuggled,
	"toolarge": playTooLarge,
}

// main plays the case named by the first argument and writes the record to the second one. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		r.close()
		os.Exit(2)
	}()
	held, err := cases[os.Args[1]](r)
	if err != nil {
		r.printf("could not run: %v", err)
	} else {
		r.printf("the rule held: %t", held)
	}
	r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
