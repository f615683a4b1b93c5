package main

import (
	"bytes"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"sparspread/scale/internal/report"
	"sparspread/scale/internal/results"
)

// buildGateway builds the gateway's executable and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", dir, "../cmd/gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build gateway: %v\n%s", err, out)
	}
	return filepath.Join(dir, "gateway")
}

// Runs all components of the bench with a small experiment and reads the results back. It checks counts and
// rules but no times, which depend on the machine.
func TestRunCommandRunsSmallExperiment(t *testing.T) {
	out := filepath.Join(t.TempDir(), "results.jsonl")
	command := runCommand{Experiment: "testdata/small.toml", Out: out, Gateway: buildGateway(t)}
	if err := command.Run(slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	all, err := results.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 2 {
		t.Fatalf("%d results, want one for each of 2 sizes", len(all))
	}
	for _, r := range all {
		checkAnswers(t, r)
		checkChanges(t, r)
		checkMeasurements(t, r)
	}
	if r := all[1]; r.SimulatedGateways != 4 || r.SimulatedRequests == 0 {
		t.Errorf("%d simulated gateways with %d requests, want 4 gateways with at least one request",
			r.SimulatedGateways, r.SimulatedRequests)
	}
	// Simulated gateways send gossip about their customers, so more messages arrive than without them.
	few, many := all[0].ControlPhase.InMessagesPerSecond.Min, all[1].ControlPhase.InMessagesPerSecond.Min
	if many <= few {
		t.Errorf("%g messages per second with simulated gateways, want more than the %g without", many, few)
	}
	var printed bytes.Buffer
	if err := report.Print(&printed, all); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| load CPU % |", "| sent to drained after the grace, sum | 0 | 0 |",
		"beyond the ceiling, sum | 0 | 0 |", "Not checked: cold",
	} {
		if !strings.Contains(printed.String(), want) {
			t.Errorf("report does not contain %q:\n%s", want, printed.String())
		}
	}
}

// checkAnswers checks that the run was complete, that every request ended once, and that no rule on requests
// was violated.
func checkAnswers(t *testing.T, r *results.Result) {
	t.Helper()
	a, b := r.Answers, r.Backends
	if r.Status != results.StatusRun {
		t.Fatalf("size %g: status %s", r.Size, r.Status)
	}
	ended := a.Served + a.Rejected + a.Failed + a.Disconnected + a.TimedOut + a.WrongValue
	if a.Sent == 0 || a.Sent != ended {
		t.Errorf("size %g: %d requests sent, %d ended, want the same number: %+v", r.Size, a.Sent, ended, a)
	}
	if a.Disconnected+a.TimedOut+a.WrongValue+a.ExtraBytes+a.NotSent > 0 || a.Served == 0 {
		t.Errorf("size %g: answers %+v, want some served and none faulty", r.Size, a)
	}
	if b.Commands < int64(a.Served) || b.Malformed > 0 || b.DrainingAfterGrace > 0 {
		t.Errorf("size %g: backend counts %+v with %d requests served", r.Size, b, a.Served)
	}
	if r.Capped.Requests == 0 || r.Capped.BeyondCeiling > 0 {
		t.Errorf("size %g: counts of customers on the capped plan %+v", r.Size, r.Capped)
	}
}

// checkChanges checks that the gateways applied changes of the list of backends and a reload.
func checkChanges(t *testing.T, r *results.Result) {
	t.Helper()
	if r.BackendsChanged < 4 || len(r.ChangeLatencyMS) != 2 {
		t.Errorf("size %g: %d backends changed, %d changes timed, want at least 4 and exactly 2",
			r.Size, r.BackendsChanged, len(r.ChangeLatencyMS))
	}
	if l := r.Reload; l == nil || l.FirstCallMS <= 0 || l.ListAppliedMS <= 0 ||
		l.ChangeLost || r.ListsRejected > 0 {
		t.Errorf("size %g: reload %+v, lists rejected %d", r.Size, l, r.ListsRejected)
	}
	if r.GatewaysExited > 0 {
		t.Errorf("size %g: %d gateways exited, want none", r.Size, r.GatewaysExited)
	}
}

// checkMeasurements checks that no measurement is missing.
func checkMeasurements(t *testing.T, r *results.Result) {
	t.Helper()
	if r.Baseline == nil || r.Added == nil || r.Added.Samples != r.Answers.Served {
		t.Errorf("size %g: added latency %+v, baseline %+v, %d requests served",
			r.Size, r.Added, r.Baseline, r.Answers.Served)
	}
	phases := map[string]*results.PhaseUsage{
		"idle": r.IdlePhase, "control": r.ControlPhase, "load": r.LoadPhase,
	}
	for name, usage := range phases {
		if usage.CPUPercent.Min <= 0 || usage.ResidentMB.Min <= 0 || usage.PeakMB.Min < usage.ResidentMB.Min {
			t.Errorf("size %g: phase %s: usage %+v", r.Size, name, usage)
		}
	}
	if c := r.ControlPhase; c.InKBPerSecond.Min <= 0 || c.OutKBPerSecond.Min <= 0 ||
		c.OutMessagesPerSecond.Min <= 0 {
		t.Errorf("size %g: control traffic is missing: %+v", r.Size, c)
	}
}

// Guards against a program that reports an invalid experiment without naming the key, exits successfully or
// leaves an empty results file.
func TestProgramRejectsMalformedExperiment(t *testing.T) {
	dir := t.TempDir()
	program, out := filepath.Join(dir, "scale"), filepath.Join(dir, "out.jsonl")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build scale: %v\n%s", err, text)
	}
	malformed := filepath.Join(dir, "bad.toml")
	content := "name = \"x\"\naxis = \"sideways\"\nsizes = [2]\ntier = 9\n"
	if err := os.WriteFile(malformed, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err := exec.CommandContext(t.Context(), program, "run", malformed, "--out", out).CombinedOutput()
	if err == nil {
		t.Fatalf("exited successfully, want a failure: %s", text)
	}
	lines := strings.Count(string(text), "\n")
	if lines != 1 || !strings.Contains(string(text), `axis: "sideways"`) {
		t.Errorf("%d lines of output, want one that names the axis:\n%s", lines, text)
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a results file exists after a malformed experiment")
	}
}
