package commander

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/configurator"
	"github.com/dogwoodledge/dogwoodledge/pkg/loader"
	"github.com/dogwoodledge/dogwoodledge/pkg/server"
)

const (
	progressInterval = 250 * time.Millisecond
	// defaultActivationWait is the default maximum wait until a change is active on every VM.
	defaultActivationWait = 16 * time.Second
)

func newApply(s *session) *cobra.Command {
	dir, preset := "", ""
	revision := int64(-1)
	within := defaultActivationWait
	cmd := &cobra.Command{
		Use:   "apply -f DIR --expect REVISION",
		Short: "Put the declarations of a folder in force",
		Long: "Check the declarations of a folder, show how they differ from those in force, and put them in force\n" +
			"if the revision in force is the expected one. Without --expect only the difference is shown.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			files, err := readDeclarations(dir)
			if err != nil {
				return err
			}
			diff, err := s.showDiff(files)
			if err != nil {
				return err
			}
			if revision < 0 {
				return &ExitError{Code: exitUsage, Cause: errors.Errorf(
					"nothing applied: to apply this, say --expect %d", diff.Revision)}
			}
			req := server.ApplyRequest{Files: files, Preset: preset, ExpectedRevision: revision}
			return s.applyChange("/apply", req, within)
		},
	}
	cmd.Flags().StringVarP(&dir, "file", "f", "", "folder with the declarations")
	cmd.Flags().Int64Var(&revision, "expect", -1, "revision that must be in force now (0 before the first)")
	cmd.Flags().StringVar(&preset, "preset", "", "preset to switch to with it")
	cmd.Flags().DurationVar(&within, "within", within, "how long to wait until it is in force everywhere")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func newDiff(s *session) *cobra.Command {
	dir := ""
	cmd := &cobra.Command{
		Use: "diff -f DIR", Short: "Show how the declarations of a folder differ from those in force", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			files, err := readDeclarations(dir)
			if err != nil {
				return err
			}
			_, err = s.showDiff(files)
			return err
		},
	}
	cmd.Flags().StringVarP(&dir, "file", "f", "", "folder with the declarations")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// readDeclarations reads the declarations of a folder and checks them locally, so that mistakes are found without a VM.
func readDeclarations(dir string) ([]loader.File, error) {
	files, err := loader.ReadDir(dir)
	if err != nil {
		return nil, &ExitError{Code: exitUsage, Cause: err}
	}
	if _, err := loader.Parse(files); err != nil {
		return nil, &ExitError{Code: exitRefused, Cause: err}
	}
	return files, nil
}

// showDiff prints how the files differ from the active configuration.
func (s *session) showDiff(files []loader.File) (server.DiffReply, error) {
	diff := server.DiffReply{}
	if err := s.callAsOperator(http.MethodPost, "/diff", server.ApplyRequest{Files: files}, &diff); err != nil {
		return diff, err
	}
	return diff, s.print(diff, func() {
		s.printf("revision %d is in force with preset %q; %d declarations differ\n", diff.Revision, diff.Preset, len(diff.Changes))
		for _, c := range diff.Changes {
			s.printf("%s %s %s\n", c.Change, c.Kind, c.Name)
			s.printLineDiff(c.Old, c.New)
		}
	})
}

// printLineDiff prints the lines that only one of two versions of a declaration has.
func (s *session) printLineDiff(older, newer json.RawMessage) {
	if older == nil || newer == nil {
		return
	}
	oldLines, newLines := yamlLines(older), yamlLines(newer)
	for _, line := range oldLines {
		if !contains(newLines, line) {
			s.printf("  - %s\n", line)
		}
	}
	for _, line := range newLines {
		if !contains(oldLines, line) {
			s.printf("  + %s\n", line)
		}
	}
}

func yamlLines(raw json.RawMessage) []string {
	text, err := yaml.JSONToYAML(raw)
	if err != nil {
		return nil
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

func contains(lines []string, line string) bool {
	for _, l := range lines {
		if l == line {
			return true
		}
	}
	return false
}

// applyChange requests a change of the configuration and waits until it is active on every VM.
func (s *session) applyChange(path string, req server.ApplyRequest, within time.Duration) error {
	head := configurator.Head{}
	if err := s.callAsOperator(http.MethodPost, path, req, &head); err != nil {
		return err
	}
	if s.output == "text" {
		s.printf("accepted as revision %d with preset %q\n", head.Revision, head.Preset)
	}
	return s.waitUntilActive(head, within)
}

// waitUntilActive prints on how many VMs the revision is active, until it is active on all of them. A VM that does not
// answer is listed as missing. After the maximum wait it returns an ExitError with exitTimeout.
func (s *session) waitUntilActive(head configurator.Head, within time.Duration) error {
	startedAt := time.Now()
	last := ""
	for {
		status := server.StatusReply{}
		if err := s.callAsOperator(http.MethodGet, "/status", nil, &status); err != nil {
			return err
		}
		active, missing := countActive(status, head.Revision)
		line := describeProgress(active, len(status.VMs), missing)
		if line != last && s.output == "text" {
			s.printf("%s after %s\n", line, time.Since(startedAt).Round(time.Millisecond))
			last = line
		}
		if len(missing) == 0 {
			return s.print(status, func() {})
		}
		if time.Since(startedAt) > within {
			return &ExitError{Code: exitTimeout, Cause: errors.Errorf(
				"revision %d is accepted, but after %s not yet known to be in force on: %s",
				head.Revision, within, strings.Join(missing, ", "))}
		}
		time.Sleep(progressInterval)
	}
}

// countActive returns the number of VMs on which the revision is active, and the names of the others.
func countActive(status server.StatusReply, revision int64) (active int, missing []string) {
	for _, vm := range status.VMs {
		switch {
		case vm.Revision >= revision:
			active++
		case !vm.HasAnswered:
			missing = append(missing, vm.VM+" (out of contact)")
		default:
			missing = append(missing, vm.VM)
		}
	}
	return active, missing
}

func describeProgress(active, all int, missing []string) string {
	line := "in force on " + vmCount(active) + " of " + vmCount(all)
	if len(missing) > 0 {
		line += "; not yet: " + strings.Join(missing, ", ")
	}
	return line
}

// vmCount returns n with the noun VM in the right number.
func vmCount(n int) string {
	if n == 1 {
		return "1 VM"
	}
	return itoa(n) + " VMs"
}
