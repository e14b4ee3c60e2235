package ownership

import (
	"time"

	"basilcross.example/basilcross/roster"
)

// UsableOwner returns the ID of the key's owner, if that may get requests. It is empty
// otherwise, and if there is no assignment.
func (a *Assignment) UsableOwner(now time.Time, listed *roster.View, key int) string {
	if a == nil {
		return ""
	}
	owner := a.Find(key).Owner
	t := listed.Find(owner)
	if owner == "" || t == nil || !t.Accepts(now, true) {
		return ""
	}
	return owner
}
