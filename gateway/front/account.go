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
	// paid is set if the next arrival was taken from an instance's retry budget already.
	paid bool
}

// merge adds what another instance has returned, which began with this account. An instance that declined the request
// unread, or of an earlier version, leaves out a part of it.
func (a account) merge(returned account) account {
	return account{
		runs: max(a.runs, returned.runs), arrivals: max(a.arrivals, returned.arrivals),
		counted: a.counted || returned.counted, paid: returned.paid || a.paid && returned.arrivals <= a.arrivals,
	}
}

// recordArrival records that a target received the request, or may have. The next arrival has to be paid for again.
func (a *account) recordArrival() {
	a.arrivals++
	a.paid = false
}

// The fields of forwardHeader with an account. Versions that do not know arrivals and paid leave them out.
const (
	runsField     = "runs"
	arrivalsField = "arrivals"
	countedField  = "counted"
	paidField     = "paid"
)

func (a account) addTo(values url.Values) {
	values.Set(runsField, strconv.Itoa(a.runs))
	values.Set(arrivalsField, strconv.Itoa(a.arrivals))
	values.Set(countedField, strconv.FormatBool(a.counted))
	values.Set(paidField, strconv.FormatBool(a.paid))
}

func (p *fieldParser) account() account {
	a := account{runs: p.number(runsField)}
	if p.values.Has(arrivalsField) {
		a.arrivals = p.number(arrivalsField)
	}
	if p.values.Has(countedField) {
		a.counted = p.bool(countedField)
	}
	if p.values.Has(paidField) {
		a.paid = p.bool(paidField)
	}
	return a
}
