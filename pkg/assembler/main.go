package assembler

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	stop := receiveStop()
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

// stopSignals receives the signals that stop the daemon.
type stopSignals struct {
	signals <-chan os.Signal
	// first receives the time of the first signal.
	first chan time.Time
}

// receiveStop returns a channel that receives the time of the first stop signal. The grace period begins then, also while the
// daemon starts.
func receiveStop() <-chan time.Time {
	s := stopSignals{signals: receive(os.Interrupt, syscall.SIGTERM), first: make(chan time.Time, 1)}
	go s.run()
	return s.first
}

func (s stopSignals) run() {
	<-s.signals
	s.first <- time.Now()
}

// stopTime is the key of a stop's context for the time of its signal.
type stopTime struct{}

// stopTimeOf returns when the signal of the stop came; without one, the stop begins now.
func stopTimeOf(ctx context.Context) time.Time {
	if t, ok := ctx.Value(stopTime{}).(time.Time); ok {
		return t
	}
	return time.Now()
}

// runApp starts the daemon, waits for a stop signal and shuts it down.
func runApp(app *fx.App, stop <-chan time.Time) error {
	startCtx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	begun := context.WithValue(context.Background(), stopTime{}, <-stop)
	stopCtx, cancel := context.WithTimeout(begun, app.StopTimeout())
	defer cancel()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}
