package ownership_test

import (
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
)

// zoneOf returns the zone of an address; empty without congestion.
func (s *simulation) zoneOf(address string) string {
	switch {
	case !s.congestion:
		return ""
	case len(address)%2 == 1 || strings.HasSuffix(address, "1"):
		return "far"
	}
	return "near"
}

// queueGrant lets a grant arrive when the queue of its link is empty, long after its
// connection was reset. A connection that is not open yet is not opened until then.
func (s *simulation) queueGrant(m *ownership.Manager, o *ownership.Grant, until time.Time) {
	sent := s.now
	outcome := ownership.Unknown
	if to, failed := s.connect(o); to == nil || o.ChannelOpened.Equal(s.now) {
		outcome = ownership.Unsent
		if failed == ownership.ChannelClosed {
			outcome = failed
		}
	} else {
		s.after(until.Sub(s.now), func() { s.applyGrant(to, s.now, o) })
	}
	s.after(callTimeout, func() { s.whenAwake(func() { m.Granted(s.now, sent, o, outcome) }) })
}

// Guards against two holders of a key whose owner was sent a grant over a congested link:
// it arrives seconds after its connection was reset, when the owner is taken to be lost.
func TestNoKeyHasTwoHoldersBehindCongestedLink(t *testing.T) { simulate(t, 150, true, false) }
