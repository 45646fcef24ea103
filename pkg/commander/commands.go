package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes, as listed in docs/INTERFACE.md. exitConflict: another change was applied first. exitTimeout: a change or a
// batch was not complete within the maximum wait.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitConflict = 4
	exitTimeout  = 5
)

// Version is the program's version, set by the linker's flag -X at build time.
var Version = "dev"

// commands lists the subcommands with their constructors, which also set the usage text.
var commands = []struct {
	name      string
	construct func(*session) *cobra.Command
}{
	{"apply", newApply},
	{"diff", newDiff},
	{"preset", newPreset},
	{"status", newStatus},
	{"account", newAccount},
	{"batch", newBatch},
	{"vm", newVM},
	{"endpoint", newEndpoint},
	{"load", newLoad},
	{"version", newVersion},
}

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code  int
	Cause error
}

// Error returns the message of the cause.
func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// Main runs the command line with args and returns the exit code.
func Main(args []string) int {
	return run(args, os.Stdout, os.Stderr)
}

func run(args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "dogwoodledge:", err)
	if exit := (*ExitError)(nil); errors.As(err, &exit) {
		return exit.Code
	}
	return exitUsage
}

func newRoot(stdout io.Writer) *cobra.Command {
	s := &session{out: stdout}
	root := &cobra.Command{
		Use:           "dogwoodledge",
		Short:         "Operate and use a dogwoodledge fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&s.operators, "operators", envOr("DOGWOODLEDGE_OPERATORS", "127.0.0.1:9081"), "operators' address of any VM")
	flags.StringVar(&s.callers, "callers", envOr("DOGWOODLEDGE_CALLERS", "127.0.0.1:8081"), "callers' address of any VM")
	flags.StringVar(&s.key, "key", os.Getenv("DOGWOODLEDGE_KEY"), "operator's or account's key (better: DOGWOODLEDGE_KEY)")
	flags.StringVarP(&s.output, "output", "o", "text", "output format: text or json")
	for _, c := range commands {
		root.AddCommand(c.construct(s))
	}
	return root
}

// envOr returns the environment variable name, or fallback if it is empty or not set.
func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func newVersion(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return s.print(struct {
				Version string `json:"version"`
			}{Version}, func() { s.printf("dogwoodledge %s\n", Version) })
		},
	}
}
