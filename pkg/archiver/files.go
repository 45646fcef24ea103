package archiver

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// MaxLineBytes is the maximum length of a line of a batch file.
	MaxLineBytes = 1 << 20
	// ChatURL is the only URL allowed in a batch line.
	ChatURL = "/v1/chat/completions"
)

// FileRow is the row of one uploaded file.
type FileRow struct {
	ID        string    `json:"id"`
	Account   string    `json:"account"`
	Name      string    `json:"name"`
	Bytes     int64     `json:"bytes"`
	Lines     int       `json:"lines"`
	Parts     int       `json:"parts"`
	Model     string    `json:"model"`
	Upload    string    `json:"upload"`
	CreatedAt time.Time `json:"createdAt"`
}

// Line is one line of a batch file in its published form.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// LineError reports an invalid line of a batch file and how to correct it.
type LineError struct {
	Line   int
	Field  string
	Value  string
	Remedy string
}

// Error names the line, the field, the value and the remedy.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %s is %q: %s", e.Line, e.Field, e.Value, e.Remedy)
}

// CheckBody checks the body of a line and returns its model; a remedy that isn't empty refuses the field's value.
type CheckBody func(body []byte) (model string, field, value, remedy string)

func fileKey(account, id string) string { return "file/" + account + "/" + id }

func partObject(upload string, n int) string { return fmt.Sprintf("part/%s/%06d", upload, n) }

// SaveFile streams a batch file into part objects and then writes its row.
//
// The id derives from account, name and content, so the row of a file that is uploaded again is found and not written
// twice. An invalid line ends the upload with a *LineError and leaves no row; no row refers to parts already written.
func (a *Archiver) SaveFile(
	ctx context.Context, account, name string, body io.Reader, check CheckBody, now time.Time,
) (FileRow, error) {
	s := &fileSaver{archiver: a, check: check, ids: map[uint64]struct{}{}, hash: sha256.New()}
	s.row = FileRow{Account: account, Name: name, Upload: uuid.NewString(), CreatedAt: now.UTC()}
	if err := s.saveParts(ctx, body); err != nil {
		return FileRow{}, err
	}
	s.row.ID = deriveID("file-", account, name, hex.EncodeToString(s.hash.Sum(nil)))
	key := fileKey(account, s.row.ID)
	tx := storer.Transaction{Checks: []storer.Check{{Key: key}}, Puts: []storer.Put{storer.PutJSON(key, s.row)}}
	_, err := a.commit(ctx, tx, key, func(storer.Row) bool { return true })
	if conflict := (*storer.ConflictError)(nil); errors.As(err, &conflict) {
		return a.File(ctx, account, s.row.ID)
	}
	return s.row, err
}

// File returns the row of a file.
func (a *Archiver) File(ctx context.Context, account, id string) (FileRow, error) {
	row, version, err := storer.ReadJSON[FileRow](ctx, a.store, fileKey(account, id))
	if err == nil && version == 0 {
		err = &NotFoundError{Kind: "file", ID: id}
	}
	return row, err
}

// Files returns the rows of all files of the account, without those that can't be decoded.
func (a *Archiver) Files(ctx context.Context, account string) ([]FileRow, error) {
	rows := []FileRow{}
	err := storer.ListAll(ctx, a.store, "file/"+account+"/", func(r storer.Row) bool {
		row := FileRow{}
		if json.Unmarshal(r.Value, &row) == nil {
			rows = append(rows, row)
		}
		return true
	})
	return rows, err
}

// DeleteFile deletes a file's row; the parts stay for jobs created from it.
func (a *Archiver) DeleteFile(ctx context.Context, account, id string) error {
	if _, err := a.File(ctx, account, id); err != nil {
		return err
	}
	_, err := a.store.Commit(ctx, storer.Transaction{Deletes: []string{fileKey(account, id)}})
	return err
}

// Part returns the lines of one part.
func (a *Archiver) Part(ctx context.Context, upload string, n int) ([]Line, error) {
	raw, err := a.object(ctx, partObject(upload, n))
	if err != nil {
		return nil, err
	}
	lines := []Line{}
	for raw := range bytes.Lines(raw) {
		line := Line{}
		if err := json.Unmarshal(raw, &line); err != nil {
			return nil, errors.Wrapf(err, "decode part %d of upload %s", n, upload)
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// WriteFile writes the lines of an uploaded file to w.
func (a *Archiver) WriteFile(ctx context.Context, row FileRow, w io.Writer) error {
	for n := range row.Parts {
		raw, err := a.object(ctx, partObject(row.Upload, n))
		if err != nil {
			return err
		}
		if _, err := w.Write(raw); err != nil {
			return errors.Wrap(err, "write file")
		}
	}
	return nil
}

func (a *Archiver) object(ctx context.Context, name string) ([]byte, error) {
	body, err := a.store.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	raw, err := io.ReadAll(body)
	return raw, errors.Wrapf(err, "read object %s", name)
}

// fileSaver saves one upload. It holds one part at a time and a hash of each line's id, whatever the file's length.
type fileSaver struct {
	archiver *Archiver
	check    CheckBody
	row      FileRow
	// ids holds the hash of each custom_id, to refuse repeated ones.
	ids  map[uint64]struct{}
	hash hash.Hash
	part bytes.Buffer
	// linesInPart counts the lines in part.
	linesInPart int
}

func (s *fileSaver) saveParts(ctx context.Context, body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 64<<10), MaxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		raw := bytes.TrimSpace(scanner.Bytes())
		if len(raw) == 0 {
			continue
		}
		if err := s.addLine(ctx, number, raw); err != nil {
			return err
		}
		_, _ = s.hash.Write(append(raw, '\n'))
	}
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		return &LineError{Line: number + 1, Field: "line", Value: "longer than 1 MiB", Remedy: "shorten it"}
	}
	if scanner.Err() != nil {
		return errors.Wrap(scanner.Err(), "read upload")
	}
	if s.row.Lines == 0 {
		return &LineError{Line: 1, Field: "line", Remedy: "the file is empty: write one request a line"}
	}
	return s.flush(ctx)
}

func (s *fileSaver) addLine(ctx context.Context, number int, raw []byte) error {
	line := Line{}
	if err := json.Unmarshal(raw, &line); err != nil {
		return &LineError{Line: number, Field: "line", Value: clip(raw), Remedy: "write one JSON object a line: " + err.Error()}
	}
	if err := s.checkLine(number, line); err != nil {
		return err
	}
	s.row.Lines++
	s.row.Bytes += int64(len(raw) + 1)
	s.part.Write(raw)
	s.part.WriteByte('\n')
	s.linesInPart++
	if s.linesInPart < s.archiver.partLines {
		return nil
	}
	return s.flush(ctx)
}

func (s *fileSaver) checkLine(number int, line Line) error {
	invalid := func(field, value, remedy string) error {
		return &LineError{Line: number, Field: field, Value: value, Remedy: remedy}
	}
	switch {
	case line.CustomID == "":
		return invalid("custom_id", "", "give every line an id of its own")
	case line.Method != "POST":
		return invalid("method", line.Method, "use POST")
	case line.URL != ChatURL:
		return invalid("url", line.URL, "use "+ChatURL)
	}
	id := xxhash.Sum64String(line.CustomID)
	if _, ok := s.ids[id]; ok {
		return invalid("custom_id", line.CustomID, "an earlier line has this id: give every line its own")
	}
	s.ids[id] = struct{}{}
	model, field, value, remedy := s.check(line.Body)
	if remedy != "" {
		return invalid("body."+field, value, remedy)
	}
	if s.row.Model == "" {
		s.row.Model = model
	}
	if model != s.row.Model {
		return invalid("body.model", model, "earlier lines name "+s.row.Model+": use one model a file")
	}
	return nil
}

func (s *fileSaver) flush(ctx context.Context) error {
	if s.linesInPart == 0 {
		return nil
	}
	if err := s.archiver.store.PutObject(ctx, partObject(s.row.Upload, s.row.Parts), s.part.Bytes()); err != nil {
		return err
	}
	s.row.Parts++
	s.linesInPart = 0
	s.part.Reset()
	return nil
}

func clip(raw []byte) string {
	const most = 80
	return string(raw[:min(most, len(raw))])
}
