package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// lateCalls is the number of calls about jobs that come while a VM stops, spread over the grace period.
	lateCalls = 16
	// lossSlack is how long after its last byte was sent a request may cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// busySlack is added to lossSlack where the machine may be busy.
	busySlack = time.Second
	// bodyPause is the time between the halves of a body that comes slowly.
	bodyPause = 400 * time.Millisecond
)

// callWhileStopping stops a VM to which the store is silent, while calls about jobs come on connections that were opened before.
// Each call that the VM has read must be answered.
func (s *soak) callWhileStopping(inj *injection) {
	v := s.fleet.vms[inj.n%len(s.fleet.vms)]
	s.recordInjection(inj, "calls about jobs while "+v.name+" stops and the store is silent")
	s.outages.recordDown(v.name, time.Now().Add(grace+recoveryTime))
	s.setStoreFault(v.name, standin.Silent)
	var wg sync.WaitGroup
	for n := range lateCalls {
		wg.Go(func() { s.callLate(v, time.Duration(n)*grace/lateCalls, (inj.n+n)%3) })
	}
	time.Sleep(bodyPause)
	wg.Go(func() {
		time.Sleep(time.Duration(inj.n) * time.Millisecond % grace)
		v.signal(syscall.SIGHUP)
		time.Sleep(bodyPause)
		v.signal(syscall.SIGTERM)
	})
	s.stopPlanned(v)
	wg.Wait()
	s.setStoreFault(v.name, standin.NoFault)
	v.start()
}

// callLate opens a connection to the VM and makes a call of one of three forms on it after the time: a read, an end, or a
// submission whose body comes slowly.
func (s *soak) callLate(v *vm, after time.Duration, form int) {
	target, err := url.Parse(v.url(""))
	if err != nil {
		panic(err)
	}
	conn, err := net.Dial("tcp4", target.Host)
	if err != nil {
		s.addViolation("%s takes no connection before its stop: %v", v.name, err)
		return
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(bodyPause + after)
	const body = `{"items":[]}`
	head, rest := fmt.Sprintf("GET /lots/late-%d HTTP/1.1\r\nHost: %s\r\n\r\n", after, host), ""
	switch form {
	case 1:
		head = fmt.Sprintf("DELETE /lots/late-%d HTTP/1.1\r\nHost: %s\r\n\r\n", after, host)
	case 2:
		head = fmt.Sprintf("POST %slate HTTP/1.1\r\nHost: %s\r\nX-Request-Id: late-%d\r\nContent-Length: %d\r\n\r\n%s",
			batchJobs.prefix, host, after, len(body), body[:len(body)/2])
		rest = body[len(body)/2:]
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	if rest != "" {
		time.Sleep(bodyPause)
		if _, err := io.WriteString(conn, rest); err != nil {
			return
		}
	}
	sent := time.Now()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	allowed := lossSlack
	if !isTimed {
		allowed += busySlack
	}
	if took := time.Since(sent); err != nil && took > allowed {
		s.addViolation("LOST: a call of form %d about a job, sent to %s %s after its stop, ended after %s without an answer: %v",
			form, v.name, after, took.Round(time.Millisecond), err)
	}
}
