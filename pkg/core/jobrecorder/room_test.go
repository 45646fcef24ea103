package jobrecorder

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/internal/scripter"
)

// TestRoomScripts replays what a VM knows of the jobs of accounts, and what it counts for them.
func TestRoomScripts(t *testing.T) {
	scripter.Run(t, "testdata/room*.txt", func(*testing.T) func(scripter.Step) []string {
		room := Room{Host: "h", PathPrefix: "/p/"}
		jobs := map[string]Job{}
		known := func(yield func(Job) bool) {
			for _, j := range jobs {
				if !yield(j) {
					return
				}
			}
		}
		return func(s scripter.Step) []string {
			switch s.Verb {
			case "list":
				room.List = parseList(s.Text("jobs", ""))
				room.IsListRead = s.Has("read")
			case "job":
				j := Job{ID: s.Name, Host: "h", PathPrefix: s.Text("route", "/p/"), Account: s.Text("account", ""), IsEnded: s.Has("ended")}
				for range s.Int("items", 1) {
					j.Tokens = append(j.Tokens, 10)
				}
				for i := range s.Int("finished", 0) {
					j.Finished = append(j.Finished, i)
				}
				jobs[s.Name] = j
			case "delete":
				delete(jobs, s.Name)
			case "waiting":
				room.Account = s.Name
				return []string{strconv.FormatInt(room.Waiting(known), 10)}
			case "accept":
				room.Account = s.Text("account", "")
				var texts []string
				for _, l := range room.Add(Job{ID: s.Name, Tokens: slices.Repeat([]int64{10}, s.Int("items", 1))}, known) {
					texts = append(texts, fmt.Sprintf("%s:%d", l.ID, l.Tokens))
				}
				return []string{strings.Join(texts, ",")}
			}
			return []string{}
		}
	})
}

func parseList(text string) []ListedJob {
	var list []ListedJob
	for _, entry := range strings.Split(text, ",") {
		id, tokens, ok := strings.Cut(entry, ":")
		if n, err := strconv.ParseInt(tokens, 10, 64); ok && err == nil {
			list = append(list, ListedJob{ID: id, Tokens: n})
		}
	}
	return list
}
