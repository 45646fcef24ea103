package commander

import (
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/declarer"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
)

func itoa(n int) string { return strconv.Itoa(n) }

// snapshotReply is the configuration that is active on the VM that answered.
type snapshotReply struct {
	Head     configurator.Head `json:"head"`
	Snapshot declarer.Snapshot `json:"snapshot"`
}

func newPreset(s *session) *cobra.Command {
	cmd := &cobra.Command{Use: "preset", Short: "List presets and switch between them"}
	cmd.AddCommand(newPresetUse(s), newPresetList(s))
	return cmd
}

func newPresetUse(s *session) *cobra.Command {
	revision := int64(-1)
	within := defaultActivationWait
	cmd := &cobra.Command{
		Use: "use NAME", Short: "Put a preset in force", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if revision < 0 {
				reply := snapshotReply{}
				if err := s.callAsOperator(http.MethodGet, "/snapshot", nil, &reply); err != nil {
					return err
				}
				revision = reply.Head.Revision
			}
			return s.applyChange("/preset", server.ApplyRequest{Preset: args[0], ExpectedRevision: revision}, within)
		},
	}
	cmd.Flags().Int64Var(&revision, "expect", -1, "revision that must be in force now (default: the one that the VM has)")
	cmd.Flags().DurationVar(&within, "within", within, "how long to wait until it is in force everywhere")
	return cmd
}

func newPresetList(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the declared presets", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reply := snapshotReply{}
			if err := s.callAsOperator(http.MethodGet, "/snapshot", nil, &reply); err != nil {
				return err
			}
			return s.print(reply.Snapshot.Presets, func() {
				for _, p := range reply.Snapshot.Presets {
					mark := " "
					if p.Name == reply.Head.Preset {
						mark = "*"
					}
					s.printf("%s %-16s %s\n", mark, p.Name, p.Description)
				}
			})
		},
	}
}

func newStatus(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show which revision each VM has in force", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return s.showStatus() },
	}
}

func newVM(s *session) *cobra.Command {
	cmd := &cobra.Command{Use: "vm", Short: "Show the fleet's VMs"}
	cmd.AddCommand(&cobra.Command{
		Use: "list", Short: "List the VMs with their states", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return s.showStatus() },
	})
	return cmd
}

func (s *session) showStatus() error {
	status := server.StatusReply{}
	if err := s.callAsOperator(http.MethodGet, "/status", nil, &status); err != nil {
		return err
	}
	return s.print(status, func() {
		s.printf("revision %d, preset %q, %s\n", status.Head.Revision, status.Head.Preset, time.Now().UTC().Format(time.RFC3339))
		for _, vm := range status.VMs {
			revision := "out of contact"
			if vm.HasAnswered {
				revision = "revision " + strconv.FormatInt(vm.Revision, 10)
			}
			s.printf("%-16s %-12s %-12s %-8s %s\n", vm.VM, vm.Region, vm.AvailabilityZone, vm.State, revision)
		}
	})
}
