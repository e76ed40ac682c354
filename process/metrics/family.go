package metrics

import (
	"fmt"
	"strings"
)

// Names of the metric families. Names end in the unit, and names of counters end in _total.
const (
	nameRequests       = "toucanroute_requests_total"
	nameErrors         = "toucanroute_request_errors_total"
	nameFirstToken     = "toucanroute_first_token_seconds"
	nameLatePauses     = "toucanroute_late_pauses_total"
	nameTokens         = "toucanroute_tokens_delivered_total"
	nameWasted         = "toucanroute_tokens_wasted_total"
	nameRunning        = "toucanroute_requests_running"
	nameMemory         = "toucanroute_request_memory_bytes"
	nameMemoryTaken    = "toucanroute_request_memory_taken_bytes"
	nameMemoryRefused  = "toucanroute_request_memory_refused_total"
	nameSlowCallers    = "toucanroute_slow_callers"
	nameGrants         = "toucanroute_grants_total"
	nameSlots          = "toucanroute_slots"
	nameSlotsBusy      = "toucanroute_slots_busy"
	nameWaiting        = "toucanroute_requests_waiting"
	nameMembers        = "toucanroute_members"
	nameTakeUps        = "toucanroute_stream_take_ups_total"
	nameConfigVersion  = "toucanroute_config_version"
	nameServersCold    = "toucanroute_servers_cold"
	nameEvacuated      = "toucanroute_data_centres_evacuated"
	nameKeyringVersion = "toucanroute_keyring_version"
	nameVersionsAge    = "toucanroute_versions_age_seconds"
	nameLeaseHeld      = "toucanroute_lease_held"
	nameLeaseFence     = "toucanroute_lease_fence"
	nameLoadSpread     = "toucanroute_server_load_spread"
	nameReportAge      = "toucanroute_server_report_age_seconds"
	namePeerReplies    = "toucanroute_peer_replies_total"
	namePeerReplyBytes = "toucanroute_peer_reply_bytes_total"
	namePeerDatagrams  = "toucanroute_peer_datagram_bytes_total"
)

// Family describes the time series that share one metric name.
type Family struct {
	// Name never changes its meaning: a family whose meaning changes gets another name.
	Name string
	// Kind is counter, gauge or histogram.
	Kind string
	// Unit is the unit of the value, such as seconds.
	Unit string
	// Labels holds the names of the labels.
	Labels []string
	// Help describes the value and the values of the labels, in Markdown.
	Help string
}

// Families returns all metric families of an instance except those of the Go process, in the order of the reference
// page.
func Families() []Family {
	return []Family{
		{nameRequests, "counter", "requests", []string{"class", "result"}, "Ended requests. `result` is `ok`, `refused`, `failed`, `deadline` or `caller_gone`; `class` is `none` if the key gave no rights."},
		{nameErrors, "counter", "requests", []string{"reason"}, "Requests without a complete response, by the `code` of their error."},
		{nameFirstToken, "histogram", "seconds", []string{"class"}, "Time from the arrival of a request to its first token, or to the response of a plain service, for requests with result `ok`."},
		{nameLatePauses, "counter", "requests", []string{"class"}, "Streams with result `ok` that are late only by a pause: the first event came in time, and a later one after more than the service level permits."},
		{nameTokens, "counter", "tokens", []string{"class"}, "Generated tokens of complete responses."},
		{nameWasted, "counter", "tokens", []string{"class"}, "Generated tokens that are not part of a complete response."},
		{nameRunning, "gauge", "requests", nil, "Requests of callers that have not ended, including waiting ones."},
		{nameMemory, "gauge", "bytes", nil, "Memory that the requests of a forwarding instance may take together; 0 if it has no such bound."},
		{nameMemoryTaken, "gauge", "bytes", nil, "Part of it that is taken."},
		{nameMemoryRefused, "counter", "grants", nil, "Times that a request, a part of its body or of its response found no room there. New requests are then refused as not run; responses wait at their backend server."},
		{nameSlowCallers, "gauge", "connections", nil, "Callers' connections for which a part of a response is held until the caller accepts it."},
		{nameGrants, "counter", "grants", []string{"data_centre", "result"}, "Slot requests of this instance. `result` is `granted`, the reason of the refusal, or `cancelled`; `data_centre` is that of the backend server, or of this instance if no slot was granted."},
		{nameSlots, "gauge", "slots", nil, "Slots of the pools whose home is this instance."},
		{nameSlotsBusy, "gauge", "slots", nil, "Busy slots of the pools whose home is this instance."},
		{nameWaiting, "gauge", "requests", nil, "Requests in the queues of the pools whose home is this instance."},
		{nameTakeUps, "counter", "requests", []string{"result"}, "Streams that callers took up again. `result` is `known` if an instance knew what began the stream, `inferred` if only one software can have begun it, `anew` if the caller had no event yet, and `refused` otherwise."},
		{nameMembers, "gauge", "instances", []string{"state"}, "Other instances by their state as this instance sees it. `state` is `live`, `suspect` or `leaving`."},
		{nameConfigVersion, "gauge", "version", nil, "Version of the configuration in force; 0 if there is none."},
		{nameServersCold, "gauge", "servers", nil, "Backend servers that this forwarding instance takes for cold, so that they get few requests."},
		{nameEvacuated, "gauge", "data centres", nil, "Data centres whose evacuation is in force at this forwarding instance."},
		{nameKeyringVersion, "gauge", "version", nil, "Newest object version of the keyrings in force."},
		{nameVersionsAge, "gauge", "seconds", nil, "Time since the versions in force were confirmed to be the newest; -1 if they never were."},
		{nameLeaseHeld, "gauge", "0 or 1", []string{"job"}, "1 if this instance holds the lease of its data centre for the job."},
		{nameLeaseFence, "gauge", "number", []string{"job"}, "Newest fencing token of the lease that this instance has seen."},
		{nameLoadSpread, "gauge", "ratio", []string{"pool"}, "Highest load of a backend server over the mean of its pool, per slot and with the servers' speeds counted, as this instance knows them; 1 is even. Servers that are draining or evacuated don't count. Forwarding instances only."},
		{nameReportAge, "gauge", "seconds", []string{"pool"}, "Mean time since the backend servers of the pool last reported their load to this instance, or to another of its data centre with how long work takes; -1 if none did. Forwarding instances only."},
		{namePeerReplies, "counter", "calls", []string{"kind", "result"}, "Calls of other instances for objects of this forwarding instance. `kind` is `config`, `servers`, `evacuations` or `other`; `result` is `sent`, or why none were: `busy` (other replies were being sent), `not_newer`, `outdated`, `caller_gone` or `failed`."},
		{namePeerReplyBytes, "counter", "bytes", []string{"kind"}, "Replies with objects to other instances, by the same kinds, as they are handed to the network: a reply whose caller gives up counts in full."},
		{namePeerDatagrams, "counter", "bytes", nil, "Status datagrams that this forwarding instance sent to others, without the headers of the network."},
		{"toucanroute_log_lines_left_out_total", "counter", "lines", nil, "Log lines of a forwarding instance that were dropped because the reader of its output was too slow."},
		{"toucanroute_platform_calls_total", "counter", "calls", []string{"call", "result"}, "Calls to the platform. `call` is the kind, such as `object_get`; `result` is the HTTP status, or `error` if there was no response."},
		{"toucanroute_usage_reports_late_total", "counter", "reports", nil, "Usage reports sent later than one window and the grace period after the end of their window."},
		{"toucanroute_usage_reports_corrected_total", "counter", "reports", nil, "Usage reports that contain corrections for earlier windows."},
	}
}

// MarkdownPage returns the reference page of the metric families in Markdown.
func MarkdownPage() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nGenerated by `toucanctl metrics` from `process/metrics`; don't edit.\n\n")
	b.WriteString("Each instance serves `GET /metrics` on its operator listener, in the Prometheus text format. Counters start\n")
	b.WriteString("at 0 with the process. Besides the families below there are those of the Go process (`go_*`, `process_*`).\n\n")
	fmt.Fprintf(&b, "No family has a label for workspaces, keys, backend servers or instances, so their number doesn't grow the number of\n"+
		"series; for workspaces see `toucanctl burn`. An instance has label values for at most %d classes; requests of other\n"+
		"classes have the class `%s`. Sum counters and histograms over all instances, and compute rates from them.\n\n", MaxClasses, classOther)
	b.WriteString("| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range Families() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Name, f.Kind, f.Unit, labelList(f.Labels), f.Help)
	}
	fmt.Fprintf(&b, "\nUpper bounds of the buckets of `%s`, in seconds: %s.\n", nameFirstToken, bucketBounds())
	return b.String()
}

// labelList returns the label names as a Markdown list.
func labelList(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return "`" + strings.Join(names, "`, `") + "`"
}

// bucketBounds returns the upper bounds of the histogram buckets as a list.
func bucketBounds() string {
	list := make([]string, len(firstTokenBounds))
	for i, v := range firstTokenBounds {
		list[i] = fmt.Sprint(v)
	}
	return strings.Join(list, ", ")
}
