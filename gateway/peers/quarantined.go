package peers

import (
	"time"

	"basilcross.example/basilcross/quarantine"
)

// EncodeQuarantined returns entries as they are sent at the given time.
func EncodeQuarantined(now time.Time, entries []quarantine.Entry) (list []Quarantined) {
	for _, e := range entries {
		list = append(list, Quarantined{Fingerprint: e.Fingerprint[:], LeftMs: e.Until.Sub(now).Milliseconds(), DurationMs: e.Duration.Milliseconds()})
	}
	return list
}

// Entry returns the entry that is received at the given time; false if the fingerprint has a wrong length.
func (q *Quarantined) Entry(now time.Time) (e quarantine.Entry, ok bool) {
	e.Until = now.Add(time.Duration(q.LeftMs) * time.Millisecond)
	e.Duration = time.Duration(q.DurationMs) * time.Millisecond
	return e, copy(e.Fingerprint[:], q.Fingerprint) == len(e.Fingerprint) && len(q.Fingerprint) == len(e.Fingerprint)
}
