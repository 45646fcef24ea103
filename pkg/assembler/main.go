package assembler

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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
	stop := receive(os.Interrupt, syscall.SIGTERM)
	s, err := loader.ReadSettings(file)
	if err != nil {
		return err
	}
	return runApp(New(s), stop)
}

// receive returns a channel that receives the signals until the process ends.
//
// A signal that no channel receives ends the process, so this comes before all else.
func receive(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// runApp starts the daemon, waits for a stop signal and shuts it down.
func runApp(app *fx.App, stop <-chan os.Signal) error {
	startCtx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-stop
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}
