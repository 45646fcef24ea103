package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdClients is the number of clients of each form in a crowd.
	crowdClients = 8
	// crowdBody is the body size that the configuration allows.
	crowdBody = 1 << 20
)

// crowdForms returns what the clients of a crowd send: none is a whole request.
func crowdForms() [][]byte {
	head := func(path, line string) []byte {
		return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd\r\n%s\r\n\r\n", path, host, line)
	}
	short := bytes.Repeat([]byte("0"), crowdBody-1)
	length := fmt.Sprintf("Content-Length: %d", crowdBody)
	chunk := append([]byte("10000\r\n"), append(bytes.Repeat([]byte("0"), 1<<16), "\r\n"...)...)
	return [][]byte{
		append(head(status.prefix+"crowd", length), short...),
		append(head(batchJobs.prefix+"crowd", length), short...),
		append(head(status.prefix+"crowd", "Transfer-Encoding: chunked"), bytes.Repeat(chunk, 12)...),
		append(head(status.prefix+"crowd", "Transfer-Encoding: chunked"), bytes.Repeat([]byte("1\r\n0\r\n"), 20_000)...),
		[]byte("GET /status/crowd HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 200<<10)),
		[]byte("GET /status/crowd HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 40_000)),
		bytes.Repeat([]byte("\r\n"), 40_000),
		[]byte("G"),
	}
}

// sendCrowd sends a small crowd of clients outside the limits to a VM, beside the callers, whose promises must hold.
func (s *soak) sendCrowd(inj *injection) {
	v := s.fleet.vms[inj.n%len(s.fleet.vms)]
	s.recordInjection(inj, "crowd at "+v.name)
	random := rand.New(rand.NewPCG(uint64(inj.n), 4))
	end := time.Now().Add(inj.duration)
	wg := sync.WaitGroup{}
	for _, form := range crowdForms() {
		for range crowdClients {
			delay := time.Duration(random.Int64N(int64(inj.duration / 2)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(delay)
				sendForm(v, form, end)
			}()
		}
	}
	wg.Wait()
}

// sendForm sends the form on a connection that stays open until end. The VM may close it, or not run at all.
func sendForm(v *vm, form []byte, end time.Time) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:18144", v.ip), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end)
	if _, err := conn.Write(form); err != nil {
		return
	}
	time.Sleep(time.Until(end))
}
