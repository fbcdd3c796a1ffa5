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

// BuildAt builds the program of an earlier commit of this repository into a folder; skip says why that cannot be, as there is no
// history here.
func BuildAt(ctx context.Context, dir, commit string) (path, skip string, err error) {
	root, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", "this is no git repository", nil
	}
	top := strings.TrimSpace(string(root))
	if exec.CommandContext(ctx, "git", "-C", top, "cat-file", "-e", commit+"^{commit}").Run() != nil {
		return "", "commit " + commit + " is not here: a shallow clone", nil
	}
	tree := filepath.Join(dir, "tree-"+commit[:8])
	if err := os.MkdirAll(tree, 0o700); err != nil {
		return "", "", err
	}
	archive := exec.CommandContext(ctx, "git", "-C", top, "archive", commit)
	unpack := exec.CommandContext(ctx, "tar", "-x", "-C", tree)
	if unpack.Stdin, err = archive.StdoutPipe(); err != nil {
		return "", "", err
	}
	if err := unpack.Start(); err != nil {
		return "", "", err
	}
	if err := errors.Join(archive.Run(), unpack.Wait()); err != nil {
		return "", "", fmt.Errorf("unpacking %s: %w", commit, err)
	}
	path = filepath.Join(dir, "robindrum-"+commit[:8])
	make := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, "./cmd/robindrum")
	make.Dir = tree
	if out, err := make.CombinedOutput(); err != nil {
		return "", "", fmt.Errorf("building %s: %w\n%s", commit, err, out)
	}
	return path, "", nil
}

// MisrouteTenth is a change for Altered: a tenth of all requests is sent nowhere.
const MisrouteTenth = `s/^routes:.*/routes: [{match: {prefix: \/}, clusters: [{name: c, weight: 9}, {name: none, weight: 1}]}]/; s/^clusters:.*/clusters: [{name: none, endpoints: []}]/`

// WriteAlteredProgram writes a version of the program that changes its gateway's file by sed, and goes on as another version in the same process.
func WriteAlteredProgram(dir, name, program, change string) (string, error) {
	path := filepath.Join(dir, name)
	text := "#!/bin/sh\nfor last; do :; done\nsed '" + change + "' \"$last\" > \"$last." + name + ".yaml\"\nexec " + program + " serve --with-parent -c \"$last." + name + ".yaml\"\n"
	return path, os.WriteFile(path, []byte(text), 0o700)
}

func tagSuffix(tags []string) string {
	if len(tags) == 0 {
		return ""
	}
	return "-" + strings.Join(tags, "-")
}

func build(ctx context.Context, path string, tags []string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "build", "-tags", strings.Join(tags, ","), "-o", path, "robindrum/cmd/robindrum").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building robindrum: %w\n%s", err, out)
	}
	return path, nil
}
