package tbdaemon

import (
	"strings"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/io/tbcodec"
)

// countOrder counts the result of an order that this process has sent or given up, by kind, outcome and cause, as in
// "orders.start.notSent.connectTimeout".
func (d *Daemon) countOrder(order tbfleet.Order, r tbcodec.OrderResult) {
	name := "orders." + orderKind(order) + "." + outcomeName(r)
	if r.Outcome != tbfleet.Accepted && r.Cause != "" {
		name += "." + causeName(r.Cause)
	}
	d.counters.add(name)
}

func orderKind(order tbfleet.Order) string {
	switch order.(type) {
	case tbfleet.Start:
		return "start"
	case tbfleet.Stop:
		return "stop"
	case tbfleet.SetSpeed:
		return "speed"
	}
	return "poll"
}

func outcomeName(r tbcodec.OrderResult) string {
	switch r.Outcome {
	case tbfleet.Accepted:
		return "accepted"
	case tbfleet.Refused:
		if tbfleet.IsUnsent(r.Cause) {
			return "notSent"
		}
		return "refused"
	case tbfleet.OtherWorker:
		return "otherWorker"
	case tbfleet.NotSent:
		return "notSent"
	}
	return "unanswered"
}

// causeName returns the name of a cause in a counter. Texts of errors have none, because there may be any number of them.
func causeName(cause string) string {
	switch cause {
	case tbfleet.CauseNoRoom, tbfleet.CauseFence, tbfleet.CauseLate, tbfleet.CauseOld, tbfleet.CauseDisconnected, tbfleet.CauseTimeout,
		tbfleet.CauseConnectTimeout, tbfleet.CauseConnectRefused, tbfleet.CauseConnectFailed, tbfleet.CauseSenderPaused:
		return cause
	case causeExpired:
		return "expired"
	}
	if strings.HasPrefix(cause, tbfleet.CauseStatus) {
		return strings.Join(strings.Fields(cause), "")
	}
	return "other"
}

// logFenced logs that a worker has refused a poll because of its token. If that of a later order of the same leader was
// faster, which is usual, the fleet knows so and the poll is sent again. A later leader is not usual.
func (d *Daemon) logFenced(p tbfleet.Poll) {
	args := []any{"worker", p.Target.ID, "reason", tbfleet.CauseFence, "token", p.Target.Token, "term", p.Target.Term()}
	if newest := d.term.Load(); newest > p.Target.Term() {
		d.log.Warn("poll refused", append(args, "newestTerm", newest)...)
		return
	}
	d.routineLog.Info("poll overtaken", args...)
}
