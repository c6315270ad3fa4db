package event

import "log/slog"

// Code is an event's number in the catalogue, which docs/EVENTS.md prints.
type Code int

// The numbers are grouped by hundreds: processes, requests, targets,
// configuration, peers, control of the fleet.
const (
	ProcessStarted   Code = 101
	ProcessReady     Code = 102
	ProcessDraining  Code = 103
	ProcessStopped   Code = 104
	ProcessFenced    Code = 105
	SettingsReloaded Code = 106
	SettingsRejected Code = 107
	ProcessSuspended Code = 108

	RequestArrived   Code = 201
	RequestQueued    Code = 202
	RequestPlaced    Code = 203
	RequestAnswered  Code = 204
	RequestRefused   Code = 205
	AttemptRefused   Code = 206
	AttemptBroken    Code = 207
	RequestResumed   Code = 208
	RequestRetried   Code = 209
	CallerGone       Code = 210
	ReplyDropped     Code = 211
	ClaimTaken       Code = 212
	ClaimReplayed    Code = 213
	ClaimUnsettled   Code = 214
	OutcomeRecorded  Code = 215
	OutcomeUnsaved   Code = 216
	AnswerUnfinished Code = 217
	RequestFaulty    Code = 218
	RequestLate      Code = 219
	AttemptWithdrawn Code = 220
	RequestHeld      Code = 221
	RequestReleased  Code = 222

	TargetSeen      Code = 301
	TargetRestarted Code = 302
	TargetLeaving   Code = 303
	TargetGone      Code = 304
	TargetFailing   Code = 305
	TargetHealthy   Code = 306
	EngineRan       Code = 308
	EngineCancelled Code = 309
	TargetWeights   Code = 310
	TargetOutdated  Code = 311
	TargetUnnamed   Code = 312
	TargetEnded     Code = 313
	TargetLimit     Code = 314
	TargetRests     Code = 315

	ConfigAdopted   Code = 401
	ConfigConfirmed Code = 402
	ConfigRejected  Code = 403
	StoreDown       Code = 404
	StoreBack       Code = 405
	// StoreHistoryGone and WeightsNamed are of nodes on an installation's store.
	StoreHistoryGone Code = 406
	WeightsNamed     Code = 407
	// ConfigBehind and ConfigUnfetched are of nodes that take a revision from each other.
	ConfigBehind    Code = 408
	ConfigUnfetched Code = 409
	// StoreReturned is of nodes on an installation's store.
	StoreReturned Code = 410

	PeerSeen Code = 501
	PeerLost Code = 502

	RelayBegun Code = 503
	RelayEnded Code = 504
	RelayTaken Code = 505
	RelayLost  Code = 506

	LeaseTaken     Code = 601
	LeaseLost      Code = 602
	OrderSent      Code = 603
	OrderDone      Code = 604
	OrderFailed    Code = 605
	RolloutStopped Code = 606
	CacheExported  Code = 607
	CacheImported  Code = 608
	LeaseAwaited   Code = 609
	RolloutPhase   Code = 610
	RolloutUnsaved Code = 611
)

// Entry is one line of the catalogue.
type Entry struct {
	Code    Code
	Name    string
	Level   slog.Level
	Meaning string
}

// Catalogue returns every event pathhead records, in the order of their numbers.
func Catalogue() []Entry {
	return catalogue[:]
}

var catalogue = [...]Entry{
	{ProcessStarted, "process-started", slog.LevelInfo, "A process began; its settings were valid."},
	{ProcessReady, "process-ready", slog.LevelInfo, "The process serves: it holds a confirmed configuration."},
	{ProcessDraining, "process-draining", slog.LevelInfo, "A planned stop began; readiness is off and answers in flight go on."},
	{ProcessStopped, "process-stopped", slog.LevelInfo, "The process ended after its last answer."},
	{ProcessFenced, "process-fenced", slog.LevelWarn, "The router could confirm its configuration with neither the stores nor a peer and refuses requests as not run."},
	{SettingsReloaded, "settings-reloaded", slog.LevelInfo, "Changed settings are in effect; addresses stay as they were at the start."},
	{SettingsRejected, "settings-rejected", slog.LevelWarn, "Changed settings have faults; the old ones stay in effect."},
	{ProcessSuspended, "process-suspended", slog.LevelWarn, "The VM was suspended; the detail says for how long. What was believed for a time counts as that much older."},

	{RequestArrived, "request-arrived", slog.LevelDebug, "A request passed the checks of the caller's door."},
	{RequestQueued, "request-queued", slog.LevelDebug, "No target had room; the request waits in its organisation's queue."},
	{RequestPlaced, "request-placed", slog.LevelDebug, "An attempt was sent to a target; the detail gives the reason."},
	{RequestAnswered, "request-answered", slog.LevelDebug, "The caller got a whole answer."},
	{RequestRefused, "request-refused", slog.LevelInfo, "The caller got an error; the detail gives the verdict and cause."},
	{AttemptRefused, "attempt-refused", slog.LevelInfo, "A target refused an attempt before running it."},
	{AttemptBroken, "attempt-broken", slog.LevelWarn, "An attempt ended without its finish mark; the detail names the incarnation it was sent to and the request's fingerprint, which all copies of the request share."},
	{RequestResumed, "request-resumed", slog.LevelInfo, "A broken answer goes on at another target after what was delivered."},
	{RequestRetried, "request-retried", slog.LevelInfo, "A request was placed anew from its start."},
	{CallerGone, "caller-gone", slog.LevelInfo, "The caller left; the attempt was cancelled."},
	{ReplyDropped, "reply-dropped", slog.LevelWarn, "A reply that belongs to another attempt was dropped."},
	{ClaimTaken, "claim-taken", slog.LevelDebug, "The claim of a call that may not be repeated was inserted in the table."},
	{ClaimReplayed, "claim-replayed", slog.LevelInfo, "A repeated call got the outcome recorded for its key."},
	{ClaimUnsettled, "claim-unsettled", slog.LevelWarn, "A claim has no outcome; the answer is that the call may have run."},
	{OutcomeRecorded, "outcome-recorded", slog.LevelDebug, "The outcome of a call that may not be repeated is in the table."},
	{OutcomeUnsaved, "outcome-unsaved", slog.LevelError, "The outcome could not be recorded; repeats will be told that the call may have run."},
	{AnswerUnfinished, "answer-unfinished", slog.LevelWarn, "An answer was cut after its first part; the caller got an explicit error."},
	{RequestFaulty, "request-faulty", slog.LevelInfo, "A request was wrong in itself: no such route or key, or not well formed; it did not run."},
	{RequestLate, "request-late", slog.LevelInfo, "The first part of an answer came after the route's aim; the detail has the times."},
	{AttemptWithdrawn, "attempt-withdrawn", slog.LevelInfo, "A request that waited at a target was taken back before it began; the detail says why."},
	{RequestHeld, "request-held", slog.LevelWarn, "A request is held back: targets ended under its copies, which the detail names, with the request's fingerprint. Logged once by each process for each time that it is held."},
	{RequestReleased, "request-released", slog.LevelInfo, "A request that was held back is held no more: it was answered, its time is over, or an operator said so."},

	{TargetSeen, "target-seen", slog.LevelInfo, "A target was seen for the first time."},
	{TargetRestarted, "target-restarted", slog.LevelWarn, "A target runs under a new incarnation; beliefs about the old one are gone."},
	{TargetLeaving, "target-leaving", slog.LevelInfo, "A target is leaving; it gets no new work in this incarnation."},
	{TargetGone, "target-gone", slog.LevelInfo, "A target left the list and is not reachable."},
	{TargetFailing, "target-failing", slog.LevelWarn, "A target failed several times in a row and gets probes only."},
	{TargetHealthy, "target-healthy", slog.LevelInfo, "A failing target answered again."},
	{EngineRan, "engine-ran", slog.LevelInfo, "A stand-in engine ran a request to its end."},
	{EngineCancelled, "engine-cancelled", slog.LevelInfo, "A stand-in engine stopped a request whose caller left."},
	{TargetWeights, "target-weights", slog.LevelInfo, "A target was seen with other weights than before; the detail says by whom it was told."},
	{TargetOutdated, "target-outdated", slog.LevelInfo, "A target's weights were replaced so long ago that nothing is sent to it on them; the detail says how long ago as far as this process knows. Logged once for each target and weights."},
	{TargetUnnamed, "target-unnamed", slog.LevelWarn, "An entry of the list of targets names none: it does not decode, lacks a field, or has a state or value without a meaning. It is passed over; the detail has its id and the fault. Logged once for as long as the fault lasts."},
	{TargetEnded, "target-ended", slog.LevelWarn, "A target ended while it ran requests of this process: nothing listens at its address, or a new start was seen there. The detail has the incarnation that ended and how many requests fell with it."},
	{TargetLimit, "target-limit", slog.LevelInfo, "A target's answers name a limit on the requests a second that it takes from all routers together, name another one, or none any more; the detail has it and who said so."},
	{TargetRests, "target-rests", slog.LevelInfo, "A target turned a request away and asked for rest: this process sends it nothing until that is over. The detail has for how long."},

	{ConfigAdopted, "config-adopted", slog.LevelInfo, "The process serves under a new revision."},
	{ConfigConfirmed, "config-confirmed", slog.LevelInfo, "A revision was copied to the object store, which confirms it."},
	{ConfigRejected, "config-rejected", slog.LevelError, "A stored revision does not decode or would go backwards; the old one stays."},
	{StoreDown, "store-down", slog.LevelWarn, "The table or object store does not answer."},
	{StoreBack, "store-back", slog.LevelInfo, "The store answers again."},

	{StoreHistoryGone, "store-history-gone", slog.LevelInfo, "The store's history does not reach back to the last change seen; the declaration is read whole."},
	{WeightsNamed, "weights-named", slog.LevelInfo, "Newer weights of a model were named; the detail says who told, and how long ago they were named as far as this process knows."},
	{ConfigBehind, "config-behind", slog.LevelInfo, "A newer revision is known than the one served under; the detail says who told of it. Logged once for each revision; config-adopted follows within a second."},
	{ConfigUnfetched, "config-unfetched", slog.LevelWarn, "A newer revision could not be taken from another node; the detail says from whom, what came of it and why it ended."},
	{StoreReturned, "store-returned", slog.LevelWarn, "The store came back from an older copy: what was written there since is gone, and its versions are given out again. The detail has its new era and the one before. What this process recorded is written again."},

	{PeerSeen, "peer-seen", slog.LevelInfo, "A peer was heard for the first time or again."},
	{PeerLost, "peer-lost", slog.LevelWarn, "A peer has not been heard for the peer timeout."},
	{RelayBegun, "relay-begun", slog.LevelInfo, "This process relays for others of a large fleet now: it reads the store and the engines' events for them; the detail has the fleet's size."},
	{RelayEnded, "relay-ended", slog.LevelInfo, "This process relays for others no more."},
	{RelayTaken, "relay-taken", slog.LevelInfo, "What the store and the engines say is taken from a relay, which the detail names."},
	{RelayLost, "relay-lost", slog.LevelWarn, "No relay tells what the store says, or only of old; this process reads the store itself until one does."},

	{LeaseTaken, "lease-taken", slog.LevelInfo, "This process holds a lease; the detail has its fencing number."},
	{LeaseLost, "lease-lost", slog.LevelWarn, "This process no longer holds a lease."},
	{OrderSent, "order-sent", slog.LevelInfo, "An order went to a target."},
	{OrderDone, "order-done", slog.LevelInfo, "A target was read back in the ordered state."},
	{OrderFailed, "order-failed", slog.LevelWarn, "An order was refused or had no effect; it is tried again later."},
	{RolloutStopped, "rollout-stopped", slog.LevelError, "A rollout stopped by itself; the detail says why."},
	{CacheExported, "cache-exported", slog.LevelInfo, "A hot prefix was exported to the kept KV cache."},
	{CacheImported, "cache-imported", slog.LevelInfo, "A kept prefix was imported into an engine."},
	{LeaseAwaited, "lease-awaited", slog.LevelInfo, "There is work under a lease that another process held last; the detail names it and its fencing number. Logged once for each piece of work."},
	{RolloutPhase, "rollout-phase", slog.LevelInfo, "A roll-out to another release entered a phase at this process; the detail has the pool, the release, the phase and why."},
	{RolloutUnsaved, "rollout-unsaved", slog.LevelWarn, "The state of a roll-out could not be read or written in the store; it is tried again."},
}

// entry finds a code in the catalogue; an unknown code is a programmer error.
func (c Code) entry() Entry {
	for _, e := range catalogue {
		if e.Code == c {
			return e
		}
	}
	panic("event: code without a catalogue entry")
}

// String returns the event's name.
func (c Code) String() string { return c.entry().Name }
