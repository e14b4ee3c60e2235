// Package seat implements leader election: each seat is one row of the table
// service, held for a lease and renewed by conditional writes.
package seat

import (
	"strings"
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/table"
)

// LeaseDuration is how long a renewal is valid, from the time it was sent.
const LeaseDuration = 1200 * time.Millisecond

// OutageLimit is how long the leaders of other zones may extend a holder that
// cannot renew in the table. A seat also stays empty for so long if too many
// leaders fail at once to establish whether it is being extended.
const OutageLimit = 3 * time.Minute

// Record is the value of a seat's row.
type Record struct {
	Zone   string `json:"zone"`
	Holder string `json:"holder"`
	// Incarnation distinguishes the starts of an instance.
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// Term increases with every change of holder.
	Term uint64 `json:"term"`
	// HandedOver is set by a holder that resigned. Leases that it gave may
	// last up to LeaseDuration after the write.
	HandedOver bool `json:"handedOver,omitempty"`
	// Intent names the instance that intends to evict the holder.
	Intent string `json:"intent,omitempty"`
	// Renewals is the number of the last renewal; renewals that did not take
	// effect are counted too. It makes each renewal a new row version.
	Renewals uint64 `json:"renewals"`
}

// RowKey is the key of a seat's row.
func RowKey(name string) string { return "head/seat/" + name }

// TermKey is the key of the row that changes only with the term, so that a
// planner's write can be conditional on the term and not on renewals.
func TermKey(name string) string { return "term/" + name }

// Seat is one instance's view of a seat, as holder or as candidate. The caller
// sets Name and Self. It is not safe for concurrent use.
type Seat struct {
	Name string
	// Self is written into the row when this instance claims the seat.
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
	announcements Announcements
}

// pendingWrite is a claim or renewal whose outcome is not known.
type pendingWrite struct {
	sentAt   time.Time
	renewals uint64
}

// Observe applies the seat's row as read from the table, received at now. A
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
	write, own := s.pending[row.Token]
	s.apply(now, row.Version, r)
	if own && s.isSelf(r) {
		s.gainAuthority(now, write.sentAt)
	}
	return nil
}

// ObserveTerm applies the version of the seat's term row.
func (s *Seat) ObserveTerm(version uint64) { s.termVersion = version }

func (s *Seat) apply(now time.Time, version uint64, r Record) {
	if s.observed && version == s.version {
		return
	}
	// An eviction intent changes the row but not the holder's authority, so
	// the time since the last renewal is not reset.
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

// gainAuthority counts authority from when the write was sent. The response, or
// the read that shows the write, may be arbitrarily late; if authority counted
// from receipt, the holder would continue after an observer's wait has ended.
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

// Record returns the row last observed and its version.
func (s *Seat) Record() (r Record, version uint64) { return s.record, s.version }

// Observed reports whether the row has been read.
func (s *Seat) Observed() bool { return s.observed }

// TermVersion returns the version of the term row last observed.
func (s *Seat) TermVersion() uint64 { return s.termVersion }

// Holding reports whether this instance is the holder in the row last observed.
// Its authority may have expired nevertheless.
func (s *Seat) Holding() bool { return s.held }

// Authority returns the lease that this instance has as holder; the zero lease
// if it is not the holder.
func (s *Seat) Authority() lease.Lease {
	if !s.held {
		return lease.Lease{}
	}
	return s.authority
}

// Extend adds authority that the other zones' leaders gave in response to
// requests sent at sent. It reports whether the outage limit allows it.
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
// be valid. After an eviction there are none, since the candidate waited until
// they had expired; after a handover or another claim they may last up to
// LeaseDuration.
func (s *Seat) PriorLeasesEnd() time.Time {
	if !s.priorLeases {
		return time.Time{}
	}
	return s.gainedAt.Add(lease.Wait(LeaseDuration))
}

// Free reports whether the seat may be claimed at once: it has no holder, it was
// handed over, or its holder was a process at this instance's own address,
// which must therefore have ended.
func (s *Seat) Free() bool {
	if !s.observed {
		return false
	}
	r := s.record
	return r.Holder == "" || r.HandedOver || r.Address != "" && r.Address == s.Self.Address && !s.isSelf(r)
}

// Expired reports whether the authority that the holder has from the table has
// ended at now. The wait counts from when this instance first saw the renewal,
// which is after the holder sent it. A holder may have more authority from
// the other zones' leaders; see the package eviction.
func (s *Seat) Expired(now time.Time) bool {
	return s.observed && now.After(s.TableLeaseEnd())
}

// TableLeaseEnd is when the authority that the holder has from the table ends.
func (s *Seat) TableLeaseEnd() time.Time {
	if end, ok := s.announcements.authorityEnd(s.record.Term, s.record.Renewals); ok {
		return end
	}
	return s.renewalSeenAt.Add(lease.Wait(LeaseDuration))
}

// HasAnnouncement reports whether the holder has announced the renewal in the row.
func (s *Seat) HasAnnouncement() bool {
	_, ok := s.announcements.authorityEnd(s.record.Term, s.record.Renewals)
	return ok
}

// OutageLimitPassed reports whether the last renewal in the row is so old that
// no holder can have extended its authority without the table until now.
func (s *Seat) OutageLimitPassed(now time.Time) bool {
	return s.observed && now.Sub(s.renewalSeenAt) > lease.Wait(OutageLimit+LeaseDuration)
}

// AddAnnouncement records a renewal that the holder announced, received at now; see
// Announcements. With it a candidate need not wait for a whole LeaseDuration after
// its own first read of the row.
func (s *Seat) AddAnnouncement(now time.Time, term, renewals uint64, left time.Duration) {
	s.announcements.Add(now, term, renewals, left)
}

// SetAnnouncements replaces the announcements by those received elsewhere.
func (s *Seat) SetAnnouncements(a Announcements) { s.announcements = a }

// UnchangedFor returns the time since this instance first saw the last renewal
// or change of holder in the row.
func (s *Seat) UnchangedFor(now time.Time) time.Duration { return now.Sub(s.renewalSeenAt) }

// Claim returns the write that claims the seat, sent at now under token.
func (s *Seat) Claim(now time.Time, token string) (table.Transaction, error) {
	next := s.Self
	next.Zone = s.Name
	next.Term = s.record.Term + 1
	s.renewalNumber = 0
	// After an eviction every lease of the earlier holder has expired;
	// otherwise some may still be valid.
	s.priorLeases = s.record.Holder != "" && !s.evicting
	return s.buildWrite(now, token, next, true)
}

// Renew returns the write that keeps the seat for another LeaseDuration. Each
// write has its own number, so that one announcement is never applied to
// another one, sent at another time.
func (s *Seat) Renew(now time.Time, token string) (table.Transaction, error) {
	s.renewalNumber = max(s.renewalNumber, s.record.Renewals) + 1
	next := s.record
	next.Intent = ""
	next.Renewals = s.renewalNumber
	return s.buildWrite(now, token, next, false)
}

// RenewalNumber is the number of the last renewal, whether or not it took effect.
func (s *Seat) RenewalNumber() uint64 { return s.renewalNumber }

// HandOver returns the write by which a holder resigns before its lease ends.
func (s *Seat) HandOver(now time.Time, token string) (table.Transaction, error) {
	next := s.record
	next.HandedOver = true
	tx, err := s.buildWrite(now, token, next, false)
	s.held = false
	clear(s.pending)
	return tx, err
}

// ConfirmRenewal records that the renewal with this token took effect at a
// revision, which saves reading the row back.
func (s *Seat) ConfirmRenewal(now time.Time, token string, revision uint64) {
	write, own := s.pending[token]
	if !own || !s.held || revision <= s.version {
		return
	}
	s.record.Renewals = write.renewals
	s.record.Intent = ""
	s.version = revision
	s.renewalSeenAt = now
	s.gainAuthority(now, write.sentAt)
}

// DeclareIntent returns the write that records in the row that instance intends
// to evict the holder, so that later holders of other seats read it.
func (s *Seat) DeclareIntent(now time.Time, token, instance string) (table.Transaction, error) {
	next := s.record
	next.Intent = instance
	return s.buildWrite(now, token, next, false)
}

// ClaimAfterEviction returns the write that claims the seat of a holder whose
// eviction is complete.
func (s *Seat) ClaimAfterEviction(now time.Time, token string) (table.Transaction, error) {
	s.evicting = true
	defer func() { s.evicting = false }()
	return s.Claim(now, token)
}

// Evict returns the write that removes the holder and begins a new term.
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

// NameFromRowKey returns the seat of a row's key; ok is false for other keys.
func NameFromRowKey(key string) (name string, ok bool) {
	return strings.CutPrefix(key, RowKey(""))
}
