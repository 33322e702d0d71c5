package logs

// Messages of log lines that end a request or explain how it ended. The
// command explain matches them.
const (
	MsgAnswered        = "relay: answered"
	MsgRefused         = "relay: refused"
	MsgFailed          = "relay: failed"
	MsgCutOff          = "relay: cut off"
	MsgCallerLeft      = "relay: caller left"
	MsgRetried         = "relay: sent again"
	MsgNoReply         = "relay: no reply"
	MsgBadReply        = "relay: bad reply"
	MsgQuotaExhausted  = "relay: quota used up"
	MsgNoEndpoint      = "relay: no endpoint"
	MsgResponseAborted = "relay: answer broke off"
	MsgRunMoved        = "relay: run moved"
	MsgRunNotMoved     = "relay: no endpoint to move a run to"
	MsgCopyNotReleased = "relay: copy of a run not released"

	MsgUnanswered = "front: connection closed without an answer"
	MsgUnasked    = "front: answer without a request"

	MsgInputRefused = "httpio: request refused while it was read"

	MsgStarted                 = "edge: started"
	MsgDraining                = "edge: draining"
	MsgStopped                 = "edge: stopped"
	MsgPlanAdopted             = "edge: plan adopted"
	MsgEndpointLeaving         = "edge: endpoint leaves"
	MsgEndpointLeavingReported = "edge: endpoint leaves, says another entry"
	MsgEndpointLeavingAnswered = "edge: endpoint leaves, says its answer"
	MsgEndpointGone            = "edge: endpoint gone"
	MsgZoneEvacuated           = "edge: availability zone evacuated"
	MsgZoneReturned            = "edge: evacuation of availability zone ended"
	MsgReserveUnreachable      = "edge: reserve not reached"
	MsgStoreLost               = "feed: store lost"
	MsgStoreRecovered          = "feed: store answers again"
	MsgLinesDropped            = "logs: lines dropped"
	MsgVersionStopped          = "edge: version stopped here"
	MsgEndpointLimit           = "pool: endpoint names a limit"
	MsgEndpointPaused          = "pool: endpoint wants no requests"
	MsgEndpointSpeed           = "pool: speed of an endpoint has changed"
	MsgEndpointCold            = "pool: endpoint is cold"
	MsgMemoryShort             = "pool: endpoint is short of memory"
	MsgMemoryFree              = "pool: endpoint has memory again"
	MsgEndpointUnlimited       = "pool: endpoint names no limit any more"
	MsgEndpointEnded           = "edge: endpoint ended"
	MsgPartsBlocked            = "edge: parts of prompts blocked"
	MsgPartsAllowed            = "edge: parts of prompts allowed again"
	MsgWhereAnswered           = "edge: question about a request's placement answered"
)

// Values of FieldReason: why a request was refused, failed or cut off.
const (
	ReasonNoPlan           = "noPlan"
	ReasonStalePlan        = "planMayBeOld"
	ReasonNoRoute          = "noRoute"
	ReasonNoCustomer       = "unknownKey"
	ReasonDraining         = "draining"
	ReasonNoMemory         = "noMemory"
	ReasonBodySize         = "bodyTooLarge"
	ReasonTrailerSize      = "trailersTooLarge"
	ReasonBodySlow         = "bodyTooSlow"
	ReasonBodyBroken       = "bodyBroken"
	ReasonQuota            = "quota"
	ReasonPromptBlocked    = "promptBlocked"
	ReasonEndpointsLimited = "endpointsLimited"
	ReasonEndpointsPaused  = "endpointsPaused"
	ReasonNoEndpoint       = "noEndpoint"
	ReasonEndpointsRefused = "endpointsRefused"
	ReasonOutcomeUnknown   = "outcomeUnknown"
	ReasonTimeout          = "timeout"
	ReasonExpired          = "expired"
	ReasonCallerLeft       = "callerLeft"
)

// Prefixes of the metrics that count requests by reason; the reason follows.
const (
	MetricRefused = "relay.refused."
	MetricCutOff  = "relay.cutOff."
)

// Names of fields that the program writes and the command explain reads.
const (
	FieldRequest   = "request"
	FieldReason    = "reason"
	FieldEnding    = "ending"
	FieldEndpoint  = "endpoint"
	FieldFrom      = "from"
	FieldEndpoints = "endpoints"
	FieldCustomer  = "customer"
	FieldService   = "service"
	FieldStatus    = "status"
	FieldSends     = "sends"
	// FieldDenied is why no further attempt was made.
	FieldDenied = "denied"
	FieldError  = "error"
	// FieldSuppressed is the number of lines of the same kind that sampling
	// suppressed since the last one.
	FieldSuppressed = "leftOut"
)

// TimeFormat is the format of the time of a line, with milliseconds so that
// the lines of several processes can be sorted.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"
