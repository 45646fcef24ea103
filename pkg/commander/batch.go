package commander

import (
	"bytes"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodledge/dogwoodledge/pkg/archiver"
)

const waitPollInterval = 200 * time.Millisecond

// batchReply holds the fields of a batch that the command line reads.
type batchReply struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id,omitempty"`
	ErrorFileID   string `json:"error_file_id,omitempty"`
	ExpiresAt     int64  `json:"expires_at"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func newBatch(s *session) *cobra.Command {
	cmd := &cobra.Command{Use: "batch", Short: "Send batches and fetch their results"}
	cmd.AddCommand(newBatchSubmit(s), newBatchGet(s), newBatchWait(s), newBatchCancel(s), newBatchOutput(s), newBatchActive(s))
	return cmd
}

func newBatchSubmit(s *session) *cobra.Command {
	window, dueAt := "24h", ""
	cmd := &cobra.Command{
		Use: "submit FILE", Short: "Send a file of JSON lines as a batch; sent again, it is the same batch", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			id, err := s.upload(args[0])
			if err != nil {
				return err
			}
			req := map[string]any{"input_file_id": id, "endpoint": archiver.ChatURL, "completion_window": window}
			if dueAt != "" {
				req["metadata"] = map[string]string{"dueAt": dueAt}
			}
			b := batchReply{}
			if err := s.callAsCaller(http.MethodPost, "/v1/batches", req, &b); err != nil {
				return err
			}
			return s.printBatch(b)
		},
	}
	cmd.Flags().StringVar(&window, "window", window, "time until the batch is due")
	cmd.Flags().StringVar(&dueAt, "due", "", "time at which the batch is due (RFC 3339), before --window")
	return cmd
}

func (s *session) upload(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", &ExitError{Code: exitUsage, Cause: errors.Wrap(err, "open batch file")}
	}
	defer func() { _ = file.Close() }()
	body, w := io.Pipe()
	form := multipart.NewWriter(w)
	go func() { w.CloseWithError(writeForm(form, filepath.Base(path), file)) }()
	res, err := s.send(s.callers, "--callers", http.MethodPost, "/v1/files", form.FormDataContentType(), body)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	reply := struct {
		ID string `json:"id"`
	}{}
	err = json.NewDecoder(res.Body).Decode(&reply)
	return reply.ID, errors.Wrap(err, "decode answer")
}

func writeForm(form *multipart.Writer, name string, file io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return err
	}
	if _, err := io.Copy(part, file); err != nil {
		return err
	}
	return form.Close()
}

func (s *session) printBatch(b batchReply) error {
	return s.print(b, func() {
		s.printf("%s %s: %d of %d completed, %d failed, due %s\n", b.ID, b.Status, b.RequestCounts.Completed,
			b.RequestCounts.Total, b.RequestCounts.Failed, time.Unix(b.ExpiresAt, 0).UTC().Format(time.RFC3339))
	})
}

func (s *session) getBatch(id string) (batchReply, error) {
	b := batchReply{}
	return b, s.callAsCaller(http.MethodGet, "/v1/batches/"+id, nil, &b)
}

func newBatchGet(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "get ID", Short: "Show how far a batch is", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := s.getBatch(args[0])
			if err != nil {
				return err
			}
			return s.printBatch(b)
		},
	}
}

func newBatchWait(s *session) *cobra.Command {
	within := time.Hour
	cmd := &cobra.Command{
		Use: "wait ID", Short: "Wait until a batch is at its end", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			deadline := time.Now().Add(within)
			for {
				b, err := s.getBatch(args[0])
				if err != nil {
					return err
				}
				if b.Status != string(archiver.JobRunning) {
					return s.printBatch(b)
				}
				if time.Now().After(deadline) {
					return &ExitError{Code: exitTimeout, Cause: errors.Errorf("batch %s is not at its end after %s", b.ID, within)}
				}
				time.Sleep(waitPollInterval)
			}
		},
	}
	cmd.Flags().DurationVar(&within, "within", within, "how long to wait")
	return cmd
}

func newBatchCancel(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancel a batch; nothing of it is committed any more", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b := batchReply{}
			if err := s.callAsCaller(http.MethodPost, "/v1/batches/"+args[0]+"/cancel", nil, &b); err != nil {
				return err
			}
			return s.printBatch(b)
		},
	}
}

func newBatchOutput(s *session) *cobra.Command {
	isErrors := false
	cmd := &cobra.Command{
		Use: "output ID", Short: "Print the results of a batch as JSON lines", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			prefix := "file-out-"
			if isErrors {
				prefix = "file-err-"
			}
			id := prefix + strings.TrimPrefix(args[0], "batch_")
			res, err := s.send(s.callers, "--callers", http.MethodGet, "/v1/files/"+id+"/content", "", bytes.NewReader(nil))
			if err != nil {
				return err
			}
			defer func() { _ = res.Body.Close() }()
			_, err = io.Copy(s.out, res.Body)
			return errors.Wrap(err, "read results")
		},
	}
	cmd.Flags().BoolVar(&isErrors, "errors", false, "print the items that could not be done instead")
	return cmd
}

func newBatchActive(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "active", Short: "List every account's batches that are not at their end (operators)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reply := struct {
				Batches []archiver.ActiveRow `json:"batches"`
			}{}
			if err := s.callAsOperator(http.MethodGet, "/batches", nil, &reply); err != nil {
				return err
			}
			return s.print(reply, func() {
				for _, b := range reply.Batches {
					s.printf("%s %-16s %8d items, due in %s\n", b.ID, b.Account, b.Lines, time.Until(b.Due).Round(time.Second))
				}
			})
		},
	}
}
