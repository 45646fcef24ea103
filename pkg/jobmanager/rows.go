package jobmanager

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/jobrecorder"
	"github.com/dogwoodledge/dogwoodledge/pkg/storer"
)

const (
	// jobTable holds the jobs' rows and the admission rows of routes, resultTable the results, checkpointTable the partial
	// outputs of unfinished items.
	jobTable        = "job"
	resultTable     = "result"
	checkpointTable = "checkpoint"
	// itemTable holds the items of jobs that fit into one transaction.
	itemTable = "item"
	// admissionPrefix begins the keys of admission rows.
	admissionPrefix = "gate/"
	// partitions is the number of partitions that jobs are spread over: the transactions of one partition run one after
	// another.
	partitions = 8
	// usableRowShare is the share of a row's bytes that is used, since the limit may apply to the value encoded as base64.
	usableRowShare = 0.7
	// maxInlineBytes is the largest body of a job whose items are written as rows, in one transaction with the job's row: it
	// stays under the store's 1 MB per transaction when encoded. This takes a tenth of the time of writing an object.
	maxInlineBytes = 600 << 10
)

func partitionNames() []string {
	names := make([]string, partitions)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}

func partitionOf(job string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return strconv.Itoa(int(h.Sum32() % partitions))
}

func blobName(job string) string { return "job-" + job }

// admissionKey returns the key of a route's admission row.
func admissionKey(host, prefix string) string {
	return admissionPrefix + strconv.FormatUint(xxhash.Sum64String(host+"\x00"+prefix), 16)
}

// accountKeyOf returns the key of the admission row of an account on a route.
func accountKeyOf(host, prefix, account string) string {
	return admissionPrefix + strconv.FormatUint(xxhash.Sum64String(host+"\x00"+prefix+"\x00"+account), 16)
}

// accountSuffix ends the key of the row with a job's account in the table of results. It sorts before the first result, so that
// no build reads it with them, and each deletes it with the job.
const accountSuffix = "/!account"

// accountRow returns the row with the job's account; none if it has none.
func accountRow(j jobrecorder.Job) []storer.Entry {
	if j.Account == "" {
		return nil
	}
	return []storer.Entry{{
		Table: resultTable, Partition: partitionOf(j.ID), Key: j.ID + accountSuffix, Value: []byte(j.Account),
	}}
}

func encodeJob(j jobrecorder.Job) (storer.Entry, error) {
	value, err := json.Marshal(j)
	return storer.Entry{Table: jobTable, Partition: partitionOf(j.ID), Key: j.ID, Value: value}, errors.Wrap(err, "encode job")
}

func decodeJob(e storer.Entry) (jobrecorder.Job, error) {
	j := jobrecorder.Job{}
	if err := json.Unmarshal(e.Value, &j); err != nil {
		return j, errors.Wrap(err, "job "+e.Key)
	}
	return j, errors.Wrap(j.Check(), "job "+e.Key)
}

// encodeItems returns the rows of a submitted job's body; none if it is larger than maxInlineBytes.
func encodeItems(job string, body []byte, rowBytes int) []storer.Entry {
	if len(body) > maxInlineBytes {
		return nil
	}
	var rows []storer.Entry
	for chunk := range slices.Chunk(body, int(float64(rowBytes)*usableRowShare)) {
		rows = append(rows, storer.Entry{
			Table: itemTable, Partition: partitionOf(job), Key: fmt.Sprintf("%s/%03d", job, len(rows)), Value: chunk,
		})
	}
	return rows
}

// rangeOf returns the range of a job's rows in a table.
func rangeOf(table, job string) storer.Range {
	return storer.Range{Table: table, Partition: partitionOf(job), From: job + "/", To: job + "0"}
}

// prependHead returns a row's value: the head as one line of JSON, then the body.
func prependHead(head any, body []byte) ([]byte, error) {
	text, err := json.Marshal(head)
	return slices.Concat(text, []byte("\n"), body), err
}

// splitHead decodes the head of a row's value and returns the body.
func splitHead(e storer.Entry, head any) ([]byte, error) {
	text, body, ok := bytes.Cut(e.Value, []byte("\n"))
	if !ok {
		return nil, errors.Errorf("row %s of table %s has no line of JSON before its body", e.Key, e.Table)
	}
	return body, errors.Wrapf(json.Unmarshal(text, head), "row %s of table %s", e.Key, e.Table)
}

// resultHead is the head of the first row of a result.
type resultHead struct {
	ID    string                `json:"id"`
	State jobrecorder.ItemState `json:"state"`
	// Rows is the number of the result's rows. It is 0 if the output is in an object, so that earlier builds refuse the row.
	Rows int `json:"rows"`
	// Object is the name of the object that holds the output, of Bytes bytes.
	Object string `json:"object,omitempty"`
	Bytes  int    `json:"bytes,omitempty"`
}

// outputObject returns the name of the object that holds a large output of the item. Of several VMs that complete the item at
// once, the first one's output is kept there, and each of their results names it.
func outputObject(job string, item int) string { return fmt.Sprintf("output-%s-%05d", job, item) }

// isLarge reports whether an output has to be written to an object, since its rows don't fit into a transaction.
func isLarge(output []byte, rowBytes int) bool {
	return len(output) > commitBytes || len(output)/int(float64(rowBytes)*usableRowShare) > commitRows/2
}

// encodeLargeResult returns the row of a result whose output is in an object.
func encodeLargeResult(job string, position int, r Result, object string) ([]storer.Entry, error) {
	value, err := prependHead(resultHead{ID: r.ID, State: r.State, Object: object, Bytes: len(r.Output)}, nil)
	return []storer.Entry{{
		Table: resultTable, Partition: partitionOf(job), Key: resultKey(job, position, 0), Value: value,
	}}, errors.Wrap(err, "encode result")
}

const firstRowSuffix = "/000"

// resultKey returns the key of one row of a result. Keys sort by position, then by row.
// That of the first row ends with firstRowSuffix.
func resultKey(job string, position, row int) string {
	return fmt.Sprintf("%s/%05d/%03d", job, position, row)
}

// encodeResult returns the rows of the result at this position.
func encodeResult(job string, position int, r Result, rowBytes int) ([]storer.Entry, error) {
	chunks := slices.Collect(slices.Chunk(r.Output, int(float64(rowBytes)*usableRowShare)))
	if len(chunks) == 0 {
		chunks = [][]byte{nil}
	}
	var err error
	chunks[0], err = prependHead(resultHead{ID: r.ID, State: r.State, Rows: len(chunks)}, chunks[0])
	if err != nil {
		return nil, errors.Wrap(err, "encode result")
	}
	rows := make([]storer.Entry, 0, len(chunks))
	for n, chunk := range chunks {
		rows = append(rows, storer.Entry{
			Table: resultTable, Partition: partitionOf(job), Key: resultKey(job, position, n), Value: chunk,
		})
	}
	return rows, nil
}

// decodeResults returns the complete results in rows, which are sorted by key and start at the position. It stops at the
// first result that is missing or incomplete.
func decodeResults(job string, position int, rows []storer.Entry) ([]Result, error) {
	var results []Result
	for len(rows) > 0 {
		if !strings.HasPrefix(rows[0].Key, fmt.Sprintf("%s/%05d/000", job, position)) {
			break
		}
		head := resultHead{}
		output, err := splitHead(rows[0], &head)
		if err != nil {
			return results, err
		}
		if head.Object != "" {
			results = append(results, Result{ID: head.ID, State: head.State, object: head.Object, objectBytes: head.Bytes})
			rows = rows[1:]
			position++
			continue
		}
		if head.Rows < 1 {
			return results, errors.Errorf("row %s of table %s has the invalid row count %d", rows[0].Key, rows[0].Table, head.Rows)
		}
		if head.Rows > len(rows) {
			break
		}
		r := Result{ID: head.ID, State: head.State, Output: output}
		for _, row := range rows[1:head.Rows] {
			r.Output = append(r.Output, row.Value...)
		}
		results = append(results, r)
		rows = rows[head.Rows:]
		position++
	}
	return results, nil
}
