package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const readHeaderTimeout = 10 * time.Second

// Main runs the stand-in process that args name and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := newCommand()
	cmd.SetArgs(args)
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func newCommand() *cobra.Command {
	listen := ""
	isFenced := true
	timing := DefaultEngineTiming()
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for development", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port to listen on")
	engine := &cobra.Command{Use: "engine", Short: "A model engine", RunE: func(cmd *cobra.Command, _ []string) error {
		e := NewEngine(timing, isFenced)
		go e.Run(cmd.Context())
		return serve(cmd.Context(), listen, EngineHandler(e))
	}}
	engine.Flags().BoolVar(&isFenced, "fenced", true, "refuse orders with an old fencing number")
	engine.Flags().IntVar(&timing.MaxSequences, "sequences", timing.MaxSequences, "sequences in one step")
	engine.Flags().DurationVar(&timing.StepBase, "step", timing.StepBase, "base time of one step")
	root.AddCommand(
		engine,
		&cobra.Command{Use: "platform", Short: "The platform", RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, PlatformHandler(NewPlatform()))
		}},
		&cobra.Command{Use: "service", Short: "A plain service", RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, ServiceHandler())
		}},
	)
	return root
}

// serve serves h at listen until ctx ends.
func serve(ctx context.Context, listen string, h http.Handler) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return errors.Wrap(err, "--listen")
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Printf("standin listens on %s\n", l.Addr())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
