// Package seat decides who leads: one row of the table service per seat, held
// for a period and renewed by conditional writes.
package seat

import (
	"strings"
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/table"
)

// LeaseDuration is how long a renewal is good for, from the time it was sent.
const LeaseDuration = 1200 * time.Millisecond

// OutageLimit is how long a holder may go on without renewing in the table, on
// the other zones' leaders' word. It also is how long a seat stays empty if so
// many leaders are lost at once that nobody can tell whether it is extended.
const OutageLimit = 3 * time.Minute

// Record is the row of a seat.
type Record struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
	// Incarnation tells a restarted instance from its earlier life.
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// Term grows with every change of holder.
	Term uint64 `json:"term"`
	// HandedOver is set by a holder that stepped down itself. Leases that it
	// gave may last up to Hold after the write.
	HandedOver bool `json:"handedOver,omitempty"`
	// Intent names the instance that set out to evict the holder.
	Intent string `json:"intent,omitempty"`
	// Renewals makes each renewal a new row version. It also counts renewals
	// that did not take effect.
	Renewals uint64 `json:"renewals"`
}

// RowKey is the key of a seat's row.
func RowKey(name string) string { return "head/seat/" + name }

// TermKey is the key of the row that changes only with the holder, so that a
// planner's write can depend on the holder and not on its renewals.
func TermKey(name string) string { return "term/" + name }

// Seat is one instance's view of a seat, as holder or as candidate. Name and
// Self are set by the owner; the rest starts empty. It is not safe for
// concurrent use.
type Seat struct {
	Name string
	// Self is written into the row when this instance takes the seat.
	Self Record

	record        Record
	version       uint64
	termVersion   uint64
	renewalSeenAt time.Time
	observed      bool
	held          bool
	authority     lease.Lease
	pending       map[string]pendingWrite
	renewalNumber uint64
	gainedAt      time.Time
	priorLeases   bool
	evicting      bool
	renewedAt     time.Time
	hints         Hints
}

// pendingWrite is a write that would give this instance the seat, or keep it.
type pendingWrite struct {
	sentAt   time.Time
	renewals uint64
}

// Observe takes in the seat's row as read from the table, received at now. A
// nil row means that there is none.
func (s *Seat) Observe(now time.Time, row *table.Row) error {
	if row == nil {
		s.apply(now, 0, Record{Zone: s.Name})
		return nil
	}
	if s.observed && row.Version <= s.version {
		return nil
	}
	var r Record
	if err := table.Decode(*row, &r); err != nil {
		return err
	}
	mine, ours := s.pending[row.Token]
	s.apply(now, row.Version, r)
	if ours && s.isSelf(r) {
		s.gainAuthority(now, mine.sentAt)
	}
	return nil
}

// ObserveTerm takes in the version of the seat's term row.
func (s *Seat) ObserveTerm(version uint64) { s.termVersion = version }

func (s *Seat) apply(now time.Time, version uint64, r Record) {
	if s.observed && version == s.version {
		return
	}
	// An eviction intent changes the row but not the holder's authority, so
	// the silence goes on counting.
	if !s.observed || r.Term != s.record.Term || r.Renewals != s.record.Renewals || r.HandedOver != s.record.HandedOver {
		s.renewalSeenAt = now
	}
	s.observed = true
	s.version = version
	s.record = r
	if !s.isSelf(r) {
		s.held = false
	}
}

func (s *Seat) isSelf(r Record) bool {
	return r.Holder == s.Self.Holder && r.Incarnation == s.Self.Incarnation
}

// gainAuthority counts authority from when the write was sent. The answer, or the
// reading that shows it, may be arbitrarily late; counted from receipt, the
// holder would go on after an observer's wait is over.
func (s *Seat) gainAuthority(now, sent time.Time) {
	if !s.held {
		s.held = true
		s.gainedAt = now
	}
	s.authority = s.authority.Later(lease.New(sent, LeaseDuration))
	if sent.After(s.renewedAt) {
		s.renewedAt = sent
	}
	clear(s.pending)
}

// Record returns the row last seen and its version.
func (s *Seat) Record() (r Record, version uint64) { return s.record, s.version }

// Observed tells whether the row has been read at all.
func (s *Seat) Observed() bool { return s.observed }

// TermVersion returns the version of the term row last seen.
func (s *Seat) TermVersion() uint64 { return s.termVersion }

// Holding tells whether this instance is the row's holder, as far as it knows.
// Its authority may have lapsed all the same.
func (s *Seat) Holding() bool { return s.held }

// Authority returns the lease that the seat gives this instance.
func (s *Seat) Authority() lease.Lease {
	if !s.held {
		return lease.Lease{}
	}
	return s.authority
}

// Extend adds authority that the other zones' leaders gave in answer to a round
// of requests sent at sent. It tells whether the outage limit allows it.
func (s *Seat) Extend(sent time.Time) bool {
	if !s.held || sent.Sub(s.renewedAt) > OutageLimit {
		return false
	}
	s.authority = s.authority.Later(lease.New(sent, LeaseDuration))
	return true
}

// RenewedAt is when the last renewal that took effect was sent.
func (s *Seat) RenewedAt() time.Time { return s.renewedAt }

// PriorLeasesEnd is the time until which leases given by an earlier holder may
// still run. After a silent holder there are none, since the candidate's wait
// outlasted them; after a handing over they run on for up to Hold.
func (s *Seat) PriorLeasesEnd() time.Time {
	if !s.priorLeases {
		return time.Time{}
	}
	return s.gainedAt.Add(lease.Wait(LeaseDuration))
}

// Free tells whether the seat may be taken at once: nobody holds it, it was
// handed over, or its holder was a process at this instance's own address,
// which is therefore gone.
func (s *Seat) Free() bool {
	if !s.observed {
		return false
	}
	r := s.record
	return r.Holder == "" || r.HandedOver || r.Address != "" && r.Address == s.Self.Address && !s.isSelf(r)
}

// Expired tells whether the authority that the holder has from the table has
// ended by now. The wait counts from when this instance first saw the renewal,
// which is after the holder sent it. A holder may have more authority from
// the other zones' leaders; see the package eviction.
func (s *Seat) Expired(now time.Time) bool {
	return s.observed && now.After(s.TableLeaseEnd())
}

// TableLeaseEnd is when the authority that the holder has from the table ends.
func (s *Seat) TableLeaseEnd() time.Time {
	if end, ok := s.hints.authorityEnd(s.record.Term, s.record.Renewals); ok {
		return end
	}
	return s.renewalSeenAt.Add(lease.Wait(LeaseDuration))
}

// HasHint tells whether the holder itself has told of the renewal in the row.
func (s *Seat) HasHint() bool {
	_, ok := s.hints.authorityEnd(s.record.Term, s.record.Renewals)
	return ok
}

// OutageLimitPassed tells whether the row has been silent for longer than any
// holder extends its authority without the table.
func (s *Seat) OutageLimitPassed(now time.Time) bool {
	return s.observed && now.Sub(s.renewalSeenAt) > lease.Wait(OutageLimit+LeaseDuration)
}

// AddHint takes in what the holder said, received at now; see Hints. A candidate
// that has heard it need not wait for a whole Hold after its own first reading.
func (s *Seat) AddHint(now time.Time, term, renewals uint64, left time.Duration) {
	s.hints.Add(now, term, renewals, left)
}

// SetHints takes in all that the holder said, heard elsewhere.
func (s *Seat) SetHints(h Hints) { s.hints = h }

// UnchangedFor returns how long the row has stood unchanged.
func (s *Seat) UnchangedFor(now time.Time) time.Duration { return now.Sub(s.renewalSeenAt) }

// Claim returns the write that takes the seat, sent at now under token.
func (s *Seat) Claim(now time.Time, token string) (table.Transaction, error) {
	next := s.Self
	next.Zone = s.Name
	next.Term = s.record.Term + 1
	s.renewalNumber = 0
	// After an eviction every lease of the earlier holder has been waited
	// out; otherwise some may run on.
	s.priorLeases = s.record.Holder != "" && !s.evicting
	return s.buildWrite(now, token, next, true)
}

// Renew returns the write that keeps the seat for another Hold. Each write has
// a number of its own, so that what others are told of one, sent at one time, is
// never taken for what they were told of another.
func (s *Seat) Renew(now time.Time, token string) (table.Transaction, error) {
	s.renewalNumber = max(s.renewalNumber, s.record.Renewals) + 1
	next := s.record
	next.Intent = ""
	next.Renewals = s.renewalNumber
	return s.buildWrite(now, token, next, false)
}

// RenewalNumber is the number of the last renewal, whether it took effect or not.
func (s *Seat) RenewalNumber() uint64 { return s.renewalNumber }

// HandOver returns the write by which a holder steps down early.
func (s *Seat) HandOver(now time.Time, token string) (table.Transaction, error) {
	next := s.record
	next.HandedOver = true
	tx, err := s.buildWrite(now, token, next, false)
	s.held = false
	clear(s.pending)
	return tx, err
}

// ConfirmRenewal takes in that the renewal of this token took effect at a revision,
// which saves reading the row back.
func (s *Seat) ConfirmRenewal(now time.Time, token string, revision uint64) {
	mine, ours := s.pending[token]
	if !ours || !s.held || revision <= s.version {
		return
	}
	s.record.Renewals = mine.renewals
	s.record.Intent = ""
	s.version = revision
	s.renewalSeenAt = now
	s.gainAuthority(now, mine.sentAt)
}

// DeclareIntent returns the write that announces the eviction of the present holder
// in the row, so that every later holder of another seat reads of it.
func (s *Seat) DeclareIntent(now time.Time, token, who string) (table.Transaction, error) {
	next := s.record
	next.Intent = who
	return s.buildWrite(now, token, next, false)
}

// ClaimAfterEviction returns the write that takes the seat from a holder whose eviction is
// complete.
func (s *Seat) ClaimAfterEviction(now time.Time, token string) (table.Transaction, error) {
	s.evicting = true
	defer func() { s.evicting = false }()
	return s.Claim(now, token)
}

// Evict returns the write that leaves the seat without a holder, together
// with a new term.
func (s *Seat) Evict(now time.Time, token string) (table.Transaction, error) {
	next := Record{Zone: s.Name, Term: s.record.Term + 1}
	return s.buildWrite(now, token, next, true)
}

func (s *Seat) buildWrite(now time.Time, token string, next Record, newTerm bool) (table.Transaction, error) {
	put, err := table.Encode(RowKey(s.Name), next)
	if err != nil {
		return table.Transaction{}, err
	}
	tx := table.Transaction{
		Token:      token,
		Conditions: []table.Condition{{Key: RowKey(s.Name), Version: s.version}},
		Puts:       []table.Put{put},
	}
	if newTerm {
		term, err := table.Encode(TermKey(s.Name), next.Term)
		if err != nil {
			return table.Transaction{}, err
		}
		tx.Puts = append(tx.Puts, term)
	}
	if s.pending == nil {
		s.pending = map[string]pendingWrite{}
	}
	if next.Holder != "" && s.isSelf(next) && !next.HandedOver {
		s.pending[token] = pendingWrite{now, next.Renewals}
	}
	return tx, nil
}

// NameFromRowKey returns the seat of a row's key; ok is false for other rows.
func NameFromRowKey(key string) (name string, ok bool) {
	return strings.CutPrefix(key, RowKey(""))
}
