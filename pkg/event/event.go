// Package event defines the names of log events. Every log line has one of these
// names in its field "event"; docs/EVENTS.md is generated from their descriptions.
package event

import (
	"fmt"
	"strings"
)

// Name is the value of the field "event" of a log line.
type Name string

// The log events. The leader is called steward in event names and fields, and a
// rollback is called taken back; log readers depend on these names.
const (
	NodeStarted            Name = "node_started"
	NodeJoined             Name = "node_joined"
	NodeStopping           Name = "node_stopping"
	NodeStopped            Name = "node_stopped"
	StopTimedOut           Name = "stop_timed_out"
	SettingsReloaded       Name = "settings_reloaded"
	LogLinesDropped        Name = "log_lines_dropped"
	StoreReached           Name = "store_reached"
	StoreLost              Name = "store_lost"
	StoreRestored          Name = "store_restored"
	StoreWatchChanged      Name = "store_watch_changed"
	RegistrationLapsed     Name = "registration_lapsed"
	RegistrationFailed     Name = "registration_failed"
	PeerChanged            Name = "peer_changed"
	PeerNameTaken          Name = "peer_name_taken"
	PeerMessageInvalid     Name = "peer_message_invalid"
	RecordUnencodable      Name = "record_unencodable"
	ConfigurationInForce   Name = "configuration_in_force"
	ConfigurationRefused   Name = "configuration_refused"
	ConfigurationSkipped   Name = "configuration_skipped"
	ReleaseHeld            Name = "release_held"
	BackendServerChanged   Name = "backend_server_changed"
	BackendServerDown      Name = "backend_server_down"
	BackendServerLimited   Name = "backend_server_limited"
	BackendServerCold      Name = "backend_server_cold"
	DataCentreEvacuated    Name = "data_centre_evacuated"
	BackendServerAdopted   Name = "backend_server_adopted"
	AnnouncementRefused    Name = "announcement_refused"
	OrderSeen              Name = "order_seen"
	OrderRefused           Name = "order_refused"
	ShareChanged           Name = "share_changed"
	VersionsCompared       Name = "versions_compared"
	VersionRolledBack      Name = "version_taken_back"
	StatusWritten          Name = "status_written"
	StatusFailed           Name = "status_failed"
	LeaderElected          Name = "steward_elected"
	LeaderSteppedDown      Name = "steward_stood_down"
	RequestRefused         Name = "request_refused"
	RequestRetried         Name = "request_retried"
	RequestServed          Name = "request_served"
	RequestRefusedByOwner  Name = "request_refused_by_owner"
	RequestOutcomeUnknown  Name = "request_outcome_unknown"
	RequestFailedByBackend Name = "request_failed_by_backend_server"
	CrashCounted           Name = "crash_counted"
	CrashNotCounted        Name = "crash_not_counted"
	AnswerMismatched       Name = "answer_crossed"
	HandlerPanicked        Name = "handler_panicked"
)

// Doc describes an event.
type Doc struct {
	Name    Name
	Meaning string
	// Fields lists the fields in addition to time, level, node and data_centre.
	Fields string
}

// All returns the descriptions of all events.
func All() []Doc {
	const call = "request, route, service, version, instance, table, elapsed_ms, remaining_ms, probes, reached, budget_left"
	const run = "request, instance, version, route, reason, verdict, table, in_flight, wait_ms, work_ms, remaining_ms, repeated"
	return []Doc{
		{NodeStarted, "The node listens and serves.", "sequence"},
		{NodeJoined, "The node received what other nodes know about its host, or its wait for that timed out; it serves now.", "cause, after_ms, members"},
		{NodeStopping, "The node received a stop signal; it notifies other nodes before it stops.", ""},
		{NodeStopped, "The node has stopped.", ""},
		{StopTimedOut, "Requests were still in flight, or servers had not ended, at the end of the stop timeout.", "error"},
		{SettingsReloaded, "The settings were read again, as the file changed or after SIGHUP. Lists the changed fields that took effect and those that need a restart; an error lists what is invalid, and nothing changed.", "changed, at_start, error"},
		{LogLinesDropped, "Log lines were dropped because their rate was too high or their reader was too slow.", "lines"},
		{StoreReached, "The store answers again.", ""},
		{StoreLost, "The store does not answer, or dropped the history that a watch needs.", "error"},
		{StoreRestored, "The store was restored from an earlier copy: what was written after the copy is lost, and revisions and lease numbers are given out again.", "era, era_before"},
		{StoreWatchChanged, "This node began or stopped watching the store for the nodes of its data centre, or watches with another wait; 0 means that it relies on others.", "wait_ms"},
		{RegistrationLapsed, "The lease of this node's address expired; the node registers the address again.", ""},
		{RegistrationFailed, "The registration cannot be encoded.", "error"},
		{PeerChanged, "A node joined, failed its probes, was declared dead or left.", "member, state"},
		{PeerNameTaken, "Another node uses the name of this node.", "other"},
		{PeerMessageInvalid, "A message between nodes cannot be encoded or decoded; logged for the first one of each call.", "call, error"},
		{RecordUnencodable, "A record of this node cannot be encoded. It is left out of messages and of the registration, so that no other node learns of it; logged once for each record.", "key, error"},
		{ConfigurationInForce, "A configuration came into force on this node.", "sequence, revision, era, from"},
		{ConfigurationRefused, "A configuration was refused; the previous one stays in force.", "sequence, revision, era, from, error"},
		{ConfigurationSkipped, "The store offered another configuration than the one in force, which it does not replace.", "sequence, revision, era, held_revision, held_era, from"},
		{ReleaseHeld, "This node accepted a signed release.", "sequence"},
		{BackendServerChanged, "The backend server on this host announced a change.", "instance, service, version, draining, number"},
		{BackendServerDown, "The backend server on this host accepts no connections or sends no heartbeats.", "instance"},
		{BackendServerLimited, "The answers of the backend server on this host began to name a limit of requests a second, changed it or named none any more; runs is the number of requests that were sent to it since the last such line.", "instance, service, limited, per_second, was_limited, was_per_second, runs, for_ms"},
		{BackendServerCold, "The backend server on this host turned cold or is cold no more. While it is cold, or while that is not known, it gets at most per_second requests a second.", "instance, cold, known, per_second, left_ms"},
		{DataCentreEvacuated, "The operators ordered that the backend servers of a data centre get no requests, or ended that.", "data_centre_evacuated, active"},
		{BackendServerAdopted, "After a restart, the node received the record of the backend server on this host from peers or the store.", "instance, draining"},
		{AnnouncementRefused, "A call from a backend server was invalid.", "reason, error"},
		{OrderSeen, "The operators ordered the move of a service to a version.", "service, version, revision, era, duration_ms"},
		{OrderRefused, "An order was invalid.", "key, error"},
		{ShareChanged, "The share of a version under an order changed on this node.", "service, version, permille, state, cause, steward, epoch, step"},
		{VersionsCompared, "The figures by which the leader compared the versions for one cause over all routes, when the share changed: events are failed or slow requests.", "service, version, permille, cause, slow_factor, new_events, new_trials, old_events, old_trials, expected, chance, old_median_ms, old_p90_ms, new_median_ms, new_p90_ms"},
		{VersionRolledBack, "The leader found a version worse than the previous one and rolled it back.", "service, version, cause"},
		{StatusWritten, "The state of an order was written for the operators.", "service, version, state, revision, era, cause"},
		{StatusFailed, "The status of an order cannot be encoded.", "error"},
		{LeaderElected, "This node became the leader, which decides the shares.", "epoch"},
		{LeaderSteppedDown, "This node is no longer the leader.", "cause"},
		{RequestRefused, "This node refused a caller's request.", call + ", reason, verdict, retry_after_ms"},
		{RequestRetried, "A request is retried on another backend server.", call + ", reason, attempt"},
		{RequestServed, "A request was answered; logged for one in a hundred requests and for every retried one.", call + ", status, attempts"},
		{RequestRefusedByOwner, "The node of the backend server refused a request before it ran.", run + ", retry_after_ms"},
		{RequestOutcomeUnknown, "A request was sent to the backend server, but no complete answer was received.", run + ", elapsed_ms"},
		{RequestFailedByBackend, "The backend server answered with a status of 500 or above.", run + ", status"},
		{CrashCounted, "The crash of a backend server counts against a request that it had been given; evidence is what showed the crash. Requests that it had just answered are logged from their second mark on.", "request, fingerprint, incarnation, evidence, answered, weight, open_weight, open_marks, presumed_harmless"},
		{CrashNotCounted, "A backend server ended, which counts against no request: it was draining, or had been given none.", "incarnation, evidence, draining, suspects"},
		{HandlerPanicked, "A part of the program panicked. Only what it did was ended: the connection of a caller or peer, a call, an exchange with a peer, or the processing of a key of the store. A background loop starts again after a second.", "scope, error, stack"},
		{AnswerMismatched, "An answer that belongs to another request was dropped.", "request, instance"},
	}
}

// Reference returns the Markdown reference of all events, which is docs/EVENTS.md.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Log lines\n\nGenerated by `make generate`. Lines are JSON objects on standard output with `time`, `level`, `node`,\n`data_centre` and `event`.\n\n| event | meaning | fields |\n|---|---|---|\n")
	for _, d := range All() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", d.Name, d.Meaning, d.Fields)
	}
	return b.String()
}
