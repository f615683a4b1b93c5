package runner

import (
	"context"
	"os/exec"
	"runtime/debug"
	"strings"
	"sync"
)

const (
	revisionLength = 7
	dirtySuffix    = "-dirty"
)

// programRevision returns the version control revision of the build. If the build did not record one, it
// returns that of the working tree at the first call.
var programRevision = sync.OnceValue(func() string {
	if revision, ok := buildRevision(); ok {
		return revision
	}
	return workingTreeRevision()
})

// buildRevision returns the revision recorded in the build, or false if there is none.
func buildRevision() (string, bool) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "", false
	}
	settings := map[string]string{}
	for _, setting := range info.Settings {
		settings[setting.Key] = setting.Value
	}
	revision := settings["vcs.revision"]
	if len(revision) < revisionLength {
		return "", false
	}
	revision = revision[:revisionLength]
	if settings["vcs.modified"] == "true" {
		revision += dirtySuffix
	}
	return revision, true
}

// workingTreeRevision returns the revision of the working tree according to git, or "unknown".
func workingTreeRevision() string {
	ctx := context.Background() // no cancellation: both git commands end quickly
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	revision := strings.TrimSpace(string(out))
	// Results are excluded because a run that writes them does not change the program.
	diff := exec.CommandContext(
		ctx, "git", "diff", "--quiet", "HEAD", "--", ":/", ":(top,exclude)scale/results",
	)
	if diff.Run() != nil {
		revision += dirtySuffix
	}
	return revision
}
