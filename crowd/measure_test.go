package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meter samples the open descriptors of a process until it is stopped.
type meter struct {
	pid     int
	stop    chan struct{}
	stopped sync.WaitGroup
	maxFds  int
}

func newMeter(pid int) *meter {
	m := &meter{pid: pid, stop: make(chan struct{})}
	m.stopped.Add(1)
	go m.run()
	return m
}

func (m *meter) run() {
	defer m.stopped.Done()
	tick := time.NewTicker(pollPause)
	defer tick.Stop()
	for {
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid))
		if err == nil {
			m.maxFds = max(m.maxFds, len(files))
		}
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
	}
}

// end stops the sampling and returns the largest number of descriptors seen.
func (m *meter) end() int {
	close(m.stop)
	m.stopped.Wait()
	return m.maxFds
}

// memoryMbOf returns the value in MB of a line of the process's status, such as VmHWM; -1 if the process has ended.
func memoryMbOf(pid int, name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			if err != nil {
				return -1
			}
			return kb / 1024
		}
	}
	return -1
}
