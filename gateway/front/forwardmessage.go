package front

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"basilcross.example/gateway/peers"
)

const (
	// ForwardPath is the path on an instance's control address that receives forwarded requests.
	ForwardPath = "/forward/v1"
	// forwardHeader describes a forwarded request, and how it ended in the response.
	forwardHeader = "Basilcross-Forward"
)

// The causes with which an instance declines to carry a request; it has not run.
const (
	causeLinksDown = "linksDown"
	// causeTargetUnreached: it does not reach the key's owner alone.
	causeTargetUnreached = "targetUnreached"
	causeCarrierFull     = "carrierFull"
	// causeTargetRests: the target, or all of the service, want no requests from it for a while.
	causeTargetRests     = "targetRests"
	causeCarrierNotReady = "carrierNotReady"
)

// causeTargetLeaves is the cause of a refusal for a key whose owner leaves.
const causeTargetLeaves = "targetLeaves"

// forwardedRequest is what forwardHeader says of a request, besides its method, headers and body.
type forwardedRequest struct {
	// From is the instance that forwards it.
	From      string
	URI, Host string
	// Service was chosen from the route's split, under a configuration of at least Version.
	Service string
	Version uint64
	// Age is the time since the caller's request arrived, and Left the time left to answer it.
	Age, Left time.Duration
	Account   account
	// SinceFirst is how long before its arrival the caller's first attempt was, by the sender's estimate.
	// Versions that do not know it leave it out.
	SinceFirst time.Duration
}

// sinceFirstField is the field of forwardHeader with SinceFirst in ms, in caller retries only.
const sinceFirstField = "sinceFirstMs"

func (r *forwardedRequest) encode() string {
	values := url.Values{
		"from": {r.From}, "uri": {r.URI}, "host": {r.Host}, "service": {r.Service}, "version": {strconv.FormatUint(r.Version, 10)},
		"ageMs": {formatMs(r.Age)}, "leftMs": {formatMs(r.Left)},
	}
	r.Account.addTo(values)
	if r.SinceFirst > 0 {
		values.Set(sinceFirstField, formatMs(r.SinceFirst))
	}
	return values.Encode()
}

func parseForwardedRequest(text string) (*forwardedRequest, error) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return nil, fmt.Errorf("parse header %s: %w", forwardHeader, err)
	}
	p := fieldParser{values: v}
	r := &forwardedRequest{
		From: v.Get("from"), URI: v.Get("uri"), Host: v.Get("host"), Service: v.Get("service"), Version: uint64(p.number("version")),
		Age: p.ms("ageMs"), Left: p.ms("leftMs"), Account: p.account(),
	}
	if v.Has(sinceFirstField) {
		r.SinceFirst = p.ms(sinceFirstField)
	}
	return r, p.err
}

// forwardedResult is what forwardHeader says of a response.
type forwardedResult struct {
	// Answered is set if the response is a target's; the other fields but Target and Account then
	// say nothing.
	Answered   bool
	Target     string
	Cause      string
	MayHaveRun bool
	Account    account
	RetryAfter time.Duration
	// Suggested are instances that may serve the request, if the sender declined it.
	Suggested []peers.Instance
}

func (r *forwardedResult) encode() string {
	values := url.Values{
		"answered": {strconv.FormatBool(r.Answered)}, "target": {r.Target}, "cause": {r.Cause},
		"mayHaveRun": {strconv.FormatBool(r.MayHaveRun)}, "retryAfterMs": {formatMs(r.RetryAfter)},
	}
	r.Account.addTo(values)
	for _, i := range r.Suggested {
		// An instance's fields are texts and a number, which always can be encoded.
		text, _ := json.Marshal(i)
		values.Add("suggested", string(text))
	}
	return values.Encode()
}

func parseForwardedResult(text string) (*forwardedResult, error) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return nil, fmt.Errorf("parse header %s: %w", forwardHeader, err)
	}
	p := fieldParser{values: v}
	r := &forwardedResult{
		Answered: p.bool("answered"), Target: v.Get("target"), Cause: v.Get("cause"),
		MayHaveRun: p.bool("mayHaveRun"), Account: p.account(), RetryAfter: p.ms("retryAfterMs"),
		Suggested: p.instances("suggested"),
	}
	return r, p.err
}

func formatMs(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// fieldParser parses fields and keeps the first error.
type fieldParser struct {
	values url.Values
	err    error
}

func (p *fieldParser) number(name string) int {
	n, err := strconv.Atoi(p.values.Get(name))
	p.keep(name, err)
	return n
}

func (p *fieldParser) ms(name string) time.Duration {
	return time.Duration(p.number(name)) * time.Millisecond
}

func (p *fieldParser) bool(name string) bool {
	b, err := strconv.ParseBool(p.values.Get(name))
	p.keep(name, err)
	return b
}

func (p *fieldParser) instances(name string) (list []peers.Instance) {
	for _, text := range p.values[name] {
		var i peers.Instance
		p.keep(name, json.Unmarshal([]byte(text), &i))
		list = append(list, i)
	}
	return list
}

func (p *fieldParser) keep(name string, err error) {
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("parse header %s: field %s: %w", forwardHeader, name, err)
	}
}
