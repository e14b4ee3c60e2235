package instance

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/quarantine"
	"basilcross.example/basilcross/roster"
	"basilcross.example/gateway/peers"
	"github.com/cespare/xxhash/v2"
)

// quarantiner exchanges with other instances under which requests targets ended. Each instance counts
// the ends that all have seen, so that none depends on the coordinator; the coordinator repeats
// the result with its heartbeats and keeps it in the lease's row.
type quarantiner struct {
	*Instance
	list quarantine.List
	// repeated are the requests in the coordinator's last heartbeat.
	repeated atomic.Pointer[map[quarantine.Fingerprint]bool]
}

// ended records that a target ended while it ran a request of this instance, and tells others.
func (q *quarantiner) ended(t *roster.Target, f quarantine.Fingerprint, sent time.Time) {
	name := t.ID + "/" + strconv.FormatInt(t.Started, 10)
	q.recordEnd(f, sent, name, q.settings.Instance)
	q.tellHubs(&peers.PoisonReport{Target: name, Suspects: [][]byte{f[:]}, RanMs: time.Since(sent).Milliseconds()})
}

// cleared tells others that a suspected request was answered.
func (q *quarantiner) cleared(f quarantine.Fingerprint) {
	event.RequestCleared.Log(q.log, "fingerprint", f.String())
	q.tellHubs(&peers.PoisonReport{Cleared: [][]byte{f[:]}})
}

func (q *quarantiner) tellHubs(r *peers.PoisonReport) {
	q.peers.BroadcastToHubs(&peers.Message{PoisonReport: r})
}

func (q *quarantiner) recordEnd(f quarantine.Fingerprint, sent time.Time, target, reporter string) {
	entry, cleared := q.list.RecordEnd(time.Now(), sent, f, target)
	switch {
	case cleared:
		q.cleared(f)
	case entry != nil:
		event.RequestQuarantined.Log(q.log, "fingerprint", f.String(), "targets", entry.Targets, "reporter", reporter, "forMs", entry.Duration.Milliseconds())
	}
}

// handleMessage handles reports of poison requests, and reports whether m is one.
func (q *quarantiner) handleMessage(m *peers.Message) bool {
	if m.PoisonReport == nil {
		return false
	}
	q.receive(m.From, m.PoisonReport)
	return true
}

// receive applies another instance's report.
func (q *quarantiner) receive(from string, r *peers.PoisonReport) {
	for _, text := range r.Suspects {
		if f, ok := parseFingerprint(text); ok {
			q.recordEnd(f, time.Now().Add(-time.Duration(r.RanMs)*time.Millisecond), r.Target, from)
		}
	}
	for _, text := range r.Cleared {
		if f, ok := parseFingerprint(text); ok && q.list.Clear(f) {
			event.RequestCleared.Log(q.log, "fingerprint", f.String(), "reporter", from)
		}
	}
	if q.relays(from) {
		q.tellHubs(r)
	}
}

// relayingHubs is how many hubs pass on the reports of a thin instance, so that one may be lost.
const relayingHubs = 2

// relays reports whether this instance passes on the reports of another one to the hubs: a thin
// instance lists those of its own zone only.
func (q *quarantiner) relays(from string) bool {
	if q.replicator.thin.Load() || q.peers.Find(from).Zone != q.settings.Zone || q.replicator.isHub(from) {
		return false
	}
	hubs := q.peers.Hubs(q.settings.Zone)
	self := slices.IndexFunc(hubs, func(i peers.Instance) bool { return i.Name == q.settings.Instance })
	first := int(xxhash.Sum64String(from) % uint64(max(1, len(hubs))))
	return self >= 0 && (self-first+len(hubs))%len(hubs) < relayingHubs
}

func parseFingerprint(text []byte) (f quarantine.Fingerprint, ok bool) {
	return f, copy(f[:], text) == len(f) && len(text) == len(f)
}

// merge adds quarantined requests that another instance or the store has.
func (q *quarantiner) merge(now time.Time, list []peers.Quarantined) {
	for _, r := range list {
		if e, ok := r.Entry(now); ok && q.list.Merge(now, e) {
			event.RequestQuarantined.Log(q.log, "fingerprint", e.Fingerprint.String(), "forMs", r.LeftMs)
		}
	}
}

// receiveHeartbeat adds the requests that the coordinator has.
func (q *quarantiner) receiveHeartbeat(list []peers.Quarantined) {
	if len(list) == 0 && q.repeated.Load() == nil {
		return
	}
	now := time.Now()
	q.merge(now, list)
	repeated := map[quarantine.Fingerprint]bool{}
	for _, r := range list {
		if e, ok := r.Entry(now); ok {
			repeated[e.Fingerprint] = true
		}
	}
	q.repeated.Store(&repeated)
}

// encoded returns the quarantined requests as they are sent now.
func (q *quarantiner) encoded() []peers.Quarantined {
	now := time.Now()
	return peers.EncodeQuarantined(now, q.list.Entries(now))
}

// unrepeated returns the requests that the coordinator's last heartbeat did not have.
func (q *quarantiner) unrepeated(now time.Time) []peers.Quarantined {
	entries := q.list.Entries(now)
	if repeated := q.repeated.Load(); repeated != nil {
		entries = slices.DeleteFunc(entries, func(e quarantine.Entry) bool { return (*repeated)[e.Fingerprint] })
	}
	return peers.EncodeQuarantined(now, entries)
}

// maxRepeatedSuspects bounds the suspects that an instance that has started is told of.
const maxRepeatedSuspects = 32

// introduce tells an instance that has started what is held against requests. It may know of nothing else
// while there is no coordinator.
func (q *quarantiner) introduce(to string) {
	for _, m := range q.known(time.Now()) {
		q.peers.Send(to, m)
	}
}

// known returns messages that tell all that is held against requests.
func (q *quarantiner) known(now time.Time) (list []*peers.Message) {
	if entries := q.encoded(); len(entries) > 0 {
		list = append(list, &peers.Message{Report: &peers.Report{Quarantined: entries}})
	}
	for _, s := range q.list.Suspects(now, maxRepeatedSuspects) {
		for _, target := range s.Targets {
			list = append(list, &peers.Message{PoisonReport: &peers.PoisonReport{
				Target: target, Suspects: [][]byte{s.Fingerprint[:]}, RanMs: now.Sub(s.Last).Milliseconds(),
			}})
		}
	}
	return list
}
