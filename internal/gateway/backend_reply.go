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

// The position of each part in the array that a backend replies with.
const (
	replyValue = iota
	replyUsage
	replyLoad
)

// busyError is the error word by which a backend says that it did not run a request.
const busyError = "BUSY"

// classifiedReply is what a backend's reply means.
type classifiedReply struct {
	result     policy.Result
	value      []byte // nil: none
	usage      string // such as "used=37,cost=4"; empty: none
	load       string // the load report, of the same form; empty: none
	wellFormed bool   // in the agreed form: an array with the value first, or an error
}

// classifyReply interprets a reply to a request or to a health check. What follows the value, such as a load
// report that can't be parsed, does not make it malformed.
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

// classifyError interprets an error reply: a word and a text, which may end in a load report.
func classifyError(text string) classifiedReply {
	word, rest, _ := strings.Cut(text, " ")
	if word == busyError {
		return classifiedReply{result: policy.ResultOverloaded, load: rest, wellFormed: true}
	}
	load := rest[strings.LastIndexByte(rest, ' ')+1:]
	return classifiedReply{result: policy.ResultFailed, load: load, wellFormed: true}
}

// itemText is the text of one item of an array; empty if there is none.
func itemText(reply resp.Reply, i int) string {
	if len(reply.Items) <= i {
		return ""
	}
	return string(reply.Items[i].Text)
}

// actualCost parses the cost in the usage part of a reply; 0: none is given, or one that no request can have,
// which must not reach a customer's token bucket.
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

// loadReport parses a load report into the order of the settings; nil: it is none. One that is incomplete or
// holds impossible values must not reach the decisions: it would draw all requests to its backend, or none.
func loadReport(cfg *config.Config, text string) []float32 {
	names := cfg.Host.ReportNames
	if len(cfg.Settings.LoadReport) == 0 || !strings.Contains(text, "=") {
		return nil
	}
	load, present := make([]float32, len(names)), 0 // present: a bit for each name
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
