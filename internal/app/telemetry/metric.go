package telemetry

//go:generate stringer -type=Metric -linecomment

// Metric names one metric of the daemon; /metrics shows it with Prefix before the name.
type Metric uint8

// The metrics of the daemon; Descriptions returns their meanings.
const (
	Answers             Metric = iota // answers
	AnswerSeconds                     // answer_seconds
	GateLimit                         // gate_limit
	GateRunning                       // gate_running
	GateQueued                        // gate_queued
	GateRan                           // gate_ran
	GateWaited                        // gate_waited
	GateRefused                       // gate_refused
	GateEvicted                       // gate_evicted
	GateExpired                       // gate_expired
	GateShed                          // gate_shed
	ActiveThrottles                   // doors_closing
	Serving                           // serving
	ListVersion                       // list_version
	MembersLeaving                    // members_leaving
	MembersSuspect                    // members_suspect
	RateShards                        // rate_shards
	RateTokensOut                     // rate_tokens_out
	RateTokensLent                    // rate_tokens_lent
	RateLeaseRequests                 // rate_asks
	RateWaits                         // rate_waits
	RateTokensReturned                // rate_given_back
	PeerConnections                   // peer_connections
	PeerFaults                        // peer_faults
	PeerBytesSent                     // peer_bytes_sent
	PeerBytesReceived                 // peer_bytes_received
	PlanAge                           // word_age
	StoreCalls                        // store_calls
	ZonesDrained                      // zones_drained
	InstanceCold                      // instance_cold
	InstanceSuspected                 // instance_suspected
	InstanceLimit                     // instance_limit
	ResponsesReplaced                 // responses_replaced
	GateReserved                      // gate_reserved
	GateWaitsEnded                    // gate_waits_ended
	OrganisationSurges                // organisations_surging
	SurgesNotUsed                     // surges_not_used
	InstanceLoadFaults                // instance_load_faults
	RequestsRedirected                // requests_redirected
	InstanceCrashes                   // instance_crashes
	RequestsQuarantined               // requests_quarantined
	ContentsQuarantined               // contents_quarantined
	ContentsSuspected                 // contents_suspected
	MemoryHeld                        // memory_held
	MemoryWaits                       // memory_waits
	MemoryRefusals                    // memory_refusals
)

// MetricCount is the number of metrics.
const MetricCount = int(MemoryRefusals) + 1

// Description describes a metric for operators.
type Description struct {
	Metric  Metric
	Meaning string
	Unit    string
	// Tags are the metric's tags besides host and zone, separated by commas; empty if there are none.
	Tags string
	// Advice says which values need an operator's attention.
	Advice string
}

var descriptions = [MetricCount]Description{
	Answers:             {Meaning: "answers to callers", Unit: "count", Tags: "outcome, reason", Advice: "the first to look at: `notRun` by `reason`, and any `outcomeUnknown`"},
	AnswerSeconds:       {Meaning: "time from a request's arrival to its answer", Unit: "seconds, histogram", Tags: "outcome, reason", Advice: "`whole` grows when the service behind slows"},
	GateLimit:           {Meaning: "learned limit of the upstream beside the daemon", Unit: "requests", Advice: "falls below `-slots` when the upstream slows under load"},
	GateRunning:         {Meaning: "requests that the upstream runs", Unit: "requests", Advice: "at `gate_limit` the upstream is full"},
	GateQueued:          {Meaning: "requests that wait for the upstream", Unit: "requests", Advice: "above 0 for long: more demand than the upstream takes"},
	GateRan:             {Meaning: "requests that the upstream ran", Unit: "count", Advice: "goodput of this host"},
	GateWaited:          {Meaning: "requests that had to wait", Unit: "count"},
	GateRefused:         {Meaning: "requests refused since the queue had no place for them", Unit: "count", Advice: "overload of this host"},
	GateEvicted:         {Meaning: "requests evicted from the queue in favour of a higher priority, or of an organisation that is further below its fair share", Unit: "count", Advice: "overload of this host"},
	GateExpired:         {Meaning: "requests that waited for longer than `-queue-time` or their deadline allows", Unit: "count", Advice: "overload of this host"},
	GateShed:            {Meaning: "requests that the upstream itself refused to run", Unit: "count", Advice: "compare `-slots` with what the upstream runs at once"},
	ActiveThrottles:     {Meaning: "pairs of organisation and operation that are rejected in part at the ingress, since a service deeper in the chain is overloaded", Unit: "pairs", Advice: "above 0: look for the overloaded service deeper in the chain"},
	Serving:             {Meaning: "1 while callers are taken, else 0", Unit: "none", Advice: "0 for longer than a start takes: `standing` in `/statusz` tells why"},
	ListVersion:         {Meaning: "version in force", Unit: "version", Tags: "list", Advice: "differs between hosts for more than 3 s"},
	MembersLeaving:      {Meaning: "hosts that get no new work since they said that they leave", Unit: "hosts", Advice: "above 0 for 10 minutes: take them out of the hosts list"},
	MembersSuspect:      {Meaning: "hosts that get no new work since they don't answer", Unit: "hosts", Advice: "many at once on one side: a network partition"},
	RateShards:          {Meaning: "rate shards whose home the daemon is", Unit: "shards", Advice: "0 on a listed host: `rates` in `/statusz` tells why"},
	RateTokensOut:       {Meaning: "tokens on loan: lent, and neither reported as spent nor given back", Unit: "tokens"},
	RateTokensLent:      {Meaning: "tokens lent since the start", Unit: "tokens"},
	RateLeaseRequests:   {Meaning: "lease requests to homes since the start", Unit: "count"},
	RateWaits:           {Meaning: "requests that found no token at hand and waited for homes to lend one", Unit: "count", Advice: "grows faster than `overRate` answers: tokens arrive too late here"},
	RateTokensReturned:  {Meaning: "tokens of requests that were refused after all, given back", Unit: "count", Advice: "grows with overload: a request that is refused after all doesn't count against its organisation's rate"},
	PeerConnections:     {Meaning: "open connections with other daemons", Unit: "connections"},
	PeerFaults:          {Meaning: "connections on the peer port closed for a fault", Unit: "count", Advice: "grows: strangers on the port, or another `-fleet-secrets`; the log has their addresses"},
	PeerBytesSent:       {Meaning: "bytes of frames sent to other daemons", Unit: "bytes", Tags: "message, place", Advice: "`place` says whether the other daemon is in the same availability zone; control is `digest`, `fetch`, `lease`, `confirm` and `handover`; 4 KB/s are planned for"},
	PeerBytesReceived:   {Meaning: "bytes of frames received from other daemons", Unit: "bytes", Tags: "message, place", Advice: "`otherZone`: what traffic between availability zones costs; each byte is also in the `peer_bytes_sent` of its sender"},
	PlanAge:             {Meaning: "age of the collector's plan when it was last received", Unit: "seconds", Advice: "above 1: plans and rates are out of date; see `collector lost` in the log"},
	StoreCalls:          {Meaning: "calls to the platform's store: reads of everything (`all`), or watches for `changes`", Unit: "count", Tags: "call, outcome", Advice: "many of `all`: daemons that start, or a store that has lost its history"},
	InstanceCold:        {Meaning: "requests a second that the instance beside the daemon may get since it is cold, 0 once it is warm", Unit: "requests per second", Advice: "above 0 for longer than the warm-up of the service: the instance starts again and again"},
	InstanceSuspected:   {Meaning: "times that the instance beside the daemon was suspected to have started again", Unit: "count", Advice: "grows: compare with the instance's own restarts; each suspicion lasts until the next health check is answered"},
	InstanceLimit:       {Meaning: "requests a second that the instance beside the daemon takes from all hosts together, as its last responses state; 0 without a limit", Unit: "requests per second", Advice: "above 0: the instance asks for less; `instance limit` in the log has the response that said so"},
	ResponsesReplaced:   {Meaning: "responses that could not be sent to their callers as they were, by what was wrong with them", Unit: "count", Tags: "defect", Advice: "above 0: a fault of foxtailhook or of an instance; `response replaced` in the log has the request"},
	GateReserved:        {Meaning: "slots of the instance beside the daemon that are reserved for short sub-calls", Unit: "slots", Advice: "above 0: long requests of a lower priority hold back; a quarter of the slots for long: the instance has too few for both"},
	GateWaitsEnded:      {Meaning: "requests whose wait for the instance beside the daemon ended since it or the daemon leaves or its zone is drained; they did not run and are sent elsewhere", Unit: "count", Advice: "grows without a restart or a drain: look for `waiting requests refused` in the log"},
	InstanceLoadFaults:  {Meaning: "responses of the instance beside the daemon that state a load that can't be read", Unit: "count", Advice: "above 0: `instance load not read` in the log has the value; the statement before stays in force"},
	RequestsRedirected:  {Meaning: "requests that the daemon refused before they queued because the instance beside it is slow now, so that they go to another one", Unit: "count", Advice: "above a fifth of `gate_ran` for long: the instance is slow more often than others of its service"},
	InstanceCrashes:     {Meaning: "crashes of the instance beside the daemon while it worked on requests", Unit: "count", Advice: "grows: `instance crashed` in the log names what was at work; the same fingerprint more than once points at its content"},
	RequestsQuarantined: {Meaning: "requests for the instance beside the daemon that were refused since three instances or more had crashed under their content", Unit: "count", Advice: "above 0: somebody sends content that crashes instances; `content quarantined` in the log has its keyed hash"},
	ContentsQuarantined: {Meaning: "contents that are refused since instances crashed under them", Unit: "contents", Advice: "differs between the hosts of a service for more than 10 s: they don't hear each other"},
	ContentsSuspected:   {Meaning: "contents under which one or two instances have crashed", Unit: "contents", Advice: "many after each crash; it falls as they run to their end elsewhere"},
	MemoryHeld:          {Meaning: "memory that messages take", Unit: "bytes", Tags: "purpose", Advice: "near the bound of docs/CAPACITY.md for long: large bodies wait"},
	MemoryWaits:         {Meaning: "messages that waited for memory", Unit: "count", Tags: "purpose", Advice: "grows with large bodies at once; `memory short` in the log has the purpose"},
	MemoryRefusals:      {Meaning: "messages that there was no memory for in time", Unit: "count", Tags: "purpose", Advice: "`noRoom` refusals of callers; small messages among them: callers don't read their responses"},
	ZonesDrained:        {Meaning: "availability zones whose instances get no requests since the operator has drained them", Unit: "zones", Advice: "differs between hosts for more than 3 s, or all zones: `zoneDrained` refusals"},
	OrganisationSurges:  {Meaning: "organisations that send far more than usual while a service is short, so that their surplus is rejected first", Unit: "organisations", Advice: "above 0: `organisation surges` in the collector's log names them"},
	SurgesNotUsed:       {Meaning: "entries of lists of surging organisations that can't be used", Unit: "count", Advice: "grows: a fault of the collector; `surges not used` in the log has its host"},
}

// Descriptions returns every metric with its description.
func Descriptions() []Description {
	all := descriptions
	for i := range all {
		all[i].Metric = Metric(i)
	}
	return all[:]
}
