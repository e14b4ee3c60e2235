package front

import (
	"net/url"
	"strconv"
)

// account is what a request has cost so far, at all instances that it went through. It goes out with a forwarded
// request and comes back with its result, so that each instance pays for what the others have sent too.
type account struct {
	// runs counts the attempts that a target may have run, and arrivals those that a target received, or may have.
	runs, arrivals int
	// counted is set once an instance's retry budget counts the request: that of the instance which sends it to
	// a target first.
	counted bool
}

// merge adds what another instance has returned, which began with this account. An earlier version may leave out
// a part of it.
func (a account) merge(returned account) account {
	return account{
		runs: max(a.runs, returned.runs), arrivals: max(a.arrivals, returned.arrivals), counted: a.counted || returned.counted,
	}
}

// The fields of forwardHeader with an account. Versions that do not know arrivals leave it out.
const (
	runsField     = "runs"
	arrivalsField = "arrivals"
	countedField  = "counted"
)

func (a account) addTo(values url.Values) {
	values.Set(runsField, strconv.Itoa(a.runs))
	values.Set(arrivalsField, strconv.Itoa(a.arrivals))
	values.Set(countedField, strconv.FormatBool(a.counted))
}

func (p *fieldParser) account() account {
	a := account{runs: p.number(runsField)}
	if p.values.Has(arrivalsField) {
		a.arrivals = p.number(arrivalsField)
	}
	if p.values.Has(countedField) {
		a.counted = p.bool(countedField)
	}
	return a
}

// recordArrival records that a target received the call, or may have. The next arrival has to be paid for again.
func (f *Front) recordArrival(c *call) {
	c.arrivals++
	c.paid = false
	f.Metrics.recordArrival(c)
}
