package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meter samples the open descriptors of a process, and its memory with the bytes that it has not read, until it is stopped.
type meter struct {
	pid     int
	stop    chan struct{}
	stopped sync.WaitGroup
	maxFds  int
	// senders are the ports of those that send to the process; maxMb and maxUnreadMb are in MB.
	senders            map[uint16]bool
	maxMb, maxUnreadMb float64
}

func newMeter(pid int, senders ...uint16) *meter {
	m := &meter{pid: pid, stop: make(chan struct{}), senders: map[uint16]bool{}}
	for _, port := range senders {
		m.senders[port] = true
	}
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
		if len(m.senders) > 0 {
			unread := unreadMb(m.senders)
			m.maxUnreadMb = max(m.maxUnreadMb, unread)
			m.maxMb = max(m.maxMb, memoryMbOf(m.pid, "VmRSS")+unread)
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

// unreadMb returns the MB that have been received from the ports and not been read.
func unreadMb(senders map[uint16]bool) float64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return -1
	}
	unread := uint64(0)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		_, port, _ := strings.Cut(fields[2], ":")
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseUint(port, 16, 16)
		if err != nil || !senders[uint16(n)] {
			continue
		}
		if bytes, err := strconv.ParseUint(received, 16, 64); err == nil {
			unread += bytes
		}
	}
	return float64(unread) / (1 << 20)
}
