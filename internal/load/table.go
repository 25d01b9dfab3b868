package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
)

// row is one row of the table: a label and how to read its value from a report.
type row struct {
	name  string
	value func(*Report) float64
}

// rows returns the rows of the table, including one for each refusal and failure reason that any of the reports has.
func rows(reports []*Report) []row {
	list := []row{
		{"offered", func(r *Report) float64 { return float64(r.total().Offered) }},
		{"whole", func(r *Report) float64 { return float64(r.total().Complete) }},
		{"whole and on time", func(r *Report) float64 { return float64(r.total().OnTime) }},
		{"peak offered", func(r *Report) float64 { return float64(r.Peak.Offered) }},
		{"peak whole and on time", func(r *Report) float64 { return float64(r.Peak.OnTime) }},
		{"peak share on time %", func(r *Report) float64 { return 100 * r.Peak.OnTimeShare() }},
	}
	for _, kind := range []Kind{KindShort, KindLong} {
		list = append(list, latencyRows(kind.String()+" wait", func(r *Report) Latency { return r.Kind(kind).Wait })...)
		list = append(list, latencyRows(kind.String()+" first token", func(r *Report) Latency { return r.Kind(kind).FirstToken })...)
		list = append(list, latencyRows(kind.String()+" first token from send", func(r *Report) Latency { return r.Kind(kind).FirstTokenFromSend })...)
		list = append(list, latencyRows(kind.String()+" time a token", func(r *Report) Latency { return r.Kind(kind).TimePerToken })...)
	}
	list = append(list, latencyRows("between tokens", func(r *Report) Latency { return r.TokenGap })...)
	for _, kind := range KindValues() {
		list = append(list,
			row{kind.String() + " on time", func(r *Report) float64 { return float64(r.Kind(kind).OnTime) }},
			row{kind.String() + " offered", func(r *Report) float64 { return float64(r.Kind(kind).Offered) }},
		)
	}
	list = append(list,
		row{"long tokens delivered", func(r *Report) float64 { return float64(r.Kind(KindLong).Tokens) }},
		row{"engine tokens", func(r *Report) float64 { return float64(r.Engines.Tokens) }},
		row{"preemptions", func(r *Report) float64 { return float64(r.Engines.Preemptions) }},
		row{"stall time s", func(r *Report) float64 { return float64(r.Engines.StallMillis) / 1000 }},
		row{"recomputed tokens", func(r *Report) float64 { return float64(r.Engines.RecomputedTokens) }},
		row{"engines unreachable", func(r *Report) float64 { return float64(r.Engines.Unreachable) }},
		row{"charges answered", func(r *Report) float64 { return float64(r.Charges.Answered) }},
		row{"charges executed", func(r *Report) float64 { return float64(r.Charges.Executed) }},
		row{"charges doubled", func(r *Report) float64 { return float64(r.Charges.Duplicated) }},
		row{"charges false not run", func(r *Report) float64 { return float64(r.Charges.FalseNotRun) }},
		row{"charges answered, not run", func(r *Report) float64 { return float64(r.Charges.AnsweredNotRun) }},
		row{"services unreachable", func(r *Report) float64 { return float64(r.Charges.Unreachable) }},
		row{"token violations", func(r *Report) float64 { return float64(r.Violations) }},
		row{"retries", func(r *Report) float64 { return float64(r.Retries) }},
		row{"resumes", func(r *Report) float64 { return float64(r.Resumes) }},
		row{"send delay p99 ms", func(r *Report) float64 { return r.SendDelay.P99Millis }},
	)
	for _, reason := range reasons(reports, func(r *Report) map[string]int { return r.Refusals }) {
		list = append(list, row{"refused: " + reason, func(r *Report) float64 { return float64(r.Refusals[reason]) }})
	}
	for _, reason := range reasons(reports, func(r *Report) map[string]int { return r.Failures }) {
		list = append(list, row{"not whole: " + reason, func(r *Report) float64 { return float64(r.Failures[reason]) }})
	}
	return list
}

func latencyRows(name string, latencyOf func(*Report) Latency) []row {
	return []row{
		{name + " p50 ms", func(r *Report) float64 { return latencyOf(r).P50Millis }},
		{name + " p95 ms", func(r *Report) float64 { return latencyOf(r).P95Millis }},
		{name + " p99 ms", func(r *Report) float64 { return latencyOf(r).P99Millis }},
	}
}

func reasons(reports []*Report, countsOf func(*Report) map[string]int) []string {
	set := make(map[string]bool)
	for _, report := range reports {
		for reason := range countsOf(report) {
			set[reason] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

func (r *Report) total() KindReport {
	var sum KindReport
	for _, kind := range r.Kinds {
		sum.Offered += kind.Offered
		sum.Complete += kind.Complete
		sum.OnTime += kind.OnTime
	}
	return sum
}

// WriteTable writes the reports as a table with one column each. For two reports a third column has the first value
// divided by the second.
func WriteTable(w io.Writer, reports ...*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "figure\t")
	for _, report := range reports {
		fmt.Fprint(table, report.Target, "\t")
	}
	if len(reports) == 2 {
		fmt.Fprint(table, "ratio\t")
	}
	fmt.Fprintln(table)
	for _, row := range rows(reports) {
		fmt.Fprint(table, row.name, "\t")
		for _, report := range reports {
			fmt.Fprint(table, strconv.FormatFloat(row.value(report), 'f', decimals(row.value(report)), 64), "\t")
		}
		if len(reports) == 2 {
			fmt.Fprint(table, ratioText(row.value(reports[0]), row.value(reports[1])), "\t")
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func decimals(value float64) int {
	if value == float64(int64(value)) {
		return 0
	}
	return 2
}

func ratioText(x, y float64) string {
	if y == 0 {
		return "-"
	}
	return strconv.FormatFloat(x/y, 'f', 2, 64)
}

// WriteJSON writes the reports as a JSON array.
func WriteJSON(w io.Writer, reports ...*Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(reports)
}
