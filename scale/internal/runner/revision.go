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

// programRevision returns the revision that the program was built from or, where the build does not say, that
// of the working tree when it is first asked for.
var programRevision = sync.OnceValue(func() string {
	if revision, ok := buildRevision(); ok {
		return revision
	}
	return workingTreeRevision()
})

// buildRevision is the revision that the build has recorded; false if it did not.
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

// workingTreeRevision asks git for the revision of the working tree.
func workingTreeRevision() string {
	ctx := context.Background() // two calls that do not wait for anything
	out, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	revision := strings.TrimSpace(string(out))
	// Results that are being written do not change the program.
	diff := exec.CommandContext(
		ctx, "git", "diff", "--quiet", "HEAD", "--", ":/", ":(top,exclude)scale/results",
	)
	if diff.Run() != nil {
		revision += dirtySuffix
	}
	return revision
}
