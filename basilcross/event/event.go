// Package event is the catalogue of log events. Each has a number, by which
// operators can find it and set alerts on it whatever its text.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// NumberKey is the key of the log attribute that holds the event's number.
const NumberKey = "event"

// Event is an entry of the catalogue. Numbers are never reused.
type Event struct {
	Number  int
	Name    string
	Level   slog.Level
	Meaning string
	// Action is what an operator should do about the event; empty if nothing.
	Action string
}

// The catalogue. Ranges of numbers: 1xx the process, 2xx seats and leases,
// 3xx targets and assignments, 4xx requests, 5xx configuration, 6xx the platform.
var (
	Started            = Event{100, "started", slog.LevelInfo, "The daemon accepts callers' connections.", ""}
	Stopping           = Event{101, "stopping", slog.LevelInfo, "The process received a termination signal; it finishes the requests in flight.", ""}
	Stopped            = Event{102, "stopped", slog.LevelInfo, "The daemon exits.", ""}
	DutyFailed         = Event{103, "dutyFailed", slog.LevelError, "A background task of the supervisor tree ended, failed or panicked and is restarted, or did not stop in time; or restarts were paused after many failures, or resumed.", "If it repeats, read the detail; the task does no work in the meantime."}
	SingleInstance     = Event{104, "singleInstance", slog.LevelWarn, "No platform address is set, so the table is kept in the memory of this process. This works for a single instance only.", "Set --platform for anything but a trial."}
	SeatGained         = Event{200, "seatGained", slog.LevelInfo, "This instance became the leader of its availability zone, or the planner of the fleet.", ""}
	SeatLost           = Event{201, "seatLost", slog.LevelWarn, "The row of this instance's seat no longer names it as the holder: another instance claimed the seat, or this instance was evicted.", "Look for a pause or a network partition of this instance at that time."}
	SeatHandedOver     = Event{202, "seatHandedOver", slog.LevelInfo, "This instance released its seat while shutting down.", ""}
	ZoneEvicted        = Event{203, "zoneEvicted", slog.LevelWarn, "A whole availability zone was unresponsive. It was evicted from its seat, and its targets' shards move to other targets.", "Investigate that zone. Its instances rejoin by themselves."}
	AuthorityLapsed    = Event{204, "authorityLapsed", slog.LevelWarn, "No poll of the zone leader was answered in time; this instance renews no target's lease.", "If it persists, check whether the zone has a leader."}
	AuthorityBack      = Event{205, "authorityBack", slog.LevelInfo, "The zone leader answers polls again.", ""}
	EvictionBegan      = Event{209, "evictionBegan", slog.LevelWarn, "The holder of a seat is unresponsive, and this instance sent the intent to evict it to the seat's row. The line says whether it was committed, how long the holder's authority from the table still lasts, and whether this is known from the holder's own announcements.", ""}
	TargetFailing      = Event{300, "targetFailing", slog.LevelWarn, "A target did not answer several renewals in a row, or one while another instance reports it as failing.", "Check the target."}
	TargetAnswers      = Event{301, "targetAnswers", slog.LevelInfo, "A target answers renewals again.", ""}
	AssignmentWritten  = Event{302, "assignmentWritten", slog.LevelInfo, "The planner's next assignment was committed in the table service.", ""}
	AssignmentRefused  = Event{303, "assignmentRefused", slog.LevelInfo, "The planner's write conflicted with another write or a new term. The planner computes the assignment again.", ""}
	AssignmentLoaded   = Event{304, "assignmentLoaded", slog.LevelDebug, "A newer assignment is in force on this instance.", ""}
	SnapshotDamaged    = Event{305, "snapshotDamaged", slog.LevelError, "An assignment snapshot in the object store is missing or damaged; an older snapshot and more deltas are used instead.", "Check the object store. The next snapshot replaces the damaged one."}
	TargetSilent       = Event{400, "targetSilent", slog.LevelInfo, "A target did not answer a request in time; the open connections to the target are dropped.", "If many targets are affected at once, suspect the network between."}
	AnswerCut          = Event{401, "answerCut", slog.LevelInfo, "A target's response ended early, or the caller did not receive all of it; the caller's connection was aborted, or the request was refused.", ""}
	TargetEjected      = Event{402, "targetEjected", slog.LevelWarn, "A target fails too often. If its service is unsharded, it gets no requests for a while.", "Check the target."}
	PlacementDenied    = Event{407, "placementDenied", slog.LevelDebug, "A request was not sent to any target, since its route permits none of the regions that have targets, or the permitted zones are evacuated. The line names both, and the version of the configuration.", "If it persists, check the route's regions and the evacuated zones."}
	LoadUnusable       = Event{408, "loadUnusable", slog.LevelWarn, "A target reports its load in a form that is not known. It is ignored, and logged once for the service.", ""}
	ConfigInForce      = Event{500, "configInForce", slog.LevelInfo, "A newer configuration is in force on this instance.", ""}
	ZoneEvacuated      = Event{503, "zoneEvacuated", slog.LevelWarn, "The operator has evacuated an availability zone: its targets get no requests, and its keys move to other zones.", "Watch the refusals of the permitted zones until it is taken back."}
	RegionUnknown      = Event{505, "regionUnknown", slog.LevelWarn, "A route of the configuration in force permits a region that no availability zone has. Requests are not served there.", "Correct the route's regions, or this instance's setting of the zones' regions."}
	RouteTypeUnknown   = Event{506, "routeTypeUnknown", slog.LevelError, "A route of the configuration in force has a type that this version does not know. Its requests run at most once; other routes are not affected.", "Update the gateways, or correct the route's type."}
	ZoneReturned       = Event{504, "zoneReturned", slog.LevelInfo, "The operator has taken an evacuated zone back. Its targets are treated as cold at first.", ""}
	ConfigAccepted     = Event{501, "configAccepted", slog.LevelInfo, "An operator's configuration was committed in the table service.", ""}
	ConfigStale        = Event{502, "configStale", slog.LevelWarn, "A configuration that is not newer than the one in force was received and ignored.", ""}
	ConfigOverdue      = Event{507, "configOverdue", slog.LevelWarn, "Another instance has had a newer configuration for a second, and it is not in force here. The line has the revision that the other one reported, the revision here, whether this instance relies on its zone's readers, and whether it is receiving the table at the moment.", "Check the lines 607 and 611 of this instance, and its links to the instances named in them."}
	PlatformDown       = Event{600, "platformDown", slog.LevelWarn, "The table service does not answer. Zone leaders extend each other's authority; nothing new is decided.", "Check the platform. Targets keep serving their keys."}
	PlatformBack       = Event{601, "platformBack", slog.LevelInfo, "The table service answers again.", ""}
	HistoryLost        = Event{603, "historyLost", slog.LevelInfo, "The store no longer has all changes since this instance's revision; the full table is read.", ""}
	TableLost          = Event{604, "tableLost", slog.LevelWarn, "Polling a table of the store fails. The mirror of it stays in force and takes newer state from other instances.", "Check the platform's store and this instance's connection to it."}
	TableBack          = Event{605, "tableBack", slog.LevelInfo, "Polling a table of the store works again.", ""}
	DatagramFailed     = Event{606, "datagramFailed", slog.LevelWarn, "A datagram between instances could not be sent, received or decoded, or an instance's datagram address could not be resolved.", ""}
	StoreCallFailed    = Event{607, "storeCallFailed", slog.LevelInfo, "A call to the store, or to another instance for its copy of the tables, failed or got no answer.", ""}
	RowUnusable        = Event{608, "rowUnusable", slog.LevelWarn, "A row of the store is invalid and was ignored.", "Find out what writes it."}
	PeerStateTaken     = Event{609, "peerStateTaken", slog.LevelInfo, "A newer copy of a table was received from another instance and applied.", ""}
	TransferBroken     = Event{611, "transferBroken", slog.LevelInfo, "A response of the store or of another instance broke off after its beginning. The line has how many bytes had arrived, in what time, and why it ended.", "If one instance has many of them, check its link. A canceled one was no longer needed, or the instance has begun it again."}
	StoreCalled        = Event{610, "storeCalled", slog.LevelDebug, "A call to the store has ended.", ""}
	LeadGained         = Event{206, "leadGained", slog.LevelInfo, "This instance became the coordinator, the only instance that grants keys.", ""}
	LeadLost           = Event{207, "leadLost", slog.LevelWarn, "This instance is no longer the coordinator.", "Unless the reason is that it resigned or stopped, look for a pause of this instance, or a lost connection to the store."}
	LeadResigned       = Event{208, "leadResigned", slog.LevelInfo, "This instance resigned as coordinator, since it is shutting down, its links to targets are down, or an instance with more cores takes over.", ""}
	LeadUnlinked       = Event{210, "leadUnlinked", slog.LevelWarn, "The coordinator's own links to the targets of sharded services are down, and another instance has answered that it reaches them. The coordinator resigns.", "Check the network between this instance and the targets."}
	TargetCame         = Event{306, "targetCame", slog.LevelInfo, "A new target, or a new incarnation of a target, was added.", ""}
	TargetLeft         = Event{307, "targetLeft", slog.LevelInfo, "A target is leaving or gone.", ""}
	GrantFailed        = Event{308, "grantFailed", slog.LevelInfo, "A grant was not sent, not accepted by its target, or not answered.", ""}
	KeysReleased       = Event{309, "keysReleased", slog.LevelInfo, "A target was requested to release keys.", ""}
	KeysRecorded       = Event{310, "keysRecorded", slog.LevelInfo, "An assignment of keys was written to the store.", ""}
	OrderDropped       = Event{311, "orderDropped", slog.LevelWarn, "An order to a target was not sent, since the authority to send it had ended.", ""}
	TargetGone         = Event{312, "targetGone", slog.LevelInfo, "A target has ended for certain, since a younger target of another service has its address, and it does not answer orders or is no longer listed. Its keys are free, or become free once the last order that may have been misdirected has expired.", ""}
	TargetsLoaded      = Event{316, "targetsLoaded", slog.LevelInfo, "An instance that had no targets yet loaded the full list of them; events 306 and 307 report the changes from then on.", ""}
	SpeedsRestored     = Event{318, "speedsRestored", slog.LevelInfo, "A new coordinator read the speeds of a service's targets that its predecessors kept in the store. The line has how many there are, and how many of them are of listed incarnations; others are ignored.", ""}
	SpeedsUnusable     = Event{319, "speedsUnusable", slog.LevelWarn, "The row of a service's target speeds in the store cannot be read, so the speeds are measured again. A row of an unknown version is not replaced.", "After a rollback of the version, delete the row of the table speed if speeds are to be kept again."}
	TargetsChanged     = Event{317, "targetsChanged", slog.LevelInfo, "Many targets were added or are leaving at once. The line has their numbers in the last seconds; single lines are written at debug level only.", ""}
	StoreInDoubt       = Event{313, "storeInDoubt", slog.LevelWarn, "The store does not answer the coordinator; keys are granted for longer.", "Check the platform's store."}
	OrderChannel       = Event{314, "orderChannel", slog.LevelInfo, "A grant with a new epoch is sent on a connection to which this epoch is bound from now on.", ""}
	KeysInherited      = Event{315, "keysInherited", slog.LevelInfo, "A younger target has the address of a target that owns keys. It may have received orders meant for the older one, so the keys stay at the address, with a new epoch.", ""}
	RequestAnswered    = Event{403, "requestAnswered", slog.LevelInfo, "A request was answered by its target.", ""}
	RequestRefused     = Event{404, "requestRefused", slog.LevelInfo, "A request was refused or failed. The line has the cause and the figures of the request.", ""}
	AttemptFailed      = Event{405, "attemptFailed", slog.LevelInfo, "An attempt to send a request to a target failed.", ""}
	SchedulerSilent    = Event{406, "schedulerSilent", slog.LevelWarn, "The instance that schedules a target's slots does not answer; this instance schedules its own requests for a while.", "Check that instance and the network path to it."}
	LinksDown          = Event{409, "linksDown", slog.LevelWarn, "This instance reaches none or few of a service's targets, so its own links are taken to be down, not the targets. The line has the number of targets out of reach and of those reached of late, the one that failed last, and the time since any was reached.", "Check the network between this instance and the targets. If all instances report it, check the targets."}
	LinksBack          = Event{410, "linksBack", slog.LevelInfo, "This instance reaches most of a service's targets again, or has sent them nothing for a while. The line says how long its links were down.", ""}
	TargetAvoided      = Event{411, "targetAvoided", slog.LevelInfo, "The instance that schedules a target's slots sends it no requests for a while. The line has the result that led to this, the number of failures since its last answer, and the instance that reported the result.", ""}
	RequestForwarded   = Event{412, "requestForwarded", slog.LevelInfo, "A request was sent through another instance, the carrier, since this one's links to the targets are down. The line has the carrier's zone, how many instances were asked so far, and the outcome: answered, a cause for which the carrier refused or declined it, or unreachable; another carrier may be asked then. The carrier's lines about the request name this instance as the one it is from.", ""}
	ForwardUnusable    = Event{413, "forwardUnusable", slog.LevelWarn, "A request that another instance forwarded has a description that this one does not understand. It was declined, and has not run.", "Check the versions of the instances."}
	TargetEndedUnder   = Event{414, "targetEndedUnder", slog.LevelInfo, "A target ended while it ran a request, or soon after it left one without a response or failed it. The line has what shows the end: connections are refused, health checks are not answered, another target answers at the address, or the row of the target has gone or names another start. Requests that are the same have the same fingerprint, whatever their ID. All requests that the target was running are reported, of which at most one is the cause.", ""}
	RequestQuarantined = Event{415, "requestQuarantined", slog.LevelWarn, "A request under which three targets have ended does not reach any more targets: it is refused at all instances. The line has its fingerprint, the targets that ended as far as they are known here, and how long this lasts. After that it may reach one target; if this ends too, the time doubles.", "Find the request by the lines 414 with its fingerprint, and the fault in the targets' software or data. A new release of the targets, or corrected data, ends the quarantine only after its time."}
	RequestCleared     = Event{416, "requestCleared", slog.LevelInfo, "A request that was suspected or quarantined was answered by a target; nothing is held against it any more. The line has the instance that reported it, if it was another one.", ""}
	RetryShareChanged  = Event{417, "retryShareChanged", slog.LevelInfo, "This instance divides the fleet's retries by another number of instances. The line has the number before, what the coordinator says, how many instances are listed here, the highest number said of late, and how many retries this instance may send in a burst.", "If instances differ for longer than it takes to replace a coordinator, check the table of instances and who can reach the coordinator."}
	RateLimitChanged   = Event{418, "rateLimitChanged", slog.LevelInfo, "A target states how many requests per second it accepts from all instances together, states another number, or states none any more. The line has the number, and the instance that told of it.", "Find out what the target is short of."}
	RateLimitUnusable  = Event{419, "rateLimitUnusable", slog.LevelWarn, "A target states a rate limit in a form that is not known, or states several. What it stated before holds on. It is logged once for the service.", "Check the target's version."}
	TargetRests        = Event{420, "targetRests", slog.LevelInfo, "A target turned a request away, and wants no requests from this instance for the stated time. It is logged when its rest is prolonged by a tenth of a second or more.", "Find out what the target is short of."}
	TargetLeaves       = Event{421, "targetLeaves", slog.LevelInfo, "A target states in its answers that it leaves. The line has the instance that reported it, if it was another one.", ""}
	WithdrawalUnusable = Event{422, "withdrawalUnusable", slog.LevelWarn, "A target states a rest, or that it leaves, in a form that is not known. It is ignored, and logged once for the service.", "Check the target's version."}
	PoolOverloaded     = Event{423, "poolOverloaded", slog.LevelWarn, "More requests arrive for the targets of a service in a zone than they can serve. Those that cannot be answered in time are refused at once, until event 424. The load is the work that arrives, as a multiple of what the slots can do.", "Add targets to the service, or find out why the demand has risen."}
	PoolRecovered      = Event{424, "poolRecovered", slog.LevelInfo, "The overload of event 423 is over. The line has its duration and the number of requests that were refused.", ""}
	BodyRefused        = Event{427, "bodyRefused", slog.LevelInfo, "A request's body did not fit into the bytes that this instance may hold, or lost its share since it arrived too slowly while others were refused. The request has not run. The line has the stated length (-1 for none), the bytes that the body wanted or that had arrived, what is held and the limit.", "If it lasts, see how long requests with bodies take, or give the instances more memory."}
	TargetPaced        = Event{426, "targetPaced", slog.LevelInfo, "This instance, which schedules a target, limits the requests in flight at it, since the target has started or recovered, or does so no longer. The line has the cause, and at the end how long it lasted and how many answers were counted. An instance logs at most 40 of these lines in 20 s; leftOut is how many were left out before this one.", "If a target's pace does not end, or begins again and again, look at the target: it answers later than it used to, or fails."}
	LinesLeftOut       = Event{106, "linesLeftOut", slog.LevelWarn, "Log lines were dropped, since more were logged than may be written. The line says how many, and of which event if a single event exceeded its limit.", ""}
	Reloaded           = Event{105, "reloaded", slog.LevelInfo, "The settings were reloaded, or the previous ones stay in force because of an error.", ""}
	Reading            = Event{108, "reading", slog.LevelInfo, "This instance starts to poll the store's feeds itself, or to rely on the updates that other instances of its zone forward.", ""}
	ThinChanged        = Event{109, "thinChanged", slog.LevelInfo, "This instance becomes a thin one, which reserves slots through its zone's hubs, or a hub.", ""}
	NotReady           = Event{107, "notReady", slog.LevelInfo, "This instance became ready to accept connections, or ceased to be.", ""}
	RelayInUse         = Event{602, "relayInUse", slog.LevelWarn, "The table service is reachable only through another zone's leader.", "Check the connection of the zone to the platform."}
)

// Catalogue returns all events, grouped by range of numbers.
func Catalogue() []Event {
	return []Event{
		Started, Stopping, Stopped, DutyFailed, SingleInstance, Reloaded, LinesLeftOut, NotReady, Reading, ThinChanged,
		SeatGained, SeatLost, SeatHandedOver, ZoneEvicted, AuthorityLapsed, AuthorityBack,
		LeadGained, LeadLost, LeadResigned, EvictionBegan, LeadUnlinked,
		TargetFailing, TargetAnswers, AssignmentWritten, AssignmentRefused, AssignmentLoaded, SnapshotDamaged,
		TargetsLoaded, TargetCame, TargetLeft, TargetsChanged, GrantFailed, KeysReleased, KeysRecorded, OrderDropped, TargetGone, StoreInDoubt, OrderChannel, KeysInherited,
		TargetSilent, AnswerCut, TargetEjected, RequestAnswered, RequestRefused, AttemptFailed, SchedulerSilent, PlacementDenied, LoadUnusable, LinksDown, LinksBack, TargetAvoided, RequestForwarded, ForwardUnusable, TargetEndedUnder, RequestQuarantined, RequestCleared, RetryShareChanged, RateLimitChanged, RateLimitUnusable, TargetRests, TargetLeaves, WithdrawalUnusable, PoolOverloaded, PoolRecovered, BodyRefused, SpeedsRestored, SpeedsUnusable, TargetPaced,
		ConfigInForce, ConfigAccepted, ConfigStale, ConfigOverdue, ZoneEvacuated, ZoneReturned, RegionUnknown, RouteTypeUnknown,
		PlatformDown, PlatformBack, RelayInUse,
		HistoryLost, TableLost, TableBack, DatagramFailed, StoreCallFailed, StoreCalled, RowUnusable, PeerStateTaken, TransferBroken,
	}
}

// Log logs the event at its level, with its name, its number and the attributes.
func (e Event) Log(log *slog.Logger, attrs ...any) {
	attrs = append([]any{NumberKey, e.Number}, attrs...)
	log.Log(context.Background(), e.Level, e.Name, attrs...)
}

// Markdown returns the catalogue as Markdown, for docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries `event`, the number below. This page is generated from\nthe catalogue in the package `event`; a test fails if they differ.\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "\n## %d %s\n\n%s: %s\n", e.Number, e.Name, e.Level, e.Meaning)
		if e.Action != "" {
			fmt.Fprintf(&b, "\nWhat to do: %s\n", e.Action)
		}
	}
	return b.String()
}
