package gateway

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"sparspread/internal/command"
	"sparspread/internal/config"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// Indices of the items of a backend's array reply.
const (
	replyValue = iota
	replyUsage
	replyLoad
)

// busyError is the first word of the error reply of a backend that did not run the request.
const busyError = "BUSY"

// classifiedReply is the interpretation of a reply from a backend.
type classifiedReply struct {
	result policy.Result
	value  []byte // nil if there is none
	usage  string // such as "used=37,cost=4"; empty if there is none
	load   string // the load report, in the same form; empty if there is none
	// The reply has an expected form: an error or, for a request, an array whose first item is the value and,
	// for a health check, a string.
	wellFormed bool
}

// classifyReply interprets a reply to a request or to a health check. Items after the value, such as a load
// report that cannot be parsed, do not make the reply malformed.
func classifyReply(reply resp.Reply, healthCheck bool) classifiedReply {
	switch {
	case reply.Kind == '-':
		return classifyError(string(reply.Text))
	case healthCheck:
		wellFormed := reply.Kind == '+' || reply.Kind == '$'
		return classifiedReply{result: policy.ResultOK, load: string(reply.Text), wellFormed: wellFormed}
	case reply.Kind != '*' || len(reply.Items) == 0 || reply.Items[replyValue].Kind != '$' ||
		reply.Items[replyValue].Null:
		return classifiedReply{result: policy.ResultFailed} // no value: the request may have run
	}
	return classifiedReply{
		result: policy.ResultOK, value: reply.Items[replyValue].Text, wellFormed: true,
		usage: itemText(reply, replyUsage), load: itemText(reply, replyLoad),
	}
}

// classifyError interprets an error reply: a word and a text, whose last word may be a load report.
func classifyError(text string) classifiedReply {
	word, rest, _ := strings.Cut(text, " ")
	if word == busyError {
		return classifiedReply{result: policy.ResultOverloaded, load: rest, wellFormed: true}
	}
	load := rest[strings.LastIndexByte(rest, ' ')+1:]
	return classifiedReply{result: policy.ResultFailed, load: load, wellFormed: true}
}

// itemText returns the text of the item at index i of an array, or an empty string if there is no such item.
func itemText(reply resp.Reply, i int) string {
	if len(reply.Items) <= i {
		return ""
	}
	return string(reply.Items[i].Text)
}

// actualCost returns the cost from the usage part of a reply. It returns zero if the part has no cost, or one
// that no request can have, which must not reach the token bucket of a customer.
func actualCost(cfg *config.Config, usage string) float64 {
	if !cfg.Settings.SettlesCost {
		return 0
	}
	for pair := range strings.SplitSeq(usage, ",") {
		name, value, _ := strings.Cut(pair, "=")
		if name != "cost" {
			continue
		}
		cost, err := strconv.ParseFloat(value, 64)
		if err == nil && cost > 0 && cost <= command.MaxCost(cfg) {
			return cost
		}
		return 0
	}
	return 0
}

// loadReport parses a load report and returns its values in the order of the configured names. It returns
// nil if the text is no load report, is incomplete or has impossible values: such a report would attract
// all requests to its backend, or none.
func loadReport(cfg *config.Config, text string) []float32 {
	names := cfg.Host.ReportNames
	if len(cfg.Settings.LoadReport) == 0 || !strings.Contains(text, "=") {
		return nil
	}
	load, present := make([]float32, len(names)), 0 // present has a bit for each name
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		number, err := strconv.ParseFloat(value, 32)
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		if err != nil || !(number >= 0) || math.IsInf(number, 0) {
			return nil
		}
		load[i] = float32(number)
		present |= 1 << i
	}
	if present != 1<<len(names)-1 {
		return nil
	}
	return load
}
