package commander

import (
	"crypto/rand"
	"encoding/base64"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/dogwoodledge/dogwoodledge/pkg/follower"
)

const keyBytes = 32

func newAccount(s *session) *cobra.Command {
	cmd := &cobra.Command{Use: "account", Short: "Make keys and show accounts"}
	cmd.AddCommand(newAccountKey(s), newAccountHash(s), newAccountList(s))
	return cmd
}

type keyReply struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

func newAccountKey(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Make a new key and print it with its hash", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			raw := make([]byte, keyBytes)
			if _, err := rand.Read(raw); err != nil {
				return failed(err)
			}
			key := "dl-" + base64.RawURLEncoding.EncodeToString(raw)
			reply := keyReply{Key: key, Hash: follower.HashKey(key)}
			return s.print(reply, func() { s.printf("key:  %s\nhash: %s\n", reply.Key, reply.Hash) })
		},
	}
}

func newAccountHash(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "hash KEY", Short: "Print the hash of a key, for declarations and settings", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			reply := keyReply{Hash: follower.HashKey(args[0])}
			return s.print(reply, func() { s.printf("%s\n", reply.Hash) })
		},
	}
}

func newAccountList(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the declared accounts", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reply := snapshotReply{}
			if err := s.callAsOperator(http.MethodGet, "/snapshot", nil, &reply); err != nil {
				return err
			}
			return s.print(reply.Snapshot.Accounts, func() {
				for _, a := range reply.Snapshot.Accounts {
					s.printf("%-24s %d keys, %g requests/s, %g tokens/s\n",
						a.Name, len(a.KeyHashes), a.Limits.RequestsPerSecond, a.Limits.TokensPerSecond)
				}
			})
		},
	}
}
