package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// shortCommit is the number of digits of a commit's hash that are used in file names.
const shortCommit = 8

// TempDir creates a temporary directory for the processes of schedules. remove deletes it.
func TempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "robindrum-cluster-")
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// Build builds the program with build tags into a directory and returns its path. The working directory must be in the module.
func Build(ctx context.Context, dir string, tags ...string) (string, error) {
	path := filepath.Join(dir, "robindrum"+tagSuffix(tags))
	command := exec.CommandContext(ctx, "go", "build", "-tags", strings.Join(tags, ","), "-o", path, "robindrum/cmd/robindrum")
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building robindrum: %w\n%s", err, output)
	}
	return path, nil
}

// tagSuffix returns the suffix of the file name of a program that is built with tags.
func tagSuffix(tags []string) string {
	if len(tags) == 0 {
		return ""
	}
	return "-" + strings.Join(tags, "-")
}

// BuildAt builds the program of an earlier commit of this repository into a directory and returns its path. If the commit is not
// available, skip is the reason, and path and err are empty. commit must be a full hash.
func BuildAt(ctx context.Context, dir, commit string) (path, skip string, err error) {
	output, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", "not in a git repository", nil
	}
	repository := strings.TrimSpace(string(output))
	if exec.CommandContext(ctx, "git", "-C", repository, "cat-file", "-e", commit+"^{commit}").Run() != nil {
		return "", "commit " + commit + " is not available: shallow clone", nil
	}
	tree := filepath.Join(dir, "tree-"+commit[:shortCommit])
	if err := unpackCommit(ctx, repository, commit, tree); err != nil {
		return "", "", fmt.Errorf("unpacking %s: %w", commit, err)
	}
	path = filepath.Join(dir, "robindrum-"+commit[:shortCommit])
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "./cmd/robindrum")
	build.Dir = tree
	if output, err := build.CombinedOutput(); err != nil {
		return "", "", fmt.Errorf("building %s: %w\n%s", commit, err, output)
	}
	return path, "", nil
}

// unpackCommit writes the files of a commit into a new directory.
func unpackCommit(ctx context.Context, repository, commit, tree string) error {
	if err := os.MkdirAll(tree, 0o700); err != nil {
		return err
	}
	archive := exec.CommandContext(ctx, "git", "-C", repository, "archive", commit)
	unpack := exec.CommandContext(ctx, "tar", "-x", "-C", tree)
	var err error
	if unpack.Stdin, err = archive.StdoutPipe(); err != nil {
		return err
	}
	if err := unpack.Start(); err != nil {
		return err
	}
	return errors.Join(archive.Run(), unpack.Wait())
}

// MisrouteTenth is a change for WriteAlteredProgram that routes a tenth of all requests to a cluster without endpoints.
const MisrouteTenth = `s/^routes:.*/routes: [{match: {prefix: \/}, clusters: [{name: c, weight: 9}, {name: none, weight: 1}]}]/; s/^clusters:.*/clusters: [{name: none, endpoints: []}]/`

// alteredProgram is a shell script that applies a sed script to the configuration, its last argument, and then executes the program.
// Its formatting verbs are the sed script, the name, the program, and the name again.
const alteredProgram = `#!/bin/sh
for last; do :; done
sed '%s' "$last" > "$last.%s.yaml"
exec %s serve --with-parent -c "$last.%s.yaml"
`

// WriteAlteredProgram writes a shell script that changes the gateway's configuration with the sed script change and then executes the
// program. It returns the script's path.
func WriteAlteredProgram(dir, name, program, change string) (string, error) {
	path := filepath.Join(dir, name)
	script := fmt.Sprintf(alteredProgram, change, name, program, name)
	return path, os.WriteFile(path, []byte(script), 0o700)
}
