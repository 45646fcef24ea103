package peersyncer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

// maxMessageBytes bounds a decompressed message, so that a small one can't fill a VM's memory: 3,003 rows take less than 1 MB.
const maxMessageBytes = 16 << 20

// rowMessage is the wire format of a table row: an array of the fields in this order.
type rowMessage struct {
	_ struct{} `cbor:",toarray"`

	Table, Key string
	Value      []byte
	Version    int64
	IsRemoved  bool
}

// newsRequest asks for the rows that are newer than those of the sender.
type newsRequest struct {
	_ struct{} `cbor:",toarray"`

	// ConfigAfter is the version of the sender's configuration row.
	ConfigAfter int64
	// HasRows asks for rows of other tables, too: endpoints' after EndpointsAfter, and all of the small tables.
	HasRows        bool
	EndpointsAfter int64
}

// newsReply holds the rows asked for, and the version up to which the changes of the endpoints are complete.
type newsReply struct {
	_ struct{} `cbor:",toarray"`

	Rows             []rowMessage
	EndpointsVersion int64
}

var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(errors.Wrap(err, "create compressor"))
	}
	return w
}}

// encodeMessage returns the compressed encoding of a message.
func encodeMessage(m any) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	buf := bytes.Buffer{}
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	return buf.Bytes(), nil
}

// decodeMessage decodes a compressed message into m.
func decodeMessage(b []byte, m any) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxMessageBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress message")
	}
	if len(raw) > maxMessageBytes {
		return errors.Errorf("message has more than %d bytes", maxMessageBytes)
	}
	return errors.Wrap(cbor.Unmarshal(raw, m), "decode message")
}

// format is how the messages of a method are encoded.
type format struct {
	encode func(m any) ([]byte, error)
	decode func(b []byte, m any) error
}

// Messages are compressed, or plain if they hold what is compressed already.
var (
	compressed = format{encodeMessage, decodeMessage}
	plain      = format{cbor.Marshal, cbor.Unmarshal}
)

func messagesOf(entries []storer.Entry) []rowMessage {
	rows := make([]rowMessage, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, rowMessage{
			Table: e.Table, Key: e.Key, Value: e.Value, Version: e.Version, IsRemoved: e.IsRemoved,
		})
	}
	return rows
}

func entriesOf(rows []rowMessage) []storer.Entry {
	entries := make([]storer.Entry, 0, len(rows))
	for _, r := range rows {
		entries = append(entries, storer.Entry{
			Table: r.Table, Key: r.Key, Value: r.Value, Version: r.Version, IsRemoved: r.IsRemoved,
		})
	}
	return entries
}

func decodeRows(b []byte) ([]storer.Entry, error) {
	var rows []rowMessage
	if err := cbor.Unmarshal(b, &rows); err != nil {
		return nil, errors.Wrap(err, "decode rows")
	}
	return entriesOf(rows), nil
}
