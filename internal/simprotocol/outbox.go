package simprotocol

import (
	"encoding/json"
	"strconv"
	"time"
)

// outbox implements balancer.Host: it encodes the actions of one instance as comma-separated JSON objects, which Hub.Apply puts into
// the reply.
type outbox struct{ buf []byte }

// beginAction starts an action with its name and, unless field is empty, a first string field.
func (o *outbox) beginAction(name, field, value string) *outbox {
	if len(o.buf) > 0 {
		o.buf = append(o.buf, ',')
	}
	o.buf = append(append(append(o.buf, `{"`...), name...), `":{`...)
	if field != "" {
		o.writeString(field, value)
	}
	return o
}

func (o *outbox) writeKey(field string) {
	if o.buf[len(o.buf)-1] != '{' {
		o.buf = append(o.buf, ',')
	}
	o.buf = append(append(append(o.buf, '"'), field...), `":`...)
}

func (o *outbox) writeString(field, value string) {
	o.writeKey(field)
	quoted, _ := json.Marshal(value) // a string always marshals
	o.buf = append(o.buf, quoted...)
}

func (o *outbox) writeInt(field string, value int64) *outbox {
	o.writeKey(field)
	o.buf = strconv.AppendInt(o.buf, value, 10)
	return o
}

func (o *outbox) endAction() { o.buf = append(o.buf, "}}"...) }

func (o *outbox) Send(id, server string, expire time.Duration) {
	o.beginAction("Assign", "call", id).writeString("backend", server)
	if expire > 0 {
		o.writeInt("expire-at", int64(expire))
	}
	o.endAction()
}

func (o *outbox) Reject(id string, retryAfter time.Duration) {
	o.beginAction("SayNo", "call", id)
	if retryAfter > 0 {
		o.writeInt("come-back", int64(retryAfter))
	}
	o.endAction()
}

func (o *outbox) Fail(id string) { o.beginAction("FinishError", "call", id).endAction() }
func (o *outbox) Cancel(id string, attempt int) {
	o.beginAction("StopAttempt", "call", id).writeInt("shot", int64(attempt)).endAction()
}
func (o *outbox) HealthCheck(server string) { o.beginAction("Touch", "backend", server).endAction() }
func (o *outbox) CloseIdle(server string)   { o.beginAction("LetGo", "backend", server).endAction() }
func (o *outbox) Fetch()                    { o.beginAction("Lookup", "", "").endAction() }
func (o *outbox) Log(text string)           { o.beginAction("JournalLine", "body-text", text).endAction() }
func (o *outbox) fatal(text string)         { o.beginAction("Fatal", "body-text", text).endAction() }

func (o *outbox) SetTimer(token uint64, after time.Duration) {
	const maxDelay = 70 * time.Minute // the simulator accepts at most 71 minutes
	after = min(max(after, 1), maxDelay)
	o.beginAction("Schedule", "", "").writeInt("handle", int64(token)).writeInt("span", int64(after)).endAction()
}

func (o *outbox) Watch(on bool) {
	o.beginAction("Follow", "", "").writeKey("enable")
	o.buf = strconv.AppendBool(o.buf, on)
	o.endAction()
}
