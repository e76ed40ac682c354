package metrics

import (
	"fmt"
	"strings"
)

// Names of the families. A name ends in its unit; counters end in _total.
const (
	nameRequests       = "toucanroute_requests_total"
	nameErrors         = "toucanroute_request_errors_total"
	nameFirstToken     = "toucanroute_first_token_seconds"
	nameTokens         = "toucanroute_tokens_delivered_total"
	nameWasted         = "toucanroute_tokens_wasted_total"
	nameRunning        = "toucanroute_requests_running"
	nameGrants         = "toucanroute_grants_total"
	nameSlots          = "toucanroute_slots"
	nameSlotsBusy      = "toucanroute_slots_busy"
	nameWaiting        = "toucanroute_requests_waiting"
	nameMembers        = "toucanroute_members"
	nameConfigVersion  = "toucanroute_config_version"
	nameKeyringVersion = "toucanroute_keyring_version"
	nameVersionsAge    = "toucanroute_versions_age_seconds"
	nameLeaseHeld      = "toucanroute_lease_held"
	nameLeaseFence     = "toucanroute_lease_fence"
)

// Family describes the series of one name.
type Family struct {
	// Name is stable: a family whose meaning changes gets another name.
	Name string
	// Kind is counter, gauge or histogram.
	Kind string
	// Unit is what one unit of the value is.
	Unit string
	// Labels are the labels' names.
	Labels []string
	// Help tells what the value is.
	Help string
}

// Families returns all families that an instance writes beside those of the Go process, in the order of the page.
func Families() []Family {
	return []Family{
		{nameRequests, "counter", "requests", []string{"class", "result"}, "Ended requests. `result` is `ok`, `refused`, `failed`, `deadline` or `caller_gone`; `class` is `none` where the key gave no rights."},
		{nameErrors, "counter", "requests", []string{"reason"}, "Requests without a whole answer, by the `code` of their error."},
		{nameFirstToken, "histogram", "seconds", []string{"class"}, "Time from arrival to the first token, or to a plain service's answer, of requests with result `ok`."},
		{nameTokens, "counter", "tokens", []string{"class"}, "Generated tokens of whole answers."},
		{nameWasted, "counter", "tokens", []string{"class"}, "Generated tokens that are no part of a whole answer."},
		{nameRunning, "gauge", "requests", nil, "Callers' requests that are under way, waiting ones included."},
		{nameGrants, "counter", "grants", []string{"data_centre", "result"}, "Asks for a slot by this instance's requests. `result` is `granted`, the reason of the refusal, or `cancelled`; `data_centre` is the backend server's, or this instance's own where none was granted."},
		{nameSlots, "gauge", "slots", nil, "Slots of the pools whose home this instance is."},
		{nameSlotsBusy, "gauge", "slots", nil, "Busy slots of the pools whose home this instance is."},
		{nameWaiting, "gauge", "requests", nil, "Requests that wait in the queues of the pools whose home this instance is."},
		{nameMembers, "gauge", "instances", []string{"state"}, "Other instances as this one sees them. `state` is `live`, `suspect` or `leaving`."},
		{nameConfigVersion, "gauge", "version", nil, "Configuration version in force; 0 is none."},
		{nameKeyringVersion, "gauge", "version", nil, "Newest object version of the keyrings in force."},
		{nameVersionsAge, "gauge", "seconds", nil, "Time since the versions in force were known to be the newest; -1 where they never were."},
		{nameLeaseHeld, "gauge", "0 or 1", []string{"job"}, "1 where this instance holds its data centre's lease of the job."},
		{nameLeaseFence, "gauge", "number", []string{"job"}, "Newest fencing number of the lease that this instance has seen."},
		{"toucanroute_log_lines_left_out_total", "counter", "lines", nil, "Log lines of a forwarding instance that were left out, since the reader of its output was too slow."},
		{"toucanroute_platform_calls_total", "counter", "calls", []string{"call", "result"}, "Calls to the platform. `call` is the kind, such as `object_get`; `result` is the HTTP status, or `error` without an answer."},
		{"toucanroute_usage_reports_late_total", "counter", "reports", nil, "Usage reports sent later than one window and its grace after the window's end."},
		{"toucanroute_usage_reports_corrected_total", "counter", "reports", nil, "Usage reports that hold corrections for earlier windows."},
	}
}

// Page returns the Markdown page of the families.
func Page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nWritten by `toucanctl metrics` from `process/metrics`; don't edit.\n\n")
	b.WriteString("Each instance answers at `GET /metrics` of its operators' listener, in the Prometheus text format. Counters start\n")
	b.WriteString("at 0 with the process. Beside the families below there are those of the Go process (`go_*`, `process_*`).\n\n")
	fmt.Fprintf(&b, "No family has a label for workspaces, keys, backend servers or instances, so their number doesn't grow the number of\n"+
		"series; for workspaces see `toucanctl burn`. An instance keeps at most %d classes apart; requests of further ones have\n"+
		"the class `%s`. Sum and rate over instances where the table says counter or histogram.\n\n", MaxClasses, classOther)
	b.WriteString("| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range Families() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Name, f.Kind, f.Unit, labels(f.Labels), f.Help)
	}
	fmt.Fprintf(&b, "\nUpper bounds of the buckets of `%s`, in seconds: %s.\n", nameFirstToken, bounds())
	return b.String()
}

func labels(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return "`" + strings.Join(names, "`, `") + "`"
}

func bounds() string {
	list := make([]string, len(firstTokenBounds))
	for i, v := range firstTokenBounds {
		list[i] = fmt.Sprint(v)
	}
	return strings.Join(list, ", ")
}
