package meter

// Name is the name of a metric.
type Name string

// All metrics. Histograms are in microseconds.
const (
	// FirstToken is the time from the arrival of a request to the first chunk of the response.
	FirstToken Name = "bronzestall_first_token_microseconds"
	// BetweenTokens is the time between two chunks of the response.
	BetweenTokens Name = "bronzestall_between_tokens_microseconds"
	// QueueTime is the time from the arrival of a request to its first attempt.
	QueueTime Name = "bronzestall_queue_microseconds"
	// TotalTime is the time from the arrival of a request to the end of the response.
	TotalTime Name = "bronzestall_total_microseconds"
	// ColdStart is the time from the decision to load a model to a ready replica, by tier.
	ColdStart Name = "bronzestall_cold_start_microseconds"
	// Answered counts requests that were answered in full.
	Answered Name = "bronzestall_requests_answered"
	// Refused counts requests that ended with an error, by kind.
	Refused Name = "bronzestall_requests_refused"
	// Unanswered counts requests that ended with neither a whole answer nor a refusal, by kind of failure. Those of CallerGone had a
	// client that left.
	Unanswered Name = "bronzestall_requests_unanswered"
	// Retried counts attempts after the first.
	Retried Name = "bronzestall_requests_retried"
	// InFlight is the number of requests in flight in the daemon.
	InFlight Name = "bronzestall_requests_in_flight"
	// InForce is the number of the release note in force.
	InForce Name = "bronzestall_release_note_in_force"
	// MemoryCharged is the charged accelerator memory of an upstream in bytes.
	MemoryCharged Name = "bronzestall_memory_charged_bytes"
	// LoadsOpen is the number of loads of a data centre that were decided and that no engine reports yet.
	LoadsOpen Name = "bronzestall_loads_open"
	// LoadPermits is the number of concurrent loads from the weight store that a data centre may have.
	LoadPermits Name = "bronzestall_load_permits"
	// LoadPermitsBusy is the number of those permits in use.
	LoadPermitsBusy Name = "bronzestall_load_permits_busy"
	// ReplicasLoaded is the number of replicas that are ready.
	ReplicasLoaded Name = "bronzestall_replicas_loaded"
	// LeaseHeld is one while the daemon holds the lease of the data centre.
	LeaseHeld Name = "bronzestall_lease_held"
	// InvariantsBroken counts violations of invariants.
	InvariantsBroken Name = "bronzestall_invariants_broken"
	// RequestsQuarantined is the number of requests, and of parts of prompts, that are refused because they crashed upstreams.
	RequestsQuarantined Name = "bronzestall_requests_quarantined"
	// SuspectsEvicted is the number of suspects that were dropped because there were too many.
	SuspectsEvicted Name = "bronzestall_suspects_evicted"
	// StreamsTakenUp counts the streams that clients took up, by how the release that began them is known.
	StreamsTakenUp Name = "bronzestall_streams_taken_up"
	// TakeUpsEnded counts the requests that took up streams, by their outcome: Answered or the error kind.
	TakeUpsEnded Name = "bronzestall_take_ups_ended"
	// ReplicasByRelease is the number of replicas that accept new requests, by service and release.
	ReplicasByRelease Name = "bronzestall_replicas_by_release"
	// OriginsHeld is the number of streams whose origin the daemon holds.
	OriginsHeld Name = "bronzestall_origins_held"
	// ResponseBytesHeld is the number of bytes held of responses that are read whole and of the bodies of clients.
	ResponseBytesHeld Name = "bronzestall_response_bytes_held"
	// ResponsesEndedForRoom is the number of responses that were ended since too many bytes were held.
	ResponsesEndedForRoom Name = "bronzestall_responses_ended_for_room"
	// BodiesEndedForRoom is the number of request bodies that were ended since too many bytes were held.
	BodiesEndedForRoom Name = "bronzestall_bodies_ended_for_room"
	// ClientConnections is the number of open connections of clients, and ConnectionsShed the number of those that were closed since there
	// were too many.
	ClientConnections Name = "bronzestall_client_connections"
	ConnectionsShed   Name = "bronzestall_connections_shed"
	// ResponsesUnread is the number of responses that were ended since their clients did not read them.
	ResponsesUnread Name = "bronzestall_responses_unread"
	// BodiesStalled counts the request bodies that were ended since they made no progress.
	BodiesStalled Name = "bronzestall_bodies_stalled"
	// OriginsLate counts the streams whose first event was passed on before their origin was recorded.
	OriginsLate Name = "bronzestall_origins_late"
	// OriginsEvicted is the number of origins that were dropped because there were too many.
	OriginsEvicted Name = "bronzestall_origins_evicted"
	// RequestsLent counts the requests that another daemon served, and LentRequestsServed those served for others.
	RequestsLent       Name = "bronzestall_requests_lent"
	LentRequestsServed Name = "bronzestall_lent_requests_served"
	// PathsLost is the number of replicas that the daemon failed to reach when it last tried.
	PathsLost Name = "bronzestall_paths_lost"
	// StoreEra is the era of the platform's store; it rises when the store comes back from an older copy.
	StoreEra Name = "bronzestall_store_era"
	// ReplicasLeaving is the number of upstreams that announced that they shut down.
	ReplicasLeaving Name = "bronzestall_replicas_leaving"
	// ReplicasResting is the number of upstreams in backoff, which asked for no requests for a period.
	ReplicasResting Name = "bronzestall_replicas_resting"
	// CopiesMissing is the number of times that a model needed a copy in a step of the lease holder and got no order for
	// it. The label Kind is the cause.
	CopiesMissing Name = "bronzestall_copies_missing"
	// ReplicaSpeed is the speed of a replica in thousandths of the mean of its service, and ReplicaLatePauses by how many thousandths its
	// chance of a late pause exceeds the mean; both are shown for replicas that differ from others.
	ReplicaSpeed      Name = "bronzestall_replica_speed_milli"
	ReplicaLatePauses Name = "bronzestall_replica_late_pauses_milli"
	// ReplicaWindow is the number of requests that a replica that starts or recovers may have in flight; zero after that ended.
	ReplicaWindow Name = "bronzestall_replica_window"
	// ReplicasPaced is the number of replicas that start or recover, by cause.
	ReplicasPaced Name = "bronzestall_replicas_paced"
	// ReplicaLimit is the limit that a replica named, in thousandths of a request per second; zero after it ended.
	ReplicaLimit Name = "bronzestall_replica_limit_milli"
	// ReplicaLimitAge is the time since a response last confirmed the limit of a replica, in milliseconds.
	ReplicaLimitAge Name = "bronzestall_replica_limit_age_milliseconds"
	// LimitTokens is the number of requests that the daemon may send to a replica with a limit now, and LimitWaiting that of
	// the requests that wait to be sent to it.
	LimitTokens  Name = "bronzestall_limit_tokens"
	LimitWaiting Name = "bronzestall_limit_waiting"
	// LimitSent is the number of requests that were sent to a replica under its limit, and LimitRefused that of those
	// refused for it.
	LimitSent    Name = "bronzestall_limit_requests_sent"
	LimitRefused Name = "bronzestall_limit_requests_refused"
	// QuotaUsed is what the requests of an account used of its quota at this daemon so far, in the unit of the quota, and QuotaHeld what
	// the daemon may use at once. QuotaRefused is the number of its requests refused so far, and QuotaWaiting that of those that wait.
	QuotaUsed    Name = "bronzestall_quota_used"
	QuotaHeld    Name = "bronzestall_quota_held"
	QuotaRefused Name = "bronzestall_quota_requests_refused"
	QuotaWaiting Name = "bronzestall_quota_waiting"
	// CapacityWaiting is the number of requests that wait for a replica with capacity, by priority, and CapacityRefused that of those
	// refused for want of it so far, by cause: AtOnce or AfterWait.
	CapacityWaiting Name = "bronzestall_capacity_waiting"
	CapacityRefused Name = "bronzestall_capacity_requests_refused"
	// CapacityWaits is the number of waits for capacity that ended so far, and CapacityWaited their sum in milliseconds.
	CapacityWaits  Name = "bronzestall_capacity_waits"
	CapacityWaited Name = "bronzestall_capacity_waited_milliseconds"
	// NoticesMalformed counts responses with a notice of the replica that could not be decoded, by header.
	NoticesMalformed Name = "bronzestall_notices_malformed"
	// Build is the version of the protocol between daemons that the daemon knows; its subject is protocol.Build.
	Build Name = "bronzestall_build"
	// DaemonsByProtocol is the number of other live daemons by the version of the protocol that they told: Same, Older or Newer.
	DaemonsByProtocol Name = "bronzestall_daemons_by_protocol"
	// PeersHeard is the number of daemons that were seen recently.
	PeersHeard Name = "bronzestall_peers_heard"
)
