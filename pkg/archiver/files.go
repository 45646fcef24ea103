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
	// MaxLineBytes bounds one line of a batch file.
	MaxLineBytes = 1 << 20
	// ChatURL is the one URL that batch lines may name.
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

// LineError says what is wrong with one line of a batch file and how to mend it.
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

// CheckBody checks the body of a line and returns the model that it names.
type CheckBody func(body []byte) (model string, field, value, remedy string)

func fileKey(account, id string) string { return "file/" + account + "/" + id }

func partObject(upload string, n int) string { return fmt.Sprintf("part/%s/%06d", upload, n) }

// SaveFile streams a batch file into part objects and then writes its row.
//
// The id derives from account, name and content, so a file that is sent again is found and not kept twice. A bad
// line ends the upload with a *LineError and leaves no row; parts that were written are never referred to.
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
		err = &AbsentError{Kind: "file", ID: id}
	}
	return row, err
}

// Files returns the rows of all files of the account.
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

// DeleteFile removes a file's row; jobs made from it keep their parts.
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

// WriteFile writes the file as it was uploaded.
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

// fileSaver holds one part at a time, so a file of any length takes the memory of one part and a hash for each line.
type fileSaver struct {
	archiver *Archiver
	check    CheckBody
	row      FileRow
	ids      map[uint64]struct{}
	hash     hash.Hash
	part     bytes.Buffer
	inPart   int
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
	s.inPart++
	if s.inPart < s.archiver.partLines {
		return nil
	}
	return s.flush(ctx)
}

func (s *fileSaver) checkLine(number int, line Line) error {
	bad := func(field, value, remedy string) error {
		return &LineError{Line: number, Field: field, Value: value, Remedy: remedy}
	}
	switch {
	case line.CustomID == "":
		return bad("custom_id", "", "give every line an id of its own")
	case line.Method != "POST":
		return bad("method", line.Method, "use POST")
	case line.URL != ChatURL:
		return bad("url", line.URL, "use "+ChatURL)
	}
	id := xxhash.Sum64String(line.CustomID)
	if _, ok := s.ids[id]; ok {
		return bad("custom_id", line.CustomID, "an earlier line has this id: give every line its own")
	}
	s.ids[id] = struct{}{}
	model, field, value, remedy := s.check(line.Body)
	if remedy != "" {
		return bad("body."+field, value, remedy)
	}
	if s.row.Model == "" {
		s.row.Model = model
	}
	if model != s.row.Model {
		return bad("body.model", model, "earlier lines name "+s.row.Model+": use one model a file")
	}
	return nil
}

func (s *fileSaver) flush(ctx context.Context) error {
	if s.inPart == 0 {
		return nil
	}
	if err := s.archiver.store.PutObject(ctx, partObject(s.row.Upload, s.row.Parts), s.part.Bytes()); err != nil {
		return err
	}
	s.row.Parts++
	s.inPart = 0
	s.part.Reset()
	return nil
}

func clip(raw []byte) string {
	const most = 80
	return string(raw[:min(most, len(raw))])
}
