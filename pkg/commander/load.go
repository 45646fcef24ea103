package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodledge/dogwoodledge/pkg/encoder"
)

const (
	histogramMax    = 10 * time.Minute
	histogramDigits = 3
)

// workItem is one line of a workload file: a request and the time at which it is sent, relative to the start.
type workItem struct {
	At      string `json:"at"`
	Key     string `json:"key"`
	Model   string `json:"model"`
	Prompt  string `json:"prompt"`
	Tokens  int    `json:"tokens"`
	Timeout string `json:"timeout"`
}

// loadReport is the result of a replay: how many requests were sent, and how each ended.
//
// Whole answers are complete. Cut ones ended without the end marker or with a read error. Wrong ones do not have as many
// tokens as their usage or the workload says. Refused requests got a status other than 200, Lost ones no answer.
type loadReport struct {
	Sent       int64             `json:"sent"`
	Whole      int64             `json:"whole"`
	Refused    int64             `json:"refused"`
	Cut        int64             `json:"cut"`
	Wrong      int64             `json:"wrong"`
	Lost       int64             `json:"lost"`
	FirstToken map[string]string `json:"firstToken"`
	TokenGap   map[string]string `json:"tokenGap"`
}

func newLoad(s *session) *cobra.Command {
	callers := []string{}
	cmd := &cobra.Command{
		Use: "load FILE", Short: "Replay a workload file against the fleet and report percentiles",
		Long: "Each line of the file is a JSON object: at (time from the start), model, prompt, tokens, and optionally\n" +
			"key and timeout. The requests go to the VMs of --vm in turn.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			items, err := readWorkload(args[0])
			if err != nil {
				return &ExitError{Code: exitUsage, Cause: err}
			}
			if len(callers) == 0 {
				callers = []string{s.callers}
			}
			r, err := newReplay(s.key, callers)
			if err != nil {
				return &ExitError{Code: exitUsage, Cause: err}
			}
			report := r.run(cmd.Context(), items)
			if err := s.print(report, func() { s.printLoad(report) }); err != nil {
				return err
			}
			if report.Cut+report.Wrong+report.Lost > 0 {
				return failed(errors.Errorf("%d answers cut, %d wrong, %d lost", report.Cut, report.Wrong, report.Lost))
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&callers, "vm", nil, "callers' addresses of the VMs to send to")
	return cmd
}

func (s *session) printLoad(r loadReport) {
	s.printf("sent %d: whole %d, refused %d, cut %d, wrong %d, lost %d\n", r.Sent, r.Whole, r.Refused, r.Cut, r.Wrong, r.Lost)
	s.printf("first token p50 %s p95 %s p99 %s\n", r.FirstToken["p50"], r.FirstToken["p95"], r.FirstToken["p99"])
	s.printf("token gap   p50 %s p95 %s p99 %s\n", r.TokenGap["p50"], r.TokenGap["p95"], r.TokenGap["p99"])
}

func readWorkload(path string) ([]workItem, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open workload")
	}
	defer func() { _ = file.Close() }()
	items := []workItem{}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, encoder.MaxEventBytes)
	for n := 1; scanner.Scan(); n++ {
		item := workItem{}
		if err := json.Unmarshal(scanner.Bytes(), &item); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, n)
		}
		if _, err := time.ParseDuration(item.At); err != nil {
			return nil, errors.Errorf("%s:%d: at is %q: write a length such as 250ms", path, n, item.At)
		}
		items = append(items, item)
	}
	return items, errors.Wrap(scanner.Err(), "read workload")
}

// replay sends a workload and checks every answer.
type replay struct {
	key    string
	vms    []netip.AddrPort
	client *http.Client

	mu     sync.Mutex
	report loadReport
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
}

func newReplay(key string, callers []string) (*replay, error) {
	r := &replay{
		key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		first: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
		gap:   hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits),
	}
	for _, text := range callers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.Wrap(err, "--vm")
		}
		r.vms = append(r.vms, addr)
	}
	return r, nil
}

func (r *replay) run(ctx context.Context, items []workItem) loadReport {
	startedAt := time.Now()
	wg := sync.WaitGroup{}
	for i, item := range items {
		at, _ := time.ParseDuration(item.At)
		time.Sleep(time.Until(startedAt.Add(at)))
		wg.Go(func() { r.send(ctx, r.vms[i%len(r.vms)], item) })
	}
	wg.Wait()
	r.report.FirstToken, r.report.TokenGap = percentiles(r.first), percentiles(r.gap)
	return r.report
}

// percentiles returns the 50th, 95th and 99th percentile as durations in text.
func percentiles(h *hdrhistogram.Histogram) map[string]string {
	at := func(q float64) string { return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).String() }
	return map[string]string{"p50": at(50), "p95": at(95), "p99": at(99)}
}

func (r *replay) send(ctx context.Context, vm netip.AddrPort, item workItem) {
	r.count(func(rep *loadReport) { rep.Sent++ })
	body, _ := json.Marshal(encoder.ChatRequest{
		Model: item.Model, MaxTokens: item.Tokens, Stream: true,
		Messages:      []encoder.Message{{Role: "user", Content: item.Prompt}},
		StreamOptions: &encoder.StreamOptions{IncludeUsage: true},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+firstNonEmpty(item.Key, r.key))
	if item.Timeout != "" {
		req.Header.Set("X-Request-Timeout", item.Timeout)
	}
	sentAt := time.Now()
	res, err := r.client.Do(req)
	if err != nil {
		r.count(func(rep *loadReport) { rep.Lost++ })
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		r.count(func(rep *loadReport) { rep.Refused++ })
		return
	}
	r.check(res.Body, item, sentAt)
}

func firstNonEmpty(list ...string) string {
	for _, s := range list {
		if s != "" {
			return s
		}
	}
	return ""
}

// check reads a stream to its end. It must end with the end marker and have as many tokens as its usage and, if given, the
// workload says.
func (r *replay) check(body io.Reader, item workItem, sentAt time.Time) {
	last, tokens, reportedTokens, isDone := sentAt, 0, -1, false
	err := encoder.ReadEvents(body, func(ev encoder.Event) bool {
		if ev.IsDone {
			isDone = true
			return false
		}
		if ev.Chunk.Usage != nil {
			reportedTokens = ev.Chunk.Usage.CompletionTokens
			return true
		}
		now := time.Now()
		r.record(tokens == 0, now.Sub(last))
		last = now
		tokens++
		return true
	})
	r.count(func(rep *loadReport) {
		switch {
		case err != nil || !isDone:
			rep.Cut++
		case tokens != reportedTokens || (item.Tokens > 0 && tokens != item.Tokens):
			rep.Wrong++
		default:
			rep.Whole++
		}
	})
}

func (r *replay) record(isFirst bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.gap
	if isFirst {
		h = r.first
	}
	_ = h.RecordValue(took.Microseconds())
}

func (r *replay) count(add func(*loadReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.report)
}
