// Package event numbers the log events, so that operators can look each one up
// and alert on it whatever its wording.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// NumberKey is the attribute of a log line that has its event's number.
const NumberKey = "event"

// Event is an entry of the catalogue. Numbers are never reused.
type Event struct {
	Number  int
	Name    string
	Level   slog.Level
	Meaning string
	// Action is what an operator does about it; empty means nothing.
	Action string
}

// The catalogue, by range: 1xx the process, 2xx seats and leases, 3xx targets
// and assignments, 4xx requests, 5xx configuration, 6xx the platform.
var (
	Started           = Event{100, "started", slog.LevelInfo, "The daemon listens for callers.", ""}
	Stopping          = Event{101, "stopping", slog.LevelInfo, "A termination signal arrived; requests in flight are finished.", ""}
	Stopped           = Event{102, "stopped", slog.LevelInfo, "The daemon ends.", ""}
	DutyFailed        = Event{103, "dutyFailed", slog.LevelError, "A duty of the supervisor tree ended with an error and is started again.", "If it repeats, read the error; the duty's work stands still meanwhile."}
	SingleInstance    = Event{104, "singleInstance", slog.LevelWarn, "No platform address is set, so the table is in this process's memory. Good for one instance only.", "Set --platform for anything but a trial."}
	SeatGained        = Event{200, "seatGained", slog.LevelInfo, "This instance leads its availability zone or plans for the fleet.", ""}
	SeatLost          = Event{201, "seatLost", slog.LevelWarn, "This instance's seat went to another, or its authority lapsed.", "Look for a pause or a cut of this instance at that time."}
	SeatHandedOver    = Event{202, "seatHandedOver", slog.LevelInfo, "This instance gave its seat back while shutting down.", ""}
	ZoneEvicted       = Event{203, "zoneEvicted", slog.LevelWarn, "A whole availability zone was silent; its seat was taken away and its targets' shards go to others.", "Look into that zone. Its instances come back by themselves."}
	AuthorityLapsed   = Event{204, "authorityLapsed", slog.LevelWarn, "No poll of the zone leader was answered in time; this instance renews no target.", "If it lasts, see whether the zone has a leader."}
	AuthorityBack     = Event{205, "authorityBack", slog.LevelInfo, "The zone leader answers again.", ""}
	EvictionBegan     = Event{209, "evictionBegan", slog.LevelWarn, "A seat's holder is silent; its eviction was announced in the seat's row. The line says how long its authority from the table still lasts, and whether that is known from its own word.", ""}
	TargetFailing     = Event{300, "targetFailing", slog.LevelWarn, "A target left several renewals unanswered.", "Look at the target."}
	TargetAnswers     = Event{301, "targetAnswers", slog.LevelInfo, "A target answers renewals again.", ""}
	AssignmentWritten = Event{302, "assignmentWritten", slog.LevelInfo, "The planner's next assignment took effect in the table service.", ""}
	AssignmentRefused = Event{303, "assignmentRefused", slog.LevelInfo, "The planner's write lost to another write or to a new term. It decides anew.", ""}
	AssignmentLoaded  = Event{304, "assignmentLoaded", slog.LevelDebug, "A newer assignment is in force on this instance.", ""}
	SnapshotDamaged   = Event{305, "snapshotDamaged", slog.LevelError, "An assignment snapshot in the object store is missing or damaged; an older one and more deltas are used.", "Check the object store. The next snapshot heals it."}
	TargetSilent      = Event{400, "targetSilent", slog.LevelInfo, "A request got no answer in time; the open connections to the target are dropped.", "If many targets show it at once, suspect the network between."}
	AnswerCut         = Event{401, "answerCut", slog.LevelInfo, "A target's answer ended early; the caller's connection was broken off or the request refused.", ""}
	TargetEjected     = Event{402, "targetEjected", slog.LevelWarn, "A target of an undivided service fails too often and gets no requests for a while.", "Look at the target."}
	ConfigInForce     = Event{500, "configInForce", slog.LevelInfo, "A newer configuration is in force on this instance.", ""}
	ConfigAccepted    = Event{501, "configAccepted", slog.LevelInfo, "An operator's configuration took effect in the table service.", ""}
	ConfigStale       = Event{502, "configStale", slog.LevelWarn, "Somebody offered an older configuration than the one in force; it was ignored.", ""}
	PlatformDown      = Event{600, "platformDown", slog.LevelWarn, "The table service does not answer. Authority is extended among zone leaders; nothing new is agreed.", "Look at the platform. Keys go on being served."}
	PlatformBack      = Event{601, "platformBack", slog.LevelInfo, "The table service answers again.", ""}
	HistoryLost       = Event{603, "historyLost", slog.LevelInfo, "The store no longer has the changes that this instance lacks; the table is read whole.", ""}
	TableLost         = Event{604, "tableLost", slog.LevelWarn, "A table of the store cannot be followed. The copy stays in force, and other instances' newer ones are taken.", "Look at the platform's store and this instance's way to it."}
	TableBack         = Event{605, "tableBack", slog.LevelInfo, "A table of the store is followed again.", ""}
	DatagramFailed    = Event{606, "datagramFailed", slog.LevelWarn, "A datagram between instances could not be sent or read.", ""}
	StoreCallFailed   = Event{607, "storeCallFailed", slog.LevelInfo, "A call to the store failed or got no answer.", ""}
	RowUnusable       = Event{608, "rowUnusable", slog.LevelWarn, "A row of the store cannot be used; it changes nothing.", "See who writes it."}
	PeerStateTaken    = Event{609, "peerStateTaken", slog.LevelInfo, "A newer copy of a table came from another instance.", ""}
	StoreCalled       = Event{610, "storeCalled", slog.LevelDebug, "A call to the store has ended.", ""}
	LeadGained        = Event{206, "leadGained", slog.LevelInfo, "This instance coordinates: it alone grants keys.", ""}
	LeadLost          = Event{207, "leadLost", slog.LevelWarn, "This instance no longer coordinates.", "Look for a pause of this instance, or a loss of its way to the store."}
	LeadResigned      = Event{208, "leadResigned", slog.LevelInfo, "This instance gave up coordinating: it ends, or a stronger one takes over.", ""}
	TargetCame        = Event{306, "targetCame", slog.LevelInfo, "A target's lifetime appeared.", ""}
	TargetLeft        = Event{307, "targetLeft", slog.LevelInfo, "A target is leaving or gone.", ""}
	GrantFailed       = Event{308, "grantFailed", slog.LevelInfo, "A target did not take a grant, or gave no answer.", ""}
	KeysReleased      = Event{309, "keysReleased", slog.LevelInfo, "A target was asked for keys back.", ""}
	KeysRecorded      = Event{310, "keysRecorded", slog.LevelInfo, "An assignment of keys was written to the store, or could not be.", ""}
	OrderDropped      = Event{311, "orderDropped", slog.LevelWarn, "An order to a target was not sent, since the authority to send it had ended.", ""}
	TargetGone        = Event{312, "targetGone", slog.LevelInfo, "A target is proved to have ended, since another service has its address; its keys are free, or will be when the last order that may have gone astray has run out.", ""}
	TargetsLoaded     = Event{316, "targetsLoaded", slog.LevelInfo, "The list of targets was read whole by an instance that knew of none; lines 306 and 307 tell of what changes from then on.", ""}
	StoreInDoubt      = Event{313, "storeInDoubt", slog.LevelWarn, "The store does not answer the coordinator; keys are granted for longer.", "Look at the platform's store."}
	OrderChannel      = Event{314, "orderChannel", slog.LevelInfo, "A grant under a new epoch goes out on a connection to which the epoch belongs from now on.", ""}
	KeysInherited     = Event{315, "keysInherited", slog.LevelInfo, "A younger target lives at the address of one that has keys: it may have taken orders meant for that one, so the keys stay at the address, under a new epoch.", ""}
	RequestAnswered   = Event{403, "requestAnswered", slog.LevelInfo, "A request got its target's answer.", ""}
	RequestRefused    = Event{404, "requestRefused", slog.LevelInfo, "A request was refused or failed; the line says at what and by which figures.", ""}
	AttemptFailed     = Event{405, "attemptFailed", slog.LevelInfo, "A request's attempt at a target failed.", ""}
	SchedulerSilent   = Event{406, "schedulerSilent", slog.LevelWarn, "The instance that shares out a target's slots does not answer; for a while this instance decides by itself.", "Look at that instance and the way to it."}
	LinesLeftOut      = Event{106, "linesLeftOut", slog.LevelWarn, "More log lines came than are written; the number left out, and of which event if one alone wrote too many.", ""}
	Reloaded          = Event{105, "reloaded", slog.LevelInfo, "The settings were read anew.", ""}
	Reading           = Event{108, "reading", slog.LevelInfo, "Whether this instance follows the store's feeds itself, or listens to others of its zone that do.", ""}
	NotReady          = Event{107, "notReady", slog.LevelInfo, "Whether this instance takes connections has changed.", ""}
	RelayInUse        = Event{602, "relayInUse", slog.LevelWarn, "The table service is reached through another zone's leader only.", "Look at the zone's way to the platform."}
)

// Catalogue returns all events by number.
func Catalogue() []Event {
	return []Event{
		Started, Stopping, Stopped, DutyFailed, SingleInstance, Reloaded, LinesLeftOut, NotReady, Reading,
		SeatGained, SeatLost, SeatHandedOver, ZoneEvicted, AuthorityLapsed, AuthorityBack,
		LeadGained, LeadLost, LeadResigned, EvictionBegan,
		TargetFailing, TargetAnswers, AssignmentWritten, AssignmentRefused, AssignmentLoaded, SnapshotDamaged,
		TargetsLoaded, TargetCame, TargetLeft, GrantFailed, KeysReleased, KeysRecorded, OrderDropped, TargetGone, StoreInDoubt, OrderChannel, KeysInherited,
		TargetSilent, AnswerCut, TargetEjected, RequestAnswered, RequestRefused, AttemptFailed, SchedulerSilent,
		ConfigInForce, ConfigAccepted, ConfigStale,
		PlatformDown, PlatformBack, RelayInUse,
		HistoryLost, TableLost, TableBack, DatagramFailed, StoreCallFailed, StoreCalled, RowUnusable, PeerStateTaken,
	}
}

// Log writes the event with its number and the given attributes.
func (e Event) Log(log *slog.Logger, attrs ...any) {
	attrs = append([]any{NumberKey, e.Number}, attrs...)
	log.Log(context.Background(), e.Level, e.Name, attrs...)
}

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries `event`, the number below. This page is made from the\ncatalogue in the package `event`; a test keeps the two alike.\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "\n## %d %s\n\n%s: %s\n", e.Number, e.Name, e.Level, e.Meaning)
		if e.Action != "" {
			fmt.Fprintf(&b, "\nWhat to do: %s\n", e.Action)
		}
	}
	return b.String()
}
