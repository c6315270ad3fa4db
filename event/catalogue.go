package event

import "log/slog"

// Code is the number of an event in the catalogue, which docs/EVENTS.md lists.
type Code int

// The event codes, grouped by hundreds: processes, requests, targets,
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

	RequestArrived    Code = 201
	RequestQueued     Code = 202
	RequestPlaced     Code = 203
	RequestAnswered   Code = 204
	RequestRefused    Code = 205
	AttemptRefused    Code = 206
	AttemptBroken     Code = 207
	RequestResumed    Code = 208
	RequestRetried    Code = 209
	CallerGone        Code = 210
	ReplyDropped      Code = 211
	ClaimTaken        Code = 212
	ClaimReplayed     Code = 213
	ClaimUnsettled    Code = 214
	OutcomeRecorded   Code = 215
	OutcomeUnsaved    Code = 216
	AnswerUnfinished  Code = 217
	RequestFaulty     Code = 218
	RequestLate       Code = 219
	AttemptWithdrawn  Code = 220
	RequestHeld       Code = 221
	RequestReleased   Code = 222
	RequestSentLate   Code = 223
	PoolSaturated     Code = 225
	PoolDrained       Code = 226
	CallerStalled     Code = 227
	MemoryExhausted   Code = 228
	AnswerCut         Code = 229
	HandlerPanicked   Code = 230
	RequestHandedOver Code = 231
	StreamEndedInside Code = 232
	PartHeld          Code = 233
	PartReleased      Code = 234

	RequestUnanswerable Code = 235
	StreamTakenUp       Code = 236

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
	TargetCapacity  Code = 316
	TargetNoticed   Code = 318
	AttemptResent   Code = 319
	PoolCutOff      Code = 320
	PoolReached     Code = 321
	TargetBrittle   Code = 322
	ReleasesDivided Code = 323
	TargetRetained  Code = 324

	ConfigAdopted   Code = 401
	ConfigConfirmed Code = 402
	ConfigRejected  Code = 403
	StoreDown       Code = 404
	StoreBack       Code = 405
	// StoreHistoryGone and WeightsNamed are recorded by nodes that read an installation's store.
	StoreHistoryGone Code = 406
	WeightsNamed     Code = 407
	// ConfigBehind and ConfigUnfetched are recorded by nodes that fetch revisions from each other.
	ConfigBehind    Code = 408
	ConfigUnfetched Code = 409
	// StoreReturned is recorded by nodes that read an installation's store.
	StoreReturned Code = 410
	// ConfigEntryInvalid is recorded by nodes that read an installation's store.
	ConfigEntryInvalid Code = 411

	PeerSeen Code = 501
	PeerLost Code = 502

	RelayBegun   Code = 503
	RelayEnded   Code = 504
	RelayTaken   Code = 505
	RelayLost    Code = 506
	ListBorrowed Code = 507

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

// Entry is the description of one event in the catalogue.
type Entry struct {
	Code    Code
	Name    string
	Level   slog.Level
	Meaning string
}

// Catalogue returns the descriptions of all events, ordered by number.
func Catalogue() []Entry {
	return catalogue[:]
}

var catalogue = [...]Entry{
	{ProcessStarted, "process-started", slog.LevelInfo, "The process started with valid settings."},
	{ProcessReady, "process-ready", slog.LevelInfo, "The process serves requests: it has a confirmed configuration."},
	{ProcessDraining, "process-draining", slog.LevelInfo, "A planned stop has begun: the process reports not ready and completes the answers in flight."},
	{ProcessStopped, "process-stopped", slog.LevelInfo, "The process has completed its last answer and ends; the detail of a node says what was left."},
	{ProcessFenced, "process-fenced", slog.LevelWarn, "The router could not confirm its configuration with the stores or a peer; it refuses requests as not run."},
	{SettingsReloaded, "settings-reloaded", slog.LevelInfo, "Changed settings are in effect, except addresses, which change only at a restart."},
	{SettingsRejected, "settings-rejected", slog.LevelWarn, "Changed settings are invalid; the previous ones stay in effect."},
	{ProcessSuspended, "process-suspended", slog.LevelWarn, "The VM was suspended; the detail has the duration. All cached state counts as older by that duration."},

	{RequestArrived, "request-arrived", slog.LevelDebug, "A request passed the checks of the callers' listener."},
	{RequestQueued, "request-queued", slog.LevelDebug, "No target had free capacity; the request waits in its organisation's queue."},
	{RequestPlaced, "request-placed", slog.LevelDebug, "An attempt was sent to a target; the detail has the reason for the choice."},
	{RequestAnswered, "request-answered", slog.LevelDebug, "The caller received a complete answer."},
	{RequestRefused, "request-refused", slog.LevelInfo, "The caller received an error; the detail has the verdict and cause."},
	{AttemptRefused, "attempt-refused", slog.LevelInfo, "A target refused an attempt before running it."},
	{AttemptBroken, "attempt-broken", slog.LevelWarn, "An attempt ended without its finish mark; the detail has the incarnation to which it was sent, whether the answer had begun, the request's fingerprint, which all copies of the request share, and the fingerprints of the parts of its prompt without the last."},
	{RequestResumed, "request-resumed", slog.LevelInfo, "A broken answer is continued at another target after the part already delivered."},
	{RequestRetried, "request-retried", slog.LevelInfo, "A request was placed again and runs from its beginning."},
	{CallerGone, "caller-gone", slog.LevelInfo, "The caller closed the connection; the attempt was cancelled."},
	{ReplyDropped, "reply-dropped", slog.LevelWarn, "A reply that belongs to another attempt was dropped."},
	{ClaimTaken, "claim-taken", slog.LevelDebug, "The claim of a call that must not be repeated was inserted into the table."},
	{ClaimReplayed, "claim-replayed", slog.LevelInfo, "A repeated call was answered with the outcome recorded for its key."},
	{ClaimUnsettled, "claim-unsettled", slog.LevelWarn, "A claim has no recorded outcome; the answer to the caller is that the call may have run."},
	{OutcomeRecorded, "outcome-recorded", slog.LevelDebug, "The outcome of a call that must not be repeated was recorded in the table."},
	{OutcomeUnsaved, "outcome-unsaved", slog.LevelError, "The outcome of a call could not be recorded; repeated calls are answered that it may have run."},
	{AnswerUnfinished, "answer-unfinished", slog.LevelWarn, "An answer broke off after its first part; the caller received an explicit error."},
	{RequestFaulty, "request-faulty", slog.LevelInfo, "A request was invalid: unknown route or key, or malformed; it was not run."},
	{RequestLate, "request-late", slog.LevelInfo, "The first part of an answer came later than the route's aim; the detail has the times."},
	{AttemptWithdrawn, "attempt-withdrawn", slog.LevelInfo, "A request waiting at a target was withdrawn before it began to run; the detail has the reason."},
	{RequestHeld, "request-held", slog.LevelWarn, "A request is held because targets crashed while running copies of it; the detail has these targets and the request's fingerprint. Logged once by each process each time the request is held."},
	{RequestReleased, "request-released", slog.LevelInfo, "A held request is no longer held: it was answered, the hold expired, or an operator released it."},
	{RequestSentLate, "request-sent-late", slog.LevelInfo, "A request was sent although its answer is predicted to begin after its aim, because it delays no other request; the detail has the prediction."},
	{PoolSaturated, "pool-saturated", slog.LevelWarn, "The mean predicted wait over a pool leaves too little of the least aim of its routes; until pool-drained, a part of the requests is refused at once, by priority and organisation."},
	{PoolDrained, "pool-drained", slog.LevelInfo, "The backlog of a saturated pool is gone; requests are no longer refused for it."},
	{CallerStalled, "caller-stalled", slog.LevelInfo, "A caller took nothing of its answer for some seconds; the connection was closed and the attempt cancelled."},
	{MemoryExhausted, "memory-exhausted", slog.LevelWarn, "Requests are refused because the memory for callers is in use; the detail has the bytes. The organisation is the one that holds most. Logged once while refusals last."},
	{AnswerCut, "answer-cut", slog.LevelWarn, "The connection of a caller was closed without a complete answer; the detail has the reason, for how long at most a target had sent nothing, and how long ago the configuration was adopted. During a planned stop it also has when the request arrived and whether its target was still sending."},
	{HandlerPanicked, "handler-panicked", slog.LevelError, "A programming error ended the handling of a request, whose connection was closed; the detail has the error and the stack."},
	{RequestHandedOver, "request-handed-over", slog.LevelInfo, "A request was handed over to another node, since this one is cut off from its pool; the target is that node's address."},
	{StreamEndedInside, "stream-ended-inside", slog.LevelWarn, "A target closed the connection of a stream that has neither a length nor chunks, and part of an event is left over; the detail has its size."},
	{PartHeld, "part-held", slog.LevelWarn, "Requests with a part in their prompts are held because targets crashed while running such requests; the detail has these targets and the part's fingerprint. Logged once by each process each time the part is held."},
	{PartReleased, "part-released", slog.LevelInfo, "A part is no longer held: an answer with it went on, the hold expired, or an operator released it."},
	{RequestUnanswerable, "request-unanswerable", slog.LevelWarn, "A request was read from a connection that this process had closed, so that no answer can reach the caller; it does not run. The detail has the reason of the close and the method."},
	{StreamTakenUp, "stream-taken-up", slog.LevelInfo, "A caller takes up a stream that broke off; the detail has the release that began it and what told it, or why it is not known, and the slots of the listed targets by release."},

	{TargetSeen, "target-seen", slog.LevelInfo, "A target was discovered."},
	{TargetRestarted, "target-restarted", slog.LevelWarn, "A target has a new incarnation; the state known of the previous one was discarded."},
	{TargetLeaving, "target-leaving", slog.LevelInfo, "A target is draining; it receives no new work in this incarnation."},
	{TargetGone, "target-gone", slog.LevelInfo, "A target is no longer in the list and is not reachable."},
	{TargetFailing, "target-failing", slog.LevelWarn, "A target failed several times in a row and receives only probes."},
	{TargetHealthy, "target-healthy", slog.LevelInfo, "A failing target answers again."},
	{EngineRan, "engine-ran", slog.LevelInfo, "A stand-in engine completed a request."},
	{EngineCancelled, "engine-cancelled", slog.LevelInfo, "A stand-in engine cancelled a request whose caller closed the connection."},
	{TargetWeights, "target-weights", slog.LevelInfo, "A target's weights changed; the detail has the source of the information."},
	{TargetOutdated, "target-outdated", slog.LevelInfo, "A target's weights were superseded so long ago that no requests are sent to it to run on them; the detail has how long ago, as far as this process knows. Logged once for each target and weights."},
	{TargetUnnamed, "target-unnamed", slog.LevelWarn, "An entry of the list of targets is invalid: it cannot be decoded, lacks a field, or has an unknown state or value. It is skipped; the detail has its id and the fault. Logged once while the fault lasts."},
	{TargetEnded, "target-ended", slog.LevelWarn, "A target crashed while it ran requests of this process: nothing listens at its address, or it has a new incarnation. The detail has the crashed incarnation, the number of requests that failed with it, and how many of them had begun to be answered."},
	{TargetLimit, "target-limit", slog.LevelInfo, "The limit on requests per second from all routers that a target states in its answers appeared, changed or was removed; the detail has the limit and its source."},
	{TargetRests, "target-rests", slog.LevelInfo, "A target refused a request and requested a back-off, during which this process sends it nothing; the detail has the duration."},
	{TargetCapacity, "target-capacity", slog.LevelInfo, "The prefill rate learned for a target now differs by another step from the middle of its pool, so that it becomes the first choice for more or fewer prompts; the detail has its weight and rate."},
	{TargetNoticed, "target-noticed", slog.LevelInfo, "This process told the others what a request that a target did not run shows: another incarnation answers at its address, nothing listens there, it has other weights than expected, or it is carrying out an order. The detail has which, and the incarnation."},
	{AttemptResent, "attempt-resent", slog.LevelInfo, "A request goes once more to the same target, which had refused it over its weights or its incarnation; the detail has what is expected now, and whether the request waits until the list names the incarnation."},
	{PoolCutOff, "pool-cut-off", slog.LevelWarn, "No target of a pool responds to this process while other nodes reach them, so its requests are handed over; the detail has the pool."},
	{PoolReached, "pool-reached", slog.LevelInfo, "A pool from which this process was cut off is reached again, or by no other node either; the detail has the pool and how long the cut lasted."},
	{TargetBrittle, "target-brittle", slog.LevelInfo, "A target announced in its answers how many requests per second it can reject before it fails, changed that or no longer announces it; the detail has the number and its source. Nodes divide its slots among themselves meanwhile."},
	{ReleasesDivided, "releases-divided", slog.LevelInfo, "The streams of a pool whose targets are of several releases are divided among these; the detail has the number of hash slots of each."},
	{TargetRetained, "target-retained", slog.LevelInfo, "A reading of the list lacks a target, which is kept for a while because entries lapse while the store is unavailable; the detail has how old the reading before was."},

	{ConfigAdopted, "config-adopted", slog.LevelInfo, "The process uses a new revision of the configuration."},
	{ConfigConfirmed, "config-confirmed", slog.LevelInfo, "A revision was copied to the object store, which makes it confirmed."},
	{ConfigRejected, "config-rejected", slog.LevelError, "A stored revision or another row of the declaration cannot be decoded, or is older than the current one, which stays in effect. A node refuses everything once a revision that it cannot read has been in force for the apply bound."},
	{StoreDown, "store-down", slog.LevelWarn, "The table or object store is unavailable."},
	{StoreBack, "store-back", slog.LevelInfo, "The store is available again."},

	{StoreHistoryGone, "store-history-gone", slog.LevelInfo, "The store's history no longer includes the last change read; the whole declaration is read again."},
	{WeightsNamed, "weights-named", slog.LevelInfo, "Newer weights of a model were announced; the detail has the source and how long ago they were announced, as far as this process knows."},
	{ConfigBehind, "config-behind", slog.LevelInfo, "A newer revision than the one in use is known; the detail has the source. Logged once for each revision; config-adopted follows within a second."},
	{ConfigUnfetched, "config-unfetched", slog.LevelWarn, "A newer revision could not be fetched from another node; the detail has the node, the part received and the error."},
	{StoreReturned, "store-returned", slog.LevelWarn, "The store was restored from an older copy: later writes are lost, and their versions are assigned again. The detail has the store's new and previous era. This process writes its own records again."},
	{ConfigEntryInvalid, "config-entry-invalid", slog.LevelError, "An entry of the adopted revision cannot be read; the detail has the entry and the reason. Requests that need it are refused, and the rest of the revision is in effect."},

	{PeerSeen, "peer-seen", slog.LevelInfo, "A peer appeared, for the first time or again."},
	{PeerLost, "peer-lost", slog.LevelWarn, "Nothing was received from a peer during the peer timeout."},
	{RelayBegun, "relay-begun", slog.LevelInfo, "This process became a relay of a large fleet: it reads the store and the engines' events for other processes; the detail has the size of the fleet."},
	{RelayEnded, "relay-ended", slog.LevelInfo, "This process is no longer a relay."},
	{RelayTaken, "relay-taken", slog.LevelInfo, "This process receives the data of the store and the engines from a relay, which the detail names."},
	{RelayLost, "relay-lost", slog.LevelWarn, "No relay provides current data of the store; this process reads the store itself until one does."},
	{ListBorrowed, "list-borrowed", slog.LevelInfo, "This process receives the list of targets from another one, which the detail names, since it cannot read it itself. Logged once until it reads it again."},

	{LeaseTaken, "lease-taken", slog.LevelInfo, "This process acquired a lease; the detail has its fencing token."},
	{LeaseLost, "lease-lost", slog.LevelWarn, "This process no longer holds a lease."},
	{OrderSent, "order-sent", slog.LevelInfo, "An order was sent to a target."},
	{OrderDone, "order-done", slog.LevelInfo, "A target reports the ordered state."},
	{OrderFailed, "order-failed", slog.LevelWarn, "An order was refused or had no effect; it is retried later."},
	{RolloutStopped, "rollout-stopped", slog.LevelError, "A rollout stopped automatically; the detail has the reason."},
	{CacheExported, "cache-exported", slog.LevelInfo, "A frequently used prefix was exported to the kept KV cache."},
	{CacheImported, "cache-imported", slog.LevelInfo, "An exported prefix was imported into an engine."},
	{LeaseAwaited, "lease-awaited", slog.LevelInfo, "There is work under a lease that another process held last; the detail has that process and its fencing token. Logged once for each piece of work."},
	{RolloutPhase, "rollout-phase", slog.LevelInfo, "A roll-out of another release entered a new phase at this process; the detail has the pool, the release, the phase and the reason."},
	{RolloutUnsaved, "rollout-unsaved", slog.LevelWarn, "The state of a roll-out could not be read from or written to the store; this is retried."},
}

// entry returns the description of a code; an unknown code is a programming error.
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
