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

// Main runs the daemon with the command line's arguments until it receives a stop signal, and returns the exit code.
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
	cmd.AddCommand(&cobra.Command{
		Use:           "platform",
		Short:         "Serve on the users' platform, whose settings file the environment names",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return runOnPlatform() },
	})
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
	return runApp(New(s))
}

// runApp starts the daemon, waits for a stop signal and shuts it down.
func runApp(app *fx.App) error {
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
