package bencher

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// scenario is one section of the report.
type scenario struct {
	name string
	run  func(*report)
}

// scenarios lists the scenarios in the order of the report.
var scenarios = []scenario{
	{"rush", runRush},
	{"idle", runIdle},
	{"flood", runFlood},
	{"lots", runLots},
	{"prefix", runPrefix},
	{"loss", runLoss},
	{"herd", runHerd},
	{"tide", runTide},
	{"cost", runCost},
}

// errDone stops the command after --tradeoff or --day, which run instead of the scenarios.
var errDone = errors.New("done")

// Main runs the scenarios named by args, or all of them, and returns the exit code: 1 if a figure is outside its bound,
// 2 on any other error.
func Main(args []string, out io.Writer) int {
	r := &report{out: out}
	cmd := &cobra.Command{
		Use:           "bench [SCENARIO ...]",
		Short:         "Measure the decisions in virtual time",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(_ *cobra.Command, names []string) error { return runNamed(r, names) },
	}
	tradeoff, days, file := "", []string(nil), ""
	cmd.Flags().StringVar(&tradeoff, "tradeoff", "", "print and plot the curve between the two users' weights instead")
	cmd.Flags().StringArrayVar(&days, "day", nil, "print the windows of a recorded day instead; repeat it to compare")
	cmd.Flags().StringVar(&file, "plot", "", "with --day: draw worth and latency by second into this PNG file")
	cmd.PreRunE = func(*cobra.Command, []string) error {
		var err error
		switch {
		case tradeoff != "":
			err = writeTradeoff(out, tradeoff)
		case len(days) > 0:
			err = writeDays(out, days, file)
		default:
			return nil
		}
		if err != nil {
			return err
		}
		return errDone
	}
	cmd.SetArgs(args)
	err := cmd.Execute()
	if errors.Is(err, errDone) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bench:", err)
		return 2
	}
	_, _ = fmt.Fprintf(out, "%d passed, %d failed\n", r.count-r.fails, r.fails)
	if r.fails > 0 {
		return 1
	}
	return 0
}

// runNamed runs the named scenarios, or all if there are no names, in the order of the report.
func runNamed(r *report, names []string) error {
	for _, name := range names {
		if !slices.ContainsFunc(scenarios, func(s scenario) bool { return s.name == name }) {
			return errors.Errorf("no scenario %q", name)
		}
	}
	for _, s := range scenarios {
		if len(names) == 0 || slices.Contains(names, s.name) {
			s.run(r)
		}
	}
	return nil
}
