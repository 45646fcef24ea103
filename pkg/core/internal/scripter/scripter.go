package scripter

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Epoch is the time at which every script starts.
var Epoch = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

// Step is one step of a script with its line number, arguments and expected outputs.
type Step struct {
	Line int
	At   time.Time
	Verb string
	Name string
	args map[string]string
	want []string
	t    *testing.T
}

// Text returns the argument of that key, or fallback if the step has none.
func (s Step) Text(key, fallback string) string {
	if v, ok := s.args[key]; ok {
		return v
	}
	return fallback
}

// Int returns an integer argument, or fallback if the step has none; it fails the test if it can't be parsed.
func (s Step) Int(key string, fallback int) int {
	v, ok := s.args[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	require.NoError(s.t, err, "line %d: %s", s.Line, key)
	return n
}

// Float returns a decimal argument, or fallback if the step has none; it fails the test if it can't be parsed.
func (s Step) Float(key string, fallback float64) float64 {
	v, ok := s.args[key]
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	require.NoError(s.t, err, "line %d: %s", s.Line, key)
	return n
}

// Duration returns a duration argument, or fallback if the step has none; it fails the test if it can't be parsed.
func (s Step) Duration(key string, fallback time.Duration) time.Duration {
	v, ok := s.args[key]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	require.NoError(s.t, err, "line %d: %s", s.Line, key)
	return d
}

// Has reports whether the step has the word as its name, as a key or as a bare word.
func (s Step) Has(word string) bool {
	_, ok := s.args[word]
	return ok
}

// Run runs every script that matches pattern as a subtest. For each script it calls start, which returns a function that
// executes one step and returns its outputs.
func Run(t *testing.T, pattern string, start func(t *testing.T) func(Step) []string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, files, "no script matches %s", pattern)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), func(t *testing.T) {
			execute := start(t)
			for _, step := range read(t, file) {
				got := execute(step)
				require.Equal(t, step.want, got, "%s:%d: %s %s", file, step.Line, step.Verb, step.Name)
			}
		})
	}
}

func read(t *testing.T, file string) []Step {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	steps := []Step{}
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if want, ok := strings.CutPrefix(line, "=> "); ok {
			require.NotEmpty(t, steps, "%s:%d: an output comes before the first step", file, i+1)
			last := &steps[len(steps)-1]
			last.want = append(last.want, strings.TrimSpace(want))
			continue
		}
		steps = append(steps, parse(t, i+1, line))
	}
	return steps
}

func parse(t *testing.T, number int, line string) Step {
	t.Helper()
	words := strings.Fields(line)
	require.GreaterOrEqual(t, len(words), 2, "line %d: a step needs a time and a verb", number)
	at, err := time.ParseDuration(words[0])
	require.NoError(t, err, "line %d", number)
	s := Step{Line: number, At: Epoch.Add(at), Verb: words[1], args: map[string]string{}, want: []string{}, t: t}
	for _, word := range words[2:] {
		key, value, isPair := strings.Cut(word, "=")
		if !isPair && s.Name == "" {
			s.Name = word
		}
		s.args[key] = value
	}
	return s
}
