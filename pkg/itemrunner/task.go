package itemrunner

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodledge/dogwoodledge/pkg/core/continuer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/placer"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/quarantiner"
	"github.com/dogwoodledge/dogwoodledge/pkg/core/registrar"
	"github.com/dogwoodledge/dogwoodledge/pkg/jobmanager"
	"github.com/dogwoodledge/dogwoodledge/pkg/option"
)

// jobState is a job that this VM runs.
type jobState struct {
	id  string
	due time.Time
	// host is the Host header of the items' requests; with pathPrefix it identifies the route that accepted the job.
	host       string
	pathPrefix string
	// account is the name of the account that submitted the job; empty if it has none. It is set before the items are.
	account string
	items   []jobmanager.Item
	tasks   map[int]*task
	// saved holds the saved output of each item that had a checkpoint when the job was last loaded. loaded holds the items that
	// were this VM's to run since before then: the output of any other may have been saved since.
	saved     map[int]jobmanager.Checkpoint
	loaded    map[int]bool
	isLoading bool
	retryLoad time.Time
}

// route returns the route that accepted the job, as it is configured now; false if it was removed.
func (j *jobState) route(reg *registrar.Registry) (registrar.Route, bool) {
	return reg.Config.Route(j.host, j.pathPrefix)
}

// task is an item of a held job, with the state of its runs on this VM.
type task struct {
	job   *jobState
	index int
	item  jobmanager.Item
	// parts holds the ids of the shared parts of the item's prompt, and the part that stands for the item's whole request.
	parts []string

	*itemOutput
	// idleSince is when its last run ended, or when this VM got the item.
	idleSince time.Time
	notBefore time.Time
	run       *itemRun
	// runTime is the total time of the earlier runs.
	runTime time.Duration
	// isLate says that the item is planned after all items that can still meet their due time.
	isLate bool
	isOver bool
	// isHere says that the item is this VM's to run, and not only kept until its run ends, or its job being handed over.
	isHere     bool
	wait       itemWait
	rejections rejections
}

// itemOutput is what an item's runs have brought since its output was begun. An output that is discarded is replaced, never
// reset, so that a checkpoint which is being written can't be taken for one of the next output.
type itemOutput struct {
	id string
	// continues is the id of the saved output that this one goes on with; empty if it began with the first event.
	continues string
	// sequence is that of the events received.
	sequence  continuer.Sequence
	output    []byte
	hasOutput bool
	// begun is the software version that began the output; none while there is none.
	begun option.Option[registrar.Software]
	// savedBytes of the output, up to the event savedEvent, are in checkpoints.
	savedBytes int
	savedEvent int64
	// hasSaved says that this VM has saved a checkpoint of the output.
	hasSaved bool
}

func newItemOutput() *itemOutput {
	return &itemOutput{id: uuid.NewString(), sequence: continuer.NewSequence(continuer.NoEvent), savedEvent: continuer.NoEvent}
}

// continued returns an output that goes on after what was saved of another one.
func continued(c jobmanager.Checkpoint) *itemOutput {
	return &itemOutput{
		id: uuid.NewString(), continues: c.OutputID, sequence: continuer.NewSequence(c.LastEvent), output: c.Output, hasOutput: true,
		begun: option.Some(c.Software), savedBytes: len(c.Output), savedEvent: c.LastEvent,
	}
}

// itemRun is one run of an item at an endpoint.
type itemRun struct {
	endpoint registrar.Endpoint
	ticket   *placer.Ticket
	cancel   context.CancelCauseFunc
	started  time.Time
	// trial is nil unless parts of the item are quarantined.
	trial *trial
	// isResumed says that the endpoint was asked for the rest of an output.
	isResumed bool
	progress  quarantiner.Progress
	// firstEvent is the id of the run's first event, continuer.NoEvent before it; endsAtClose says that its answer has neither a
	// length nor chunks. Both are for the log.
	firstEvent  int64
	endsAtClose bool
}

// discardOutput makes the item's next run begin anew.
func (t *task) discardOutput() { t.itemOutput = newItemOutput() }
