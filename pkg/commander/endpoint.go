package commander

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/dogwoodledge/dogwoodledge/pkg/enginecontroller"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
)

func newEndpoint(s *session) *cobra.Command {
	cmd := &cobra.Command{Use: "endpoint", Short: "Show endpoints and take them out of work"}
	cmd.AddCommand(
		newEndpointList(s),
		newEndpointStateChange(s, "leave", "Give an endpoint no new work; what it runs goes on to its end"),
		newEndpointStateChange(s, "return", "Give an endpoint work again"),
		newEndpointOrder(s),
	)
	return cmd
}

func newEndpointList(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the declared endpoints", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reply := snapshotReply{}
			if err := s.callAsOperator(http.MethodGet, "/snapshot", nil, &reply); err != nil {
				return err
			}
			return s.print(reply.Snapshot.Endpoints, func() {
				for _, e := range reply.Snapshot.Endpoints {
					s.printf("%-16s %-22s %-12s %3d slots %v%s\n", e.Name, e.Address, e.AvailabilityZone, e.Slots, e.Models, e.Service)
				}
			})
		},
	}
}

// newEndpointStateChange returns the subcommand for the order leave or return.
func newEndpointStateChange(s *session, order, short string) *cobra.Command {
	return &cobra.Command{
		Use: order + " NAME", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			reply := struct {
				Endpoint  string `json:"endpoint"`
				IsLeaving bool   `json:"isLeaving"`
			}{}
			if err := s.callAsOperator(http.MethodPost, "/endpoints/"+args[0]+"/"+order, nil, &reply); err != nil {
				return err
			}
			return s.print(reply, func() { s.printf("ordered: endpoint %s is to %s\n", args[0], order) })
		},
	}
}

func newEndpointOrder(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "order NAME KIND WHAT", Short: "Order an engine to loadModel, loadAdapter, loadVersion or setRole",
		Args: cobra.ExactArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			reply := server.OrderReply{}
			order := enginecontroller.Order{Kind: enginecontroller.Kind(args[1]), Name: args[2]}
			if err := s.callAsOperator(http.MethodPost, "/endpoints/"+args[0]+"/order", order, &reply); err != nil {
				return err
			}
			return s.print(reply, func() {
				s.printf("endpoint %s carried out %s %s under fence %d\n", args[0], args[1], args[2], reply.Fence)
			})
		},
	}
}
