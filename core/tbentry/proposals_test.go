package tbentry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbstate"
)

// Guards against proposals that no replica can receive: batches were bounded by the number of commands
// alone.
func TestProposalsAreBoundedInBytes(t *testing.T) {
	item := func(payloadBytes int) proposalItem {
		return proposalItem{kind: submitItem, commands: []tbstate.Command{tbstate.SubmitJob{Job: tbstate.Job{ID: "j", Payload: make([]byte, payloadBytes)}}}}
	}
	waiting := []proposalItem{item(2 * maxPayloadInBatch), item(maxPayloadInBatch / 2), item(maxPayloadInBatch / 2), item(10)}
	batch, rest := takeBatch(waiting, time.Time{})
	qt.Check(t, batch, qt.HasLen, 1)
	batch, rest = takeBatch(rest, time.Time{})
	// The second large item does not fit, but the small one does.
	qt.Check(t, batch, qt.HasLen, 2)
	qt.Check(t, rest, qt.HasLen, 1)
}
