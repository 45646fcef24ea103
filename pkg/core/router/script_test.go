package router

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txt", func(t *testing.T) func(scripter.Step) []string {
		r := New(rand.New(rand.NewPCG(1, 1)))
		conf := Configured{Region: "syd", AvailabilityZone: "syd-a"}
		return func(s scripter.Step) []string {
			switch s.Verb {
			case "endpoint":
				conf.Endpoints = append(conf.Endpoints, Endpoint{
					Name: s.Name, Region: s.Text("region", "syd"), AvailabilityZone: s.Text("zone", "syd-a"),
					Serves: []string{s.Text("serves", "m")}, Slots: s.Int("slots", 4),
				})
				r.Handle(s.At, conf)
			case "link":
				conf.Links = append(conf.Links, Link{
					Region: s.Name, OneWay: s.Duration("delay", 20*time.Millisecond), BytesPerSecond: s.Float("rate", 1000),
				})
				r.Handle(s.At, conf)
			case "load":
				r.Handle(s.At, LoadReported{
					Endpoint: s.Name, InUse: s.Int("used", 0), Queued: s.Int("queued", 0),
					Wait: s.Duration("wait", 0), Age: s.Duration("age", 0),
				})
			case "cached":
				r.Handle(s.At, BlocksCached{Endpoint: s.Name, Blocks: blocks(s)})
			case "failed":
				r.Handle(s.At, Ended{Endpoint: s.Name, IsFailed: true})
			case "left":
				r.Handle(s.At, EndpointLeaving{Endpoint: s.Name})
			case "route":
				in := Route{Serves: s.Text("serves", "m"), Blocks: blocks(s), Bytes: s.Int("bytes", 100)}
				if not := s.Text("not", ""); not != "" {
					in.Exclude = strings.Split(not, ",")
				}
				names := r.Handle(s.At, in)[0].(Candidates).Endpoints
				if len(names) == 0 {
					return []string{"nothing"}
				}
				return []string{strings.Join(names, " ")}
			default:
				require.Fail(t, "unknown verb", s.Verb)
			}
			return []string{}
		}
	})
}

// blocks returns one block for each letter of the prompt.
func blocks(s scripter.Step) []uint64 {
	list := []uint64{}
	for _, letter := range s.Text("prompt", "") {
		list = append(list, uint64(letter))
	}
	return list
}
