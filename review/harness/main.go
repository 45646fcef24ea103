//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long; a case may take 120 s.
const caseLimit = 112 * time.Second

// play is one case: it returns the breaks of the rule that it saw.
type play func(w *world) (breaks []string, err error)

var plays = map[string]play{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness PLAY FOLDER, in the repository root")
		return exitNotRun
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such play:", os.Args[1])
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := p(w)
		done <- result{breaks, err}
	}()
	select {
	case r := <-done:
		return conclude(w, r.breaks, r.err)
	case <-stop:
		w.logf("stopped by a signal")
	case <-time.After(caseLimit):
		w.logf("the case took too long")
	}
	return exitNotRun
}

func conclude(w *world, breaks []string, err error) int {
	if err != nil {
		w.logf("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	if len(breaks) == 0 {
		w.logf("HELD")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range breaks {
		w.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	return exitBroken
}
