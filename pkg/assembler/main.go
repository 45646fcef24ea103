package assembler

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
)

// Exit codes of the daemon.
const (
	exitOK = iota
	exitFailed
	exitSettings
)

// Main runs the daemon with the command line's arguments until a signal and returns the exit code.
func Main(args []string) int {
	file := ""
	cmd := &cobra.Command{
		Use:           "dogwoodledged --settings FILE",
		Short:         "Serve online and batch inference on one fleet",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(file)
		},
	}
	cmd.Flags().StringVarP(&file, "settings", "s", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings")
	cmd.SetArgs(args)
	err := cmd.Execute()
	var fields *loader.FieldErrors
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &fields):
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	default:
		fmt.Fprintln(os.Stderr, "dogwoodledged:", err)
		return exitFailed
	}
}

func run(file string) error {
	s, err := loader.ReadSettings(file)
	if err != nil {
		return err
	}
	app := New(s)
	startCtx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-app.Wait()
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}
