package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// drainingOwnerTTL is how long a key's owner still gets requests after it reported
// that it is draining, while its keys move to other targets. The users allow 2 s.
const drainingOwnerTTL = 700 * time.Millisecond

// UsableOwner returns the ID of the key's owner, if that may get requests. It is empty
// otherwise, and if there is no assignment.
func (a *Assignment) UsableOwner(now time.Time, listed *roster.View, key int) string {
	if a == nil {
		return ""
	}
	owner := a.Find(key).Owner
	t := listed.Find(owner)
	if owner == "" || t == nil || t.Draining && now.Sub(t.LeavingSince) > drainingOwnerTTL {
		return ""
	}
	return owner
}
