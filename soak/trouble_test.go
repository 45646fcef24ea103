package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodledge/dogwoodledge/platform"
	"github.com/dogwoodledge/dogwoodledge/platform/standin"
)

const (
	// limitWindow is the time over which requests to an endpoint with a rate limit are counted; a VM may exceed it for
	// timeToPass.
	limitWindow = 4 * time.Second
	timeToPass  = 500 * time.Millisecond
	// crashingBody is the body of a request under which endpoints crash; others take their places after restartTime.
	crashingBody = "crash"
	restartTime  = 700 * time.Millisecond
	repeatPause  = 100 * time.Millisecond
	// timeToReact is how long after the third crash repetitions of the request may still reach endpoints; then maxLate more may.
	timeToReact = 4 * time.Second
	maxLate     = 3
	repeatTime  = 7 * time.Second
	// repeatedFailures is how many runs of an item fail at an endpoint that repeats answers: less than the route's maxAttempts.
	repeatedFailures = 2
	// slowStep is the time between the events of a stream that is cut by the end of its endpoint.
	slowStep = 60 * time.Millisecond
)

// crashes records the ends of endpoints of one service under the crashing request.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) record() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// late returns the number of endpoints that ended later than timeToReact after the third one.
func (c *crashes) late() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i, at := range c.times {
		if i > 2 && at.Sub(c.times[2]) > timeToReact {
			n++
		}
	}
	return n
}

// injectTroubles injects, beside the other faults, those that only some seeds have. Their draws leave the others as they are.
func (s *soak) injectTroubles(seed uint64, start time.Time) {
	random := rand.New(rand.NewPCG(seed, 2))
	for _, apply := range []func(*injection){
		s.limitEndpoint, s.repeatCrashingRequest, s.mixSoftware, s.repeatAnswers, s.killUnframed, s.nestRoute, s.removeRoute,
		s.sendUnsignedVerdicts, s.sendCrowd, s.sendEndlessAnswers, s.crashEnginesInSeries, s.repeatCrashingStream,
	} {
		inj := &injection{
			at: time.Duration(random.Int64N(int64(injectionWindow / 2))), duration: faultDurationSpan, n: random.IntN(1 << 20),
		}
		if random.IntN(2) == 0 {
			s.wg.Add(1)
			go s.inject(start, inj, apply)
		}
	}
	if hasAccounts(seed) {
		random := rand.New(rand.NewPCG(seed, 7))
		inj := &injection{at: time.Duration(random.Int64N(int64(injectionWindow / 2))), duration: faultDurationSpan}
		s.wg.Add(1)
		go s.inject(start, inj, s.revokeKey)
	}
}

// limitEndpoint makes an endpoint name a rate limit for limitWindow. It must hold unless a VM was down.
func (s *soak) limitEndpoint(inj *injection) {
	inj.duration = limitWindow
	e, perSecond, began := s.fleet.endpointAt(inj.n), 2+inj.n%5, time.Now()
	s.recordInjection(inj, fmt.Sprintf("limit of %d requests a second at %s", perSecond, e.ID))
	e.SetLimit(fmt.Sprint(perSecond))
	defer e.SetLimit("")
	time.Sleep(inj.duration)
	n := 0
	for _, r := range e.Runs() {
		if r.ID != "" && r.At.Sub(began) > timeToPass {
			n++
		}
	}
	allowed := int(1.5*float64(perSecond)*limitWindow.Seconds()) + 5
	if n > allowed && !s.wasAnyVMDown(began) {
		s.addViolation("LIMIT: %s names %d a second and got %d requests in 4 s, allowed %d", e.ID, perSecond, n, allowed)
	}
}

// repeatCrashingRequest sends the crashing request again and again to random VMs.
func (s *soak) repeatCrashingRequest(inj *injection) { s.repeatCrashing(inj, status) }

func (s *soak) repeatCrashing(inj *injection, k kind) {
	inj.duration = repeatTime
	began := time.Now()
	s.recordInjection(inj, "crashing request of "+k.prefix)
	random := rand.New(rand.NewPCG(uint64(inj.n), 3))
	client := &http.Client{Timeout: routeTimeout}
	for i := 0; time.Since(began) < inj.duration; i++ {
		s.sendCrashing(client, s.fleet.vms[random.IntN(len(s.fleet.vms))], k, fmt.Sprintf("crash-%d-%d", inj.n, i))
		time.Sleep(repeatPause)
	}
	if n := s.fleet.crashes[k.service].late(); n > maxLate && !s.wasAnyVMDown(began) && !s.hadStoreFault() {
		s.addViolation("BUDGET: %d endpoints of %s ended later than %s after the third, allowed %d", n, k.service, timeToReact, maxLate)
	}
}

func (s *soak) sendCrashing(client *http.Client, v *vm, k kind, id string) {
	body := strings.NewReader(crashingBody)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, v.url(k.prefix+"crash"), body)
	if err != nil {
		panic(err)
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("X-Request-Id", id)
	if k.isStream {
		r.Header.Set("X-Token-Count", "450,250")
		r.Header.Set("X-Model", "m")
	}
	s.fleet.authorize(r.Header, accountOf(id))
	// The caller doesn't need the answer.
	if res, err := client.Do(r); err == nil {
		_ = res.Body.Close()
	}
}

// mixSoftware adds engines of a newer software version.
func (s *soak) mixSoftware(inj *injection) {
	inj.duration = 0
	s.recordInjection(inj, "engines of software version "+newerVersion)
	for range 2 {
		s.fleet.addEndpoint(note.service, func(e *standin.Endpoint) { e.Version = newerVersion })
	}
}

// repeatAnswers makes an endpoint send answers once more, where the next one on the connection is expected. Items fail at their
// first runs there, which is too seldom for them to be abandoned.
func (s *soak) repeatAnswers(inj *injection) {
	failures := map[string]int{}
	e := s.fleet.addEndpoint(note.service, func(e *standin.Endpoint) {
		e.SetFault(func(n int, r *http.Request) standin.EndpointFault {
			id := r.Header.Get("X-Request-Id")
			switch {
			case !strings.HasPrefix(r.URL.Path, batchJobs.prefix):
				if n%2 == 0 {
					return standin.Repeat
				}
			case failures[id] < repeatedFailures:
				failures[id]++
				return standin.FailAndRepeat
			}
			return standin.NoEndpointFault
		})
	})
	s.recordInjection(inj, "late copies of answers from "+e.ID)
	time.Sleep(inj.duration)
	e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoEndpointFault })
}

// sendUnsignedVerdicts makes an endpoint answer half of its requests by bytes that say they can never be done and are not signed.
func (s *soak) sendUnsignedVerdicts(inj *injection) {
	e := s.fleet.addEndpoint(note.service, func(e *standin.Endpoint) {
		e.SetFault(func(n int, _ *http.Request) standin.EndpointFault {
			if n%2 == 0 {
				return standin.UnsignedVerdict
			}
			return standin.NoEndpointFault
		})
	})
	s.recordInjection(inj, "unsigned verdicts from "+e.ID)
	time.Sleep(inj.duration)
	e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoEndpointFault })
}

// sendEndlessAnswers makes an endpoint answer half of its requests by bytes without end: in a head, as no answer at all, or in an
// event.
func (s *soak) sendEndlessAnswers(inj *injection) {
	forms := []standin.EndpointFault{standin.EndlessHead, standin.EndlessGarbage, standin.EndlessBody}
	e := s.fleet.addEndpoint(note.service, func(e *standin.Endpoint) {
		e.SetFault(func(n int, _ *http.Request) standin.EndpointFault {
			if n%2 == 0 {
				return forms[(inj.n+n/2)%len(forms)]
			}
			return standin.NoEndpointFault
		})
	})
	s.recordInjection(inj, "answers without end from "+e.ID)
	time.Sleep(inj.duration)
	e.SetFault(func(int, *http.Request) standin.EndpointFault { return standin.NoEndpointFault })
}

// killUnframed kills an endpoint whose streams have neither a length nor chunks.
func (s *soak) killUnframed(inj *injection) {
	e := s.fleet.addEndpoint(note.service, func(e *standin.Endpoint) { e.IsUnframed, e.Step = true, slowStep })
	s.recordInjection(inj, "unframed answers, then kill of "+e.ID)
	time.Sleep(inj.duration)
	s.fleet.killEndpoint(e)
}

// wasAnyVMDown reports whether a VM was down or recovering at some time after began.
func (s *soak) wasAnyVMDown(began time.Time) bool {
	for _, v := range s.fleet.vms {
		if s.outages.isDownSince(v.name, began) {
			return true
		}
	}
	return false
}

// hadStoreFault reports whether any fault of the store, or of a link to it, was injected.
func (s *soak) hadStoreFault() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, what := range s.injected {
		if strings.Contains(what, "store") {
			return true
		}
	}
	return false
}

// crash records that an endpoint has crashed under the crashing request, and replaces it.
func (f *fleet) crash(e *endpoint) {
	f.crashes[e.Service].record()
	f.replace(e, restartTime)
}

// replace ends the endpoint, whose address refuses connections then, and starts another one of its software after the time.
func (f *fleet) replace(e *endpoint, after time.Duration) {
	f.mu.Lock()
	if n := slices.Index(f.endpoints, e); n >= 0 && len(f.endpoints) > 1 {
		f.endpoints = slices.Delete(f.endpoints, n, n+1)
		f.replaced = append(f.replaced, e)
	}
	f.mu.Unlock()
	_ = e.link.socket.Close()
	e.Close()
	e.link.close()
	time.Sleep(after)
	f.addEndpoint(e.Service, func(next *standin.Endpoint) { next.Version = e.Version })
	time.Sleep(lostRowRetention)
	f.store.Remove(platform.EndpointTable, "", e.ID)
}
