package simprotocol

import (
	"encoding/json"
	"strconv"
	"time"
)

// outbox encodes the actions of one instance. It implements balancer.Host.
type outbox struct{ buf []byte }

func (o *outbox) open(name, field, value string) *outbox {
	if len(o.buf) > 0 {
		o.buf = append(o.buf, ',')
	}
	o.buf = append(append(append(o.buf, `{"`...), name...), `":{`...)
	if field != "" {
		o.text(field, value)
	}
	return o
}

func (o *outbox) name(field string) {
	if o.buf[len(o.buf)-1] != '{' {
		o.buf = append(o.buf, ',')
	}
	o.buf = append(append(append(o.buf, '"'), field...), `":`...)
}

func (o *outbox) text(field, value string) {
	o.name(field)
	q, _ := json.Marshal(value) // a string always marshals
	o.buf = append(o.buf, q...)
}

func (o *outbox) num(field string, v int64) *outbox {
	o.name(field)
	o.buf = strconv.AppendInt(o.buf, v, 10)
	return o
}

func (o *outbox) shut() { o.buf = append(o.buf, "}}"...) }

func (o *outbox) Send(id, server string, expire time.Duration) {
	o.open("Assign", "call", id).text("backend", server)
	if expire > 0 {
		o.num("expire-at", int64(expire))
	}
	o.shut()
}

func (o *outbox) Reject(id string, after time.Duration) {
	o.open("SayNo", "call", id)
	if after > 0 {
		o.num("come-back", int64(after))
	}
	o.shut()
}

func (o *outbox) Fail(id string) { o.open("FinishError", "call", id).shut() }
func (o *outbox) Cancel(id string, n int) {
	o.open("StopAttempt", "call", id).num("shot", int64(n)).shut()
}
func (o *outbox) HealthCheck(server string) { o.open("Touch", "backend", server).shut() }
func (o *outbox) CloseIdle(server string)   { o.open("LetGo", "backend", server).shut() }
func (o *outbox) Fetch()                    { o.open("Lookup", "", "").shut() }
func (o *outbox) Log(text string)           { o.open("JournalLine", "body-text", text).shut() }
func (o *outbox) fatal(text string)         { o.open("Fatal", "body-text", text).shut() }

func (o *outbox) SetTimer(token uint64, after time.Duration) {
	const longest = 70 * time.Minute // the wire takes 71
	after = min(max(after, 1), longest)
	o.open("Schedule", "", "").num("handle", int64(token)).num("span", int64(after)).shut()
}

func (o *outbox) Watch(on bool) {
	o.open("Follow", "", "").name("enable")
	o.buf = strconv.AppendBool(o.buf, on)
	o.shut()
}
